// Cost of placement's calls between daemons: peer_cost PEERS CALLS
// One client and one server with PEERS connections between them, as many as a
// daemon has to and from its peers; CPU is that of both ends of a call, and as
// many calls reach a daemon as leave it.
#include <QCoreApplication>
#include <QEventLoop>
#include <string>

#include "absl/strings/str_cat.h"
#include "bench_meter.h"
#include "peer/peer_client.h"
#include "peer/peer_server.h"
#include "placement/home_messages.h"

namespace anvilridge {
namespace {

const std::string kKey = "deployment-key";
constexpr absl::Duration kTimeout = absl::Seconds(20);

class caller {
 public:
  explicit caller(int peers) : peers_(peers) {
    server_.Handle(kReserveDecodeMethod, [](const QCborMap& request,
                                            auto respond) {
      const auto message = ParseReserveDecode(request);
      if (!message.ok()) return respond(message.status());
      respond(ToCbor(reserve_decode_reply{true, 3, 900, absl::ZeroDuration()},
                     key_form::numbers));
    });
    if (!server_.Listen({"0.0.0.0", 0}).ok()) ++failed;
  }

  // Makes one call after the other, to each peer in turn.
  void Make(int calls) {
    left_ = calls;
    Next();
    loop_.exec();
  }

  int failed = 0;
  peer_client client{kKey};

 private:
  void Next() {
    if (left_-- == 0) return loop_.quit();
    // Each loopback address is another peer to the client.
    const int peer = left_ % peers_;
    const std::string address = absl::StrCat(
        "127.0.", 1 + peer / 200, ".", 1 + peer % 200, ":", server_.Port());
    reserve_decode_message ask{"engine-zagreb-a-1",
                               {absl::StrCat("0123456789abcdef01234567", left_),
                                "entry-zagreb-a-1:1800000000000000",
                                80,
                                absl::Milliseconds(300),
                                absl::Seconds(8),
                                {},
                                "team"}};
    client.Call(address, kReserveDecodeMethod, ToCbor(ask, key_form::numbers),
                kTimeout, [this](const auto& answer) {
                  if (!answer.ok()) ++failed;
                  Next();
                });
  }

  int peers_;
  peer_server server_{kKey};
  QEventLoop loop_;
  int left_ = 0;
};

int Run(int peers, int calls) {
  const double heap = HeapBytes();
  caller all(peers);
  const double opening = CpuMicroseconds();
  all.Make(peers);
  const double opened = CpuMicroseconds();
  const double connections = HeapBytes() - heap;
  const double first_bytes =
      static_cast<double>(all.client.BytesSent() + all.client.BytesReceived());
  all.Make(calls);
  const double cpu = CpuMicroseconds() - opened;
  const double bytes =
      static_cast<double>(all.client.BytesSent() + all.client.BytesReceived()) -
      first_bytes;
  PrintLine({{"bench", "peer_cost"},
             {"peers", peers},
             {"calls", calls},
             {"failed", all.failed},
             {"open_and_first_call_us", (opened - opening) / peers},
             {"open_and_first_call_bytes", first_bytes / peers},
             {"heap_bytes_per_connection", connections / peers},
             {"cpu_us_per_call_both_ends", cpu / calls},
             {"bytes_per_call", bytes / calls}});
  return all.failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace anvilridge

int main(int argc, char** argv) {
  const QCoreApplication application(argc, argv);
  using anvilridge::SizeArgument;
  return anvilridge::Run(SizeArgument(argc, argv, 1, 370),
                         SizeArgument(argc, argv, 2, 4000));
}
