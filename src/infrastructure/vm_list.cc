#include "infrastructure/vm_list.h"

#include <limits>
#include <utility>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "upstreams/json_reader.h"

namespace anvilridge {
namespace {

constexpr absl::Duration kListTimeout = absl::Seconds(5);
constexpr int kHttpOk = 200;

void NoteMalformed(json_reader& reader, absl::string_view problem) {
  if (!reader.status.ok()) return;
  reader.status = MakeError(error_kind::upstream_failed,
                            absl::StrCat("malformed VM list: ", problem));
}

vm_kind ReadKind(json_reader& reader) {
  const std::string text = ReadText(reader, "kind");
  if (text == "entry") return vm_kind::entry;
  if (text == "engine") return vm_kind::engine;
  if (text != "service") NoteMalformed(reader, "unknown kind");
  return vm_kind::service;
}

vm_state ReadState(json_reader& reader) {
  const std::string text = ReadText(reader, "state");
  if (text == "live") return vm_state::live;
  if (text != "leaving") NoteMalformed(reader, "unknown state");
  return vm_state::leaving;
}

uint16_t ReadPort(json_reader& reader) {
  const int64_t port = ReadInteger(reader, "peer_port");
  if (port > std::numeric_limits<uint16_t>::max()) {
    NoteMalformed(reader, "peer_port is too large");
  }
  return static_cast<uint16_t>(port);
}

vm_entry ParseEntry(json_reader& reader) {
  vm_entry entry;
  entry.name = ReadText(reader, "name");
  entry.address = ReadText(reader, "address");
  entry.failure_domain = ReadText(reader, "failure_domain");
  entry.kind = ReadKind(reader);
  entry.state = ReadState(reader);
  // Only entry VMs have a peer port.
  const bool has_port = reader.object.contains(QLatin1String("peer_port"));
  if (has_port || entry.kind == vm_kind::entry) {
    entry.peer_port = ReadPort(reader);
  }
  return entry;
}

absl::StatusOr<std::vector<vm_entry>> ParseList(const http_result& result) {
  if (!result.status.ok()) return result.status;
  if (result.http_status != kHttpOk) {
    return MakeError(
        error_kind::upstream_failed,
        absl::StrCat("the VM list answered http ", result.http_status));
  }
  absl::StatusOr<json_reader> reader = ParseJson(result.body);
  if (!reader.ok()) return reader.status();
  std::vector<vm_entry> entries;
  const QJsonArray rows = ReadArray(*reader, "vms");
  for (const auto& row : rows) {
    json_reader part = ReaderOf(row);
    entries.push_back(ParseEntry(part));
    if (reader->status.ok()) reader->status = part.status;
  }
  if (!reader->status.ok()) return reader->status;
  return entries;
}

}  // namespace

void GetVmList(
    http_client& client, absl::string_view address,
    std::function<void(absl::StatusOr<std::vector<vm_entry>>)> done) {
  http_call call;
  call.address = std::string(address);
  call.target = "/vms";
  call.repeatable = true;
  call.timeout = kListTimeout;
  http_handler handler;
  handler.on_done = [done = std::move(done)](const http_result& result) {
    done(ParseList(result));
  };
  client.Start(std::move(call), std::move(handler));
}

}  // namespace anvilridge
