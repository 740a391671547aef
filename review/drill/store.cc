#include "store.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <utility>

namespace review {
namespace {

constexpr size_t kPartitions = 12;
constexpr size_t kTopicsOfGroup = 4;
constexpr int kLookMs = 5;

std::string BigEndian(uint64_t number, int bytes) {
  std::string text;
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    text.push_back(static_cast<char>((number >> shift) & 0xFF));
  }
  return text;
}

std::string Base64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t j = 0; j < 3; ++j) {
      const size_t at = i + j;
      group = (group << 8) |
              (at < bytes.size() ? static_cast<unsigned char>(bytes[at]) : 0U);
    }
    for (size_t j = 0; j < 4; ++j) {
      const bool used = i + j <= bytes.size();
      text.push_back(used ? kDigits[(group >> (18 - 6 * j)) & 63] : '=');
    }
  }
  return text;
}

std::string RowOf(size_t partition) {
  return "[\"daemons-" + std::to_string(partition / kPartitions) + "\"," +
         std::to_string(partition % kPartitions);
}

}  // namespace

void run_record::Add(const std::string& line) {
  std::array<char, 32> time;
  std::snprintf(time.data(), time.size(), "%9.3f ",
                static_cast<double>(NowMs()) / 1000);
  const std::lock_guard lock(mutex_);
  out_ << time.data() << line << "\n" << std::flush;
}

store_server::store_server(const std::string& ip, int port, run_record& record)
    : record_(record) {
  state_.owners.resize(kPartitions * kTopicsOfGroup);
  state_.targets.resize(kPartitions * kTopicsOfGroup);
  server_ = std::make_unique<server>(
      ip, port, [this](const message& request, connection& with) {
        Answer(request, with);
      });
}

int64_t store_server::Put(const std::string& topic, const std::string& key,
                          const std::optional<std::string>& value) {
  const std::lock_guard lock(mutex_);
  if (away_) return -1;
  std::vector<stored_record>& records = state_.topics[topic];
  records.push_back({key, value});
  const auto offset = static_cast<int64_t>(records.size()) - 1;
  record_.Add("store: " + topic + " " + key + " at offset " +
              std::to_string(offset) + ": " + value.value_or("(dropped)"));
  return offset;
}

void store_server::TakeCopy() {
  const std::lock_guard lock(mutex_);
  copy_ = state_;
  record_.Add("store: a copy is taken, generation " +
              std::to_string(copy_.generation));
}

void store_server::GoAway() {
  const std::lock_guard lock(mutex_);
  away_ = true;
  record_.Add("store: away");
}

void store_server::Return() {
  const std::lock_guard lock(mutex_);
  away_ = false;
  record_.Add("store: back");
}

void store_server::ReturnFromCopy() {
  const std::lock_guard lock(mutex_);
  state_ = copy_;
  // Leases pause while the store is away.
  for (auto& [name, member] : state_.members) {
    member.lease_end_ms = NowMs() + member.ttl_ms;
  }
  ++era_;
  away_ = false;
  record_.Add("store: back from the copy, era " + std::to_string(era_) +
              ", generation " + std::to_string(state_.generation));
}

void store_server::DealAnew(const std::string& first) {
  const std::lock_guard lock(mutex_);
  EndLeases();
  std::vector<std::string> names;
  for (const auto& [name, member] : state_.members) names.push_back(name);
  const auto place = std::find(names.begin(), names.end(), first);
  if (place == names.end()) return;
  const auto next = static_cast<size_t>(place - names.begin());
  for (size_t i = 0; i < state_.owners.size(); ++i) {
    state_.owners[i] = names[(next + i) % names.size()];
    state_.targets[i] = state_.owners[i];
  }
  ++state_.generation;
  record_.Add("store: all partitions dealt anew, generation " +
              std::to_string(state_.generation) + ", the first one to " +
              state_.owners.front());
}

std::string store_server::FirstHolder() {
  const std::lock_guard lock(mutex_);
  return state_.owners.front();
}

int64_t store_server::GenerationOf(const std::string& member) {
  const std::lock_guard lock(mutex_);
  const auto found = received_.find(member);
  return found == received_.end() ? 0 : found->second;
}

std::vector<std::string> store_server::Members() {
  const std::lock_guard lock(mutex_);
  std::vector<std::string> names;
  for (const auto& [name, member] : state_.members) names.push_back(name);
  return names;
}

std::string store_server::EraField() const {
  return "Store-Era: " + std::to_string(era_) + "\r\n";
}

void store_server::Answer(const message& request, connection& with) {
  const std::string path = request.target.substr(0, request.target.find('?'));
  std::string response;
  {
    const std::lock_guard lock(mutex_);
    if (away_) {
      response = JsonResponse(503, EraField(), "{}");
    } else if (path == "/api/log-newest") {
      response = JsonResponse(200, EraField(),
                              List(QueryValue(request.target, "Topic")));
    } else if (path == "/api/log-join") {
      response = JsonResponse(200, EraField(), Join(request.body));
    } else if (path == "/api/log-owners") {
      response = JsonResponse(200, EraField(), Owners());
    } else if (path == "/api/log-leave") {
      Leave(request.body);
      response = JsonResponse(200, EraField(), "{}");
    } else if (path != "/api/log-read") {
      response = JsonResponse(404, EraField(), "{}");
    }
  }
  if (!response.empty()) {
    with.Send(response);
    return;
  }
  AnswerRead(request, with);
}

