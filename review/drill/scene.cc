#include "scene.h"

#include <algorithm>
#include <mutex>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr int64_t kReadyLimitMs = 15000;
constexpr int kModelSlots = 48;

std::string ConfigText(int version, const std::string& posting_service) {
  return R"({"Version":)" + std::to_string(version) +
         R"(,"Routes":[{"Name":"draft","Host":"a.example",)"
         R"("PathPrefix":"/draft/","Kind":"stream","TimeoutMs":14000,)"
         R"("LatencyTargetMs":900,"Priority":1,"Service":"model",)"
         R"("Attempts":2,"Sticky":true,"CanResume":true,"GapTargetMs":300},)"
         R"({"Name":"post","Host":"a.example","PathPrefix":"/post/",)"
         R"("Kind":"unsafe","TimeoutMs":1000,"LatencyTargetMs":150,)"
         R"("Priority":2,"Service":")" +
         posting_service +
         R"(","Attempts":2}],"Services":[{"Name":"model",)"
         R"("HealthPath":"/healthz","MaxConns":310,"Protocol":"h1",)"
         R"("Tls":false,"Engine":{"Slots":48,"KvCapacity":96209,)"
         R"("KvTokenBytes":163840,"LinkMbps":5900000.0,"Moves":true,)"
         R"("Backups":true,"Stride":73,"most":12,"HandleTtlS":0.5,)"
         R"("StageSwitchS":6.0,"PinMs":4000.0,"HoldMs":2000.0,)"
         R"("Models":[{"Name":"m"}]}},{"Name":"ledger",)"
         R"("HealthPath":"/healthz","MaxConns":110,"Protocol":"h1",)"
         R"("Tls":false},{"Name":"ledger-next","HealthPath":"/healthz",)"
         R"("MaxConns":110,"Protocol":"h1","Tls":false}],)"
         R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
         R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";
}

client_request Posting(int64_t number) {
  client_request request;
  request.path = "/post/" + std::to_string(number);
  request.body = R"({"amount":1})";
  return request;
}

}  // namespace

scene::scene(const std::string& folder)
    : record(folder + "/record.txt"),
      at(FreeAddresses()),
      store(at.Store(), kStorePort, record),
      folder_(TemporaryFolder()) {}

scene::~scene() {
  postings_.clear();
  daemons.clear();
  engines_.clear();
}

bool scene::Start(size_t daemon_count, int memory_mb, int64_t work_ms) {
  if (!store.Ok() || folder_.empty()) return false;
  PutConfig(1, "ledger");
  for (int i = 1; i <= 5; ++i) {
    engine_setup setup;
    setup.id = "e" + std::to_string(i);
    setup.service = "model";
    setup.ip = at.Engine(i);
    setup.stage = i <= 3 ? "decode" : "prefill";
    setup.slots = kModelSlots;
    AddEngine(setup);
  }
  for (int i = 11; i <= 13; ++i) StartPlainEngine(i, "ledger", 0, work_ms);
  for (size_t i = 1; i <= daemon_count; ++i) {
    daemons.push_back(std::make_unique<daemon_process>(at, static_cast<int>(i),
                                                       folder_, memory_mb));
  }
  return WaitFor(kReadyLimitMs, [this, daemon_count] {
    return store.Members().size() == daemon_count &&
           std::all_of(daemons.begin(), daemons.end(),
                       [](const auto& daemon) { return daemon->IsReady(); });
  });
}

void scene::AddEngine(const engine_setup& setup) {
  engines_.push_back(std::make_unique<engine>(setup, store, log, record));
}

engine& scene::StartPlainEngine(int number, const std::string& service,
                                int64_t cold_ms, int64_t work_ms) {
  engine_setup setup;
  setup.id = "s" + std::to_string(number);
  setup.service = service;
  setup.ip = at.Engine(number);
  setup.cold_ms = cold_ms;
  setup.work_ms = work_ms;
  AddEngine(setup);
  return *engines_.back();
}

engine& scene::EngineOf(const std::string& id) {
  return **std::find_if(engines_.begin(), engines_.end(),
                        [&id](const auto& one) { return one->Id() == id; });
}

void scene::PutConfig(int version, const std::string& posting_service) {
  store.Put("keyed.op", "config", ConfigText(version, posting_service));
}

void scene::StartPostings(int64_t interval_ms) {
  for (const auto& daemon : daemons) {
    postings_.push_back(std::make_unique<client_load>(
        "post-" + daemon->Ip(), daemon->Ip(), interval_ms, Posting));
  }
}

void scene::SendPostings(int to_each) {
  std::mutex mutex;
  std::vector<std::thread> sending;
  ++rounds_;
  for (const auto& daemon : daemons) {
    for (int i = 0; i < to_each; ++i) {
      const int number = 100 * rounds_ + i;
      sending.emplace_back([this, &mutex, number, ip = daemon->Ip()] {
        const client_answer seen = Ask(
            ip, Posting(number), "post-" + ip + "-" + std::to_string(number));
        const std::lock_guard lock(mutex);
        sent_at_once_.push_back(seen);
      });
    }
  }
  for (std::thread& one : sending) one.join();
}

void scene::StopPostings() {
  for (const auto& load : postings_) load->Stop();
}

std::vector<client_answer> scene::Postings() {
  std::vector<client_answer> all = sent_at_once_;
  for (const auto& load : postings_) {
    const std::vector<client_answer> some = load->Answers();
    all.insert(all.end(), some.begin(), some.end());
  }
  return all;
}

std::string scene::DaemonOf(const std::string& request_id) {
  const size_t from = request_id.find('-') + 1;
  return request_id.substr(from, request_id.rfind('-') - from);
}

void scene::WriteRecord() {
  for (const client_answer& answer : Postings()) {
    record.Add("sent " + answer.id + " at ms " +
               std::to_string(answer.sent_ms) + ", answered " +
               std::to_string(answer.status) +
               (answer.has_seal ? " by its engine" : ""));
  }
  for (const arrived_request& request : log.Requests()) {
    record.Add("ran " + request.id + " at " + request.engine + " at ms " +
               std::to_string(request.at_ms));
  }
}

}  // namespace review
