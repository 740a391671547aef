#include "harness/store_standin.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QPointer>
#include <QtEndian>
#include <algorithm>
#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {
namespace {

// How often reads that wait are looked at.
constexpr absl::Duration kLookInterval = absl::Milliseconds(10);
// Partitions of each of a group's topics.
constexpr int kPartitions = 12;

template <typename T>
std::string BigEndian(T number) {
  std::string bytes(sizeof(T), '\0');
  qToBigEndian(number, bytes.data());
  return bytes;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  const size_t at = target.find(name + "=");
  if (at == std::string::npos) return "";
  const std::string rest = target.substr(at + name.size() + 1);
  return rest.substr(0, rest.find('&'));
}

int64_t QueryNumber(const std::string& target, const std::string& name) {
  int64_t number = 0;
  (void)absl::SimpleAtoi(QueryValue(target, name), &number);
  return number;
}

struct stored_record {
  std::string key;
  // Empty if the record removes the key.
  std::string value;
};

struct group_lease {
  absl::Duration ttl;
  absl::Time until;
};

// What the store keeps, and what a copy of it holds.
struct kept_state {
  std::map<std::string, std::vector<stored_record>> topics;
  // By member; one group.
  std::map<std::string, group_lease> members;
  int generation = 1;
};

struct waiting_read {
  QPointer<QTcpSocket> socket;
  std::string target;
  absl::Time until;
};

}  // namespace

struct store_standin::impl {
  std::atomic<bool> up = true;
  std::mutex mutex;
  // Guarded by `mutex`.
  kept_state state;
  kept_state copy;
  int era = 1;
  std::list<waiting_read> waiting;
  std::unique_ptr<raw_server> server;
  std::unique_ptr<QTimer> look;

  // The functions below need `mutex`.
  std::string ReadAnswer(const std::string& target);
  std::string ListAnswer(const std::string& target);
  std::string JoinAnswer(const QJsonObject& body);
  std::string OwnersAnswer() const;
  void EndLeases();
  bool AnswerRead(const waiting_read& read);
  void Look();
  void Answer(QTcpSocket& socket, const raw_request& request);
  void Send(QTcpSocket& socket, int status, const std::string& body) const;
};

void store_standin::impl::Send(QTcpSocket& socket, int status,
                               const std::string& body) const {
  const std::string text =
      absl::StrCat("HTTP/1.1 ", status, " X\r\nStore-Era: ", era,
                   "\r\nContent-Length: ", body.size(), "\r\n\r\n", body);
  socket.write(text.data(), static_cast<qint64>(text.size()));
}

std::string store_standin::impl::ReadAnswer(const std::string& target) {
  const auto& records = state.topics[QueryValue(target, "Topic")];
  std::string body = BigEndian<quint64>(records.size()) + BigEndian<quint64>(0);
  for (size_t i = QueryNumber(target, "From"); i < records.size(); ++i) {
    const std::string content =
        std::string(1, static_cast<char>(records[i].key.size())) +
        records[i].key + records[i].value;
    body += BigEndian(static_cast<quint32>(content.size())) + content;
  }
  return body;
}

std::string store_standin::impl::ListAnswer(const std::string& target) {
  const auto& records = state.topics[QueryValue(target, "Topic")];
  std::map<std::string, size_t> newest;
  for (size_t i = 0; i < records.size(); ++i) newest[records[i].key] = i;
  QJsonArray items;
  for (const auto& [key, offset] : newest) {
    const std::string& value = records[offset].value;
    if (value.empty()) continue;
    items.append(QJsonObject{
        {"Key", QString::fromStdString(key)},
        {"Value",
         QString::fromLatin1(QByteArray::fromStdString(value).toBase64())},
        {"Offset", static_cast<int>(offset)}});
  }
  const QJsonObject page{{"items", items},
                         {"HasMore", false},
                         {"End", static_cast<int>(records.size())}};
  return QJsonDocument(page).toJson().toStdString();
}

void store_standin::impl::EndLeases() {
  const absl::Time now = MonotonicNow();
  if (std::erase_if(state.members, [now](const auto& member) {
        return member.second.until < now;
      }) > 0) {
    ++state.generation;
  }
}

