#include "soak/soak_upstreams.h"

#include <QPointer>
#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "harness/platform_scene.h"
#include "soak/soak_checks.h"
#include "soak/soak_config.h"
#include "soak/soak_teams.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

// Some of the work of a plain service and of a prefill.
constexpr absl::Duration kWork = absl::Milliseconds(30);
// Behind the time limits of all routes.
constexpr absl::Duration kLate = absl::Seconds(9);
// Between two silences of an upstream.
constexpr absl::Duration kTalk = absl::Milliseconds(500);
// What an endless answer sends at a time, and how often: slowly enough for
// several to be in progress at once.
constexpr size_t kEndlessBlock = 64 << 10;
constexpr absl::Duration kEndlessInterval = absl::Milliseconds(5);
constexpr int kServiceSlots = 64;
constexpr int kEngineSlots = 12;

void WriteText(QTcpSocket& socket, absl::string_view text) {
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

// Returns the time that a request is to take: the milliseconds that end its
// target, or the usual time if that is longer.
absl::Duration WorkOf(const raw_request& request, absl::Duration usual) {
  const absl::string_view target = request.target;
  int ms = 0;
  (void)absl::SimpleAtoi(target.substr(target.rfind('/') + 1), &ms);
  return std::max(usual, absl::Milliseconds(ms));
}

bool IsOpen(const QPointer<QTcpSocket>& socket) {
  return socket && socket->state() == QAbstractSocket::ConnectedState;
}

}  // namespace

struct soak_upstream::impl {
  impl(std::string name, upstream_stage of,
       std::map<std::string, upstream_record>& into)
      : id(std::move(name)), stage(of), records(into) {}

  std::string id;
  upstream_stage stage = upstream_stage::service;
  std::map<std::string, upstream_record>& records;
  upstream_fault fault = upstream_fault::none;
  bool endless = false;
  int spoil_period = 0;
  int runs = 0;
  int refuse_period = 0;
  int requests = 0;
  absl::Time silent_until = absl::InfinitePast();
  bool leaving = false;
  absl::Time paused_until = absl::InfinitePast();
  std::function<void()> crash;
  int64_t orders = 0;
  int handles = 0;
  // Also drops what its timers still hold, when it is destroyed.
  QObject context;
  std::unique_ptr<raw_server> server;
  std::unique_ptr<fault_proxy> link;

  upstream_fault NextFault();
  void After(absl::Duration work, const std::string& request_id,
             std::function<void()> act);
  void Answer(QTcpSocket& socket, const raw_request& request, int status,
              absl::string_view body);
  std::string Head(const raw_request& request, int status);
  void RefuseToRun(QTcpSocket& socket, const raw_request& request, int status);
  upstream_record& RecordOf(const raw_request& request);
  // Returns the index of the arrival among those of the request.
  size_t RecordArrival(const raw_request& request);
  void Handle(QTcpSocket& socket, const raw_request& request);
  void Run(QTcpSocket& socket, const raw_request& request);
  void Prefill(QTcpSocket& socket, const raw_request& request);
  void Stream(QTcpSocket& socket, const raw_request& request);
  void SendWithoutEnd(const QPointer<QTcpSocket>& socket,
                      const std::string& id);
  void NextEvent(const QPointer<QTcpSocket>& socket, const std::string& id,
                 int number, int events);
};

upstream_record& soak_upstream::impl::RecordOf(const raw_request& request) {
  upstream_record& record =
      records[platform_scene::Field(request, "request-id")];
  record.service = stage == upstream_stage::service ? "ledger" : "model";
  return record;
}

size_t soak_upstream::impl::RecordArrival(const raw_request& request) {
  upstream_record& record = RecordOf(request);
  const std::string team = platform_scene::Field(request, "tenant");
  if (!team.empty()) record.teams.insert(team);
  if (absl::StrContains(request.head, kKeyPrefix)) record.saw_key = true;
  std::vector<upstream_arrival>& arrivals = record.arrivals;
  arrivals.push_back({.at = MonotonicNow(), .upstream = id});
  return arrivals.size() - 1;
}

// Does `act` after `work` and the silence at that time.
void soak_upstream::impl::After(absl::Duration work,
                                const std::string& request_id,
                                std::function<void()> act) {
  RunAfter(&context, work, [this, request_id, act = std::move(act)]() mutable {
    const absl::Duration left = silent_until - MonotonicNow();
    if (left <= absl::ZeroDuration()) return act();
    records[request_id].silenced = true;
    After(left, request_id, std::move(act));
  });
}

void soak_upstream::impl::Answer(QTcpSocket& socket, const raw_request& request,
                                 int status, absl::string_view body) {
  const QPointer<QTcpSocket> to = &socket;
  After(absl::ZeroDuration(), platform_scene::Field(request, "request-id"),
        [this, to, request, status, body = std::string(body)] {
          if (!IsOpen(to)) return;
          WriteText(*to, absl::StrCat(Head(request, status), "Content-Length: ",
                                      body.size(), "\r\n\r\n", body));
        });
}

