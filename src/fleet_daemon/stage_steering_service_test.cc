#include "fleet_daemon/stage_steering_service.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "base/testing/run_loop.h"
#include "gtest/gtest.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

constexpr char kLeaving[] = "x-leaving";
const char* const kPrefillEngines[] = {"a", "b", "c"};

fleet_protocol TestProtocol() {
  fleet_protocol protocol;
  protocol.parse_response = [](int, const http_headers& headers) {
    response_info info;
    info.statement.leaving = !HeaderValue(headers, kLeaving).empty();
    return info;
  };
  protocol.build_report_call = [](const fleet_upstream& engine) {
    http_call call;
    call.address = engine.address;
    call.target = absl::StrCat("/report/", engine.id);
    return call;
  };
  protocol.parse_report =
      [](absl::string_view) -> absl::StatusOr<engine_report> {
    return engine_report{.stage = engine_stage::prefill};
  };
  protocol.build_stage_order_call = [](const fleet_upstream& engine,
                                       const stage_order&) {
    http_call call;
    call.method = "POST";
    call.address = engine.address;
    call.target = absl::StrCat("/order/", engine.id);
    return call;
  };
  return protocol;
}

// Three prefill engines and one decode engine for streams that hardly need any
// prefill, so that the service orders two engines to change.
class stage_steering_service_test : public event_loop_test {
 protected:
  stage_steering_service_test() {
    auto config = std::make_shared<fleet_config>();
    config->services["model"].name = "model";
    config->services["model"].generates = true;
    auto view = std::make_shared<fleet_view>();
    view->config = config;
    for (const char* id : kPrefillEngines) {
      view->upstreams["model"].push_back(Engine(id, engine_stage::prefill));
    }
    view->upstreams["model"].push_back(Engine("d", engine_stage::decode));
    auto workload = std::make_shared<service_workloads>();
    (*workload)["model"] = {60, 10, 4000, 50, 1, 100000, 4};
    steering_sources sources;
    sources.view = [view] { return view; };
    sources.right = [](absl::Time) { return order_right(); };
    sources.workload = [workload] { return workload; };
    sources.on_stage_order = [](const fleet_upstream&, absl::Duration) {};
    sources.absence = [this](const fleet_upstream& engine, absl::Time) {
      return paused_.contains(engine.id) ? absence_reason::paused
                                         : absence_reason::none;
    };
    sources.on_statement = [this](const fleet_upstream& engine,
                                  const upstream_statement& statement,
                                  absl::string_view call) {
      if (statement.leaving) told_.insert(absl::StrCat(call, " ", engine.id));
    };
    service_ = std::make_unique<stage_steering_service>(std::move(sources),
                                                        TestProtocol());
  }

  fleet_upstream Engine(const std::string& id, engine_stage stage) const {
    fleet_upstream engine;
    engine.id = id;
    engine.service = "model";
    engine.address = server_.Address();
    engine.stage = stage;
    return engine;
  }

  // Number of requests whose target contains `text`.
  int Count(absl::string_view text) const {
    const auto& requests = server_.Requests();
    return static_cast<int>(std::count_if(
        requests.begin(), requests.end(), [text](const raw_request& request) {
          return absl::StrContains(request.target, text);
        }));
  }

  // Runs until two calls of `kind` have arrived, and then some intervals more.
  void RunPast(absl::string_view kind) {
    service_->Start();
    RunUntil([&] { return Count(kind) >= 2; }, absl::Milliseconds(2500));
    RunUntil([] { return false; }, absl::Milliseconds(700));
  }

  // Ids of the engines that leave, and of those within a pause.
  std::set<std::string> leaving_;
  std::set<std::string> paused_;
  // What `leaving_` engines answer to an order.
  int order_status_ = 202;
  bool leaves_in_report_ = true;
  // Statements that were passed on.
  std::set<std::string> told_;
  raw_server server_{[this](QTcpSocket& socket, const raw_request& request) {
    const std::string id = request.target.substr(request.target.size() - 1);
    const bool is_order = request.method == "POST";
    const bool states = leaving_.contains(id) && leaves_in_report_ != is_order;
    const std::string text = absl::StrCat(
        "HTTP/1.1 ", is_order ? (states ? order_status_ : 202) : 200, " X\r\n",
        states ? "x-leaving: 1\r\n" : "", "Content-Length: 2\r\n\r\n{}");
    socket.write(text.data(), static_cast<qint64>(text.size()));
  }};
  std::unique_ptr<stage_steering_service> service_;
};

// Guards against orders to an engine that states in its report that it leaves.
TEST_F(stage_steering_service_test, AnEngineThatLeavesGetsNoOrder) {
  leaving_ = {"a"};
  RunPast("/order/");
  EXPECT_EQ(Count("/report/a"), 1);
  EXPECT_EQ(Count("/order/a"), 0);
  EXPECT_GE(Count("/order/"), 1);
  EXPECT_EQ(told_, std::set<std::string>{"report a"});
}

// Guards against further calls to an engine that states that it leaves when it
// rejects an order.
TEST_F(stage_steering_service_test, AnOrdersResponseIsReadForADeparture) {
  leaving_ = {"a"};
  leaves_in_report_ = false;
  order_status_ = 409;
  RunPast("/order/");
  EXPECT_EQ(Count("/report/a"), 1);
  EXPECT_EQ(Count("/order/a"), 1);
  EXPECT_EQ(told_, std::set<std::string>{"order a"});
}

// Guards against calls within the pause that an engine has asked for.
TEST_F(stage_steering_service_test, APausedEngineGetsNoCalls) {
  paused_ = {"a", "b", "c"};
  RunPast("/order/");
  EXPECT_TRUE(server_.Requests().empty());
}

}  // namespace
}  // namespace anvilridge