void store_server::AnswerRead(const message& request, connection& with) {
  const std::string topic = QueryValue(request.target, "Topic");
  const auto from = static_cast<size_t>(QueryNumber(request.target, "From"));
  const int64_t until = NowMs() + QueryNumber(request.target, "WaitMs");
  while (true) {
    std::string response;
    {
      const std::lock_guard lock(mutex_);
      const std::vector<stored_record>& records = state_.topics[topic];
      if (away_) {
        response = JsonResponse(503, EraField(), "{}");
      } else if (from > records.size()) {
        response = JsonResponse(410, EraField(), R"({"First":0})");
      } else if (from < records.size() || NowMs() >= until) {
        std::string body = BigEndian(records.size(), 8) + BigEndian(0, 8);
        for (size_t i = from; i < records.size(); ++i) {
          const std::string content = BigEndian(records[i].key.size(), 1) +
                                      records[i].key +
                                      records[i].value.value_or("");
          body += BigEndian(content.size(), 4) + content;
        }
        response =
            ResponseHead(200, EraField()) +
            "Content-Type: application/octet-stream\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
      }
    }
    if (!response.empty()) {
      with.Send(response);
      return;
    }
    if (with.IsClosed()) return;
    SleepMs(kLookMs);
  }
}

std::string store_server::List(const std::string& topic) {
  const std::vector<stored_record>& records = state_.topics[topic];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < records.size(); ++i) newest[records[i].key] = i;
  std::string items;
  for (const auto& [key, offset] : newest) {
    const std::optional<std::string>& value = records[offset].value;
    if (!value) continue;
    if (!items.empty()) items += ",";
    items += R"({"Key":")" + key + R"(","Value":")" + Base64(*value) +
             R"(","Offset":)" + std::to_string(offset) + "}";
  }
  return R"({"items":[)" + items + R"(],"HasMore":false,"End":)" +
         std::to_string(records.size()) + "}";
}

void store_server::EndLeases() {
  const size_t ended = std::erase_if(state_.members, [](const auto& member) {
    return member.second.lease_end_ms < NowMs();
  });
  if (ended == 0) return;
  ++state_.generation;
  SpreadPartitions();
}

// Spreads the partitions evenly over the members; each keeps what it may.
void store_server::SpreadPartitions() {
  const size_t partitions = state_.targets.size();
  std::map<std::string, size_t> room;
  for (const auto& [name, member] : state_.members) {
    room[name] =
        (partitions + state_.members.size() - 1) / state_.members.size();
  }
  for (size_t i = 0; i < partitions; ++i) {
    const auto keeps = room.find(state_.targets[i]);
    if (keeps == room.end() || keeps->second == 0) {
      state_.targets[i].clear();
    } else {
      --keeps->second;
    }
  }
  for (std::string& target : state_.targets) {
    if (!target.empty() || room.empty()) continue;
    const auto most = std::max_element(room.begin(), room.end(),
                                       [](const auto& one, const auto& other) {
                                         return one.second < other.second;
                                       });
    target = most->first;
    if (most->second > 0) --most->second;
  }
  for (std::string& owner : state_.owners) {
    if (state_.members.find(owner) == state_.members.end()) owner.clear();
  }
  GivePartitions();
}

void store_server::GivePartitions() {
  for (size_t i = 0; i < state_.owners.size(); ++i) {
    if (state_.owners[i].empty()) state_.owners[i] = state_.targets[i];
  }
}

std::string store_server::Join(const std::string& body) {
  EndLeases();
  const std::string name = JsonValue(body, "Member");
  const bool is_new = state_.members.find(name) == state_.members.end();
  group_member& member = state_.members[name];
  member.ttl_ms = JsonNumber(body, "TtlMs");
  member.lease_end_ms = NowMs() + member.ttl_ms;
  if (is_new) {
    ++state_.generation;
    SpreadPartitions();
    record_.Add("store: " + name + " joins, generation " +
                std::to_string(state_.generation));
  }
  // A member that knows the generation has given up what isn't listed.
  if (JsonNumber(body, "Generation") >= state_.generation) {
    for (size_t i = 0; i < state_.owners.size(); ++i) {
      if (state_.owners[i] == name && state_.targets[i] != name) {
        state_.owners[i].clear();
      }
    }
    GivePartitions();
  }
  received_[name] = state_.generation;
  std::string rows;
  for (size_t i = 0; i < state_.owners.size(); ++i) {
    if (state_.owners[i] != name || state_.targets[i] != name) continue;
    if (!rows.empty()) rows += ",";
    rows += RowOf(i) + ",0]";
  }
  return R"({"Generation":)" + std::to_string(state_.generation) +
         R"(,"TtlMs":)" + std::to_string(member.ttl_ms) + R"(,"parts":[)" +
         rows + "]}";
}

std::string store_server::Owners() {
  std::string rows;
  for (size_t i = 0; i < state_.owners.size(); ++i) {
    if (state_.owners[i].empty()) continue;
    if (!rows.empty()) rows += ",";
    rows += RowOf(i) + ",\"" + state_.owners[i] + "\",0]";
  }
  return R"({"owners":[)" + rows + "]}";
}

void store_server::Leave(const std::string& body) {
  const std::string name = JsonValue(body, "Member");
  if (state_.members.erase(name) == 0) return;
  ++state_.generation;
  SpreadPartitions();
  record_.Add("store: " + name + " leaves, generation " +
              std::to_string(state_.generation));
}

}  // namespace review