std::string store_standin::impl::JoinAnswer(const QJsonObject& body) {
  EndLeases();
  const std::string member = body["Member"].toString().toStdString();
  if (state.members.find(member) == state.members.end()) ++state.generation;
  const absl::Duration ttl = absl::Milliseconds(body["TtlMs"].toDouble());
  state.members[member] = {ttl, MonotonicNow() + ttl};
  QJsonArray rows;
  if (state.members.begin()->first == member) {
    rows.append(QJsonArray{"daemons-0", 0, 0});
  }
  const QJsonObject answer{{"Generation", state.generation}, {"parts", rows}};
  return QJsonDocument(answer).toJson().toStdString();
}

std::string store_standin::impl::OwnersAnswer() const {
  QJsonArray rows;
  int partition = 0;
  for (const auto& [member, lease] : state.members) {
    rows.append(QJsonArray{QString::fromStdString(absl::StrCat(
                               "daemons-", partition / kPartitions)),
                           partition % kPartitions,
                           QString::fromStdString(member), 0});
    ++partition;
  }
  return QJsonDocument(QJsonObject{{"parts", rows}}).toJson().toStdString();
}

// Answers `read` if that is due, and returns whether it needs no answer any
// more.
bool store_standin::impl::AnswerRead(const waiting_read& read) {
  if (!read.socket) return true;
  const auto from = static_cast<size_t>(QueryNumber(read.target, "From"));
  const size_t end = state.topics[QueryValue(read.target, "Topic")].size();
  if (!up) {
    Send(*read.socket, 503, "");
  } else if (from > end) {
    Send(*read.socket, 410, R"({"First":0})");
  } else if (from < end || read.until <= MonotonicNow()) {
    Send(*read.socket, 200, ReadAnswer(read.target));
  } else {
    return false;
  }
  return true;
}

void store_standin::impl::Look() {
  waiting.remove_if(
      [this](const waiting_read& read) { return AnswerRead(read); });
}

void store_standin::impl::Answer(QTcpSocket& socket,
                                 const raw_request& request) {
  if (!up) return Send(socket, 503, "");
  const std::string& target = request.target;
  const QJsonObject body =
      QJsonDocument::fromJson(QByteArray::fromStdString(request.body)).object();
  if (absl::StartsWith(target, "/api/log-read")) {
    const absl::Duration wait =
        absl::Milliseconds(QueryNumber(target, "WaitMs"));
    waiting.push_back({&socket, target, MonotonicNow() + wait});
    return Look();
  }
  if (absl::StartsWith(target, "/api/log-newest")) {
    return Send(socket, 200, ListAnswer(target));
  }
  if (absl::StartsWith(target, "/api/log-join")) {
    return Send(socket, 200, JoinAnswer(body));
  }
  if (absl::StartsWith(target, "/api/log-owners")) {
    return Send(socket, 200, OwnersAnswer());
  }
  if (absl::StartsWith(target, "/api/log-leave")) {
    if (state.members.erase(body["Member"].toString().toStdString()) > 0) {
      ++state.generation;
    }
    return Send(socket, 200, "{}");
  }
  Send(socket, 404, "");
}

store_standin::store_standin() : impl_(std::make_unique<impl>()) {
  impl_->server = std::make_unique<raw_server>(
      [this](QTcpSocket& socket, const raw_request& request) {
        const std::lock_guard lock(impl_->mutex);
        impl_->Answer(socket, request);
      });
  impl_->look = RunEvery(kLookInterval, [this] {
    const std::lock_guard lock(impl_->mutex);
    impl_->Look();
  });
}

store_standin::~store_standin() = default;

std::string store_standin::Address() const { return impl_->server->Address(); }

void store_standin::SetUp(bool up) { impl_->up = up; }

void store_standin::Put(const std::string& topic, const std::string& key,
                        const std::string& value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->state.topics[topic].push_back({key, value});
}

void store_standin::TakeCopy() {
  const std::lock_guard lock(impl_->mutex);
  impl_->copy = impl_->state;
}

void store_standin::ReturnFromCopy() {
  const std::lock_guard lock(impl_->mutex);
  impl_->state = impl_->copy;
  for (auto& [name, lease] : impl_->state.members) {
    lease.until = MonotonicNow() + lease.ttl;
  }
  ++impl_->era;
}

}  // namespace anvilridge