// Returns the head of an answer with what this upstream states about itself,
// and records the statement.
std::string soak_upstream::impl::Head(const raw_request& request, int status) {
  std::string head = platform_scene::Head(request, status);
  std::vector<upstream_word>& words = RecordOf(request).words;
  const absl::Time now = MonotonicNow();
  if (leaving) {
    head += "Server-Leaving: 1\r\n";
    words.push_back({id, now, absl::InfiniteFuture()});
  }
  if (status == 503 && now < paused_until) {
    absl::StrAppend(&head,
                    "Retry-After: ", absl::ToDoubleSeconds(paused_until - now),
                    "\r\n");
    words.push_back({id, now, paused_until});
  }
  return head;
}

// Answers that the request was not run.
void soak_upstream::impl::RefuseToRun(QTcpSocket& socket,
                                      const raw_request& request, int status) {
  const QPointer<QTcpSocket> to = &socket;
  After(absl::ZeroDuration(), platform_scene::Field(request, "request-id"),
        [this, to, request, status] {
          if (!IsOpen(to)) return;
          const std::string head =
              status == 421 ? "HTTP/1.1 421 Other\r\n" : Head(request, status);
          WriteText(*to, absl::StrCat(
                             head, "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        });
}

void soak_upstream::impl::Handle(QTcpSocket& socket,
                                 const raw_request& request) {
  if (platform_scene::Field(request, "expect-instance") != id) {
    if (!absl::StartsWith(request.target, "/api/")) RecordArrival(request);
    return RefuseToRun(socket, request, 421);
  }
  if (absl::StartsWith(request.target, "/api/report")) {
    const absl::string_view name =
        stage == upstream_stage::prefill ? "prefill" : "decode";
    return Answer(socket, request, 200,
                  absl::StrCat(R"({"Busy":false,"Seq":)", orders,
                               R"(,"Stage":")", name, R"("})"));
  }
  if (absl::StartsWith(request.target, "/api/order")) {
    // Stages stay as they are.
    return Answer(socket, request, 409, "{}");
  }
  if (request.method == "DELETE") {
    return Answer(socket, request, 200, "{}");
  }
  if (fault == upstream_fault::refuse || MonotonicNow() < paused_until) {
    RecordArrival(request);
    return RefuseToRun(socket, request, 503);
  }
  if (platform_scene::Field(request, "stage") == "prefill") {
    return Prefill(socket, request);
  }
  Run(socket, request);
}

void soak_upstream::impl::Prefill(QTcpSocket& socket,
                                  const raw_request& request) {
  const size_t arrival = RecordArrival(request);
  const QPointer<QTcpSocket> to = &socket;
  const absl::Duration work = fault == upstream_fault::late ? kLate : kWork;
  const std::string request_id = platform_scene::Field(request, "request-id");
  if (fault != upstream_fault::none) records[request_id].failed = true;
  After(work, request_id, [this, to, request, arrival] {
    if (!IsOpen(to)) return;
    if (fault == upstream_fault::lose) return raw_server::Reset(*to);
    const int status = fault == upstream_fault::fail ? 500 : 200;
    RecordOf(request).arrivals[arrival].accepted_prefill = status == 200;
    Answer(*to, request, status,
           absl::StrCat(R"({"Handle":"h)", ++handles, R"(","Tokens":100})"));
  });
}

upstream_fault soak_upstream::impl::NextFault() {
  ++runs;
  if (fault == upstream_fault::none && endless) return upstream_fault::endless;
  if (fault != upstream_fault::none || spoil_period == 0 ||
      runs % spoil_period != 0) {
    return fault;
  }
  return runs / spoil_period % 2 == 0 ? upstream_fault::fail
                                      : upstream_fault::lose;
}

void soak_upstream::impl::Run(QTcpSocket& socket, const raw_request& request) {
  const std::string request_id = platform_scene::Field(request, "request-id");
  RecordArrival(request);
  if (refuse_period != 0 && ++requests % refuse_period == 0) {
    const QPointer<QTcpSocket> to = &socket;
    return After(WorkOf(request, kWork) / 2, request_id, [this, to, request] {
      if (IsOpen(to)) RefuseToRun(*to, request, 503);
    });
  }
  records[request_id].runs.push_back(MonotonicNow());
  const QPointer<QTcpSocket> to = &socket;
  if (crash &&
      absl::StrContains(platform_scene::Field(request, "prompt-prefix"),
                        kDeadlyPart)) {
    records[request_id].failed = true;
    return After(kWork, request_id, [this, to] {
      if (IsOpen(to)) crash();
    });
  }
  const upstream_fault spoilt = NextFault();
  if (spoilt != upstream_fault::none) records[request_id].failed = true;
  if (spoilt == upstream_fault::lose) return raw_server::Reset(socket);
  const absl::Duration work = spoilt == upstream_fault::late ? kLate
                              : stage == upstream_stage::service
                                  ? WorkOf(request, kWork)
                                  : kWork;
  After(work, request_id, [this, to, request, request_id, spoilt] {
    if (!IsOpen(to)) {
      records[request_id].stops.push_back(MonotonicNow());
      return;
    }
    if (spoilt == upstream_fault::fail) {
      return Answer(*to, request, 500, "failed");
    }
    if (spoilt == upstream_fault::endless) {
      // To an engine's caller, the begin of an event.
      WriteText(*to, Head(request, 200) + "\r\nid: 1\ndata: ");
      return SendWithoutEnd(to, request_id);
    }
    if (stage == upstream_stage::service) {
      return Answer(*to, request, 200, absl::StrCat("done ", request_id));
    }
    Stream(*to, request);
  });
}

void soak_upstream::impl::Stream(QTcpSocket& socket,
                                 const raw_request& request) {
  WriteText(socket, absl::StrCat(Head(request, 200),
                                 "Transfer-Encoding: chunked\r\n\r\n"));
  int last = 0;
  (void)absl::SimpleAtoi(platform_scene::Field(request, "last-event-id"),
                         &last);
  const QPointer<QTcpSocket> to = &socket;
  const std::string request_id = platform_scene::Field(request, "request-id");
  const int events = EventsWithin(WorkOf(request, kWork));
  After(kEventGap, request_id,
        [this, to, request_id, first = last + 1, events] {
          NextEvent(to, request_id, first, events);
        });
}

// Sends bytes until the caller closes the connection.
void soak_upstream::impl::SendWithoutEnd(const QPointer<QTcpSocket>& socket,
                                         const std::string& id) {
  if (!IsOpen(socket)) {
    records[id].stops.push_back(MonotonicNow());
    return;
  }
  if (socket->bytesToWrite() == 0) {
    WriteText(*socket, std::string(kEndlessBlock, 'a'));
  }
  After(kEndlessInterval, id,
        [this, socket, id] { SendWithoutEnd(socket, id); });
}

void soak_upstream::impl::NextEvent(const QPointer<QTcpSocket>& socket,
                                    const std::string& id, int number,
                                    int events) {
  const bool ended = number > events;
  if (!IsOpen(socket) || ended) {
    if (IsOpen(socket)) WriteText(*socket, "0\r\n\r\n");
    records[id].stops.push_back(MonotonicNow());
    return;
  }
  raw_server::Chunk(*socket, StreamEvent(id, number));
  After(kEventGap, id, [this, socket, id, number, events] {
    NextEvent(socket, id, number + 1, events);
  });
}

soak_upstream::soak_upstream(std::string id, upstream_stage stage,
                             std::map<std::string, upstream_record>& records)
    : impl_(std::make_unique<impl>(std::move(id), stage, records)) {
  impl_->server = std::make_unique<raw_server>(
      [this](QTcpSocket& socket, const raw_request& request) {
        impl_->Handle(socket, request);
      });
  impl_->link = std::make_unique<fault_proxy>(impl_->server->Address());
}

soak_upstream::~soak_upstream() = default;

std::string soak_upstream::Entry(bool leaving) const {
  const bool is_service = impl_->stage == upstream_stage::service;
  const absl::string_view stage = is_service ? ""
                                  : impl_->stage == upstream_stage::prefill
                                      ? "prefill"
                                      : "decode";
  return absl::StrCat(
      R"({"Service":")", is_service ? "ledger" : "model", R"(","Addr":")",
      impl_->link->Address(), R"(","Zone":"z","Slots":)",
      is_service ? kServiceSlots : kEngineSlots, R"(,"State":")",
      leaving ? "draining" : "ready", R"(","Stage":")", stage, R"(","Seq":0})");
}

const std::string& soak_upstream::Id() const { return impl_->id; }

void soak_upstream::Renew(std::string id) {
  impl_->id = std::move(id);
  impl_->leaving = false;
}

void soak_upstream::Leave() { impl_->leaving = true; }

void soak_upstream::Pause(absl::Duration lasts) {
  impl_->paused_until = std::max(impl_->paused_until, MonotonicNow() + lasts);
}

void soak_upstream::OnCrash(std::function<void()> crash) {
  impl_->crash = std::move(crash);
}

void soak_upstream::SetFault(upstream_fault fault) { impl_->fault = fault; }

void soak_upstream::FallSilent(absl::Duration lasts) {
  const absl::Time now = MonotonicNow();
  if (now >= impl_->silent_until + kTalk) impl_->silent_until = now + lasts;
}

void soak_upstream::SpoilEach(int period) { impl_->spoil_period = period; }

void soak_upstream::SendEndlessly(bool endless) { impl_->endless = endless; }

void soak_upstream::RefuseEach(int period) { impl_->refuse_period = period; }

fault_proxy& soak_upstream::Link() { return *impl_->link; }

}  // namespace anvilridge
