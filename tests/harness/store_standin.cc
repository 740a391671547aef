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
  std::string value;
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
  std::map<std::string, std::vector<stored_record>> topics;
  // Ends of the leases, by member; one group.
  std::map<std::string, absl::Time> members;
  int generation = 1;
  std::list<waiting_read> waiting;
  std::unique_ptr<raw_server> server;
  std::unique_ptr<QTimer> look;

  std::string ReadAnswer(const std::string& target);
  std::string ListAnswer(const std::string& target);
  std::string JoinAnswer(const QJsonObject& body);
  std::string OwnersAnswer() const;
  void EndLeases();
  bool HasNews(const std::string& target);
  void Look();
  void Answer(QTcpSocket& socket, const raw_request& request);
};

std::string store_standin::impl::ReadAnswer(const std::string& target) {
  const std::lock_guard lock(mutex);
  const auto& records = topics[QueryValue(target, "Topic")];
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
  const std::lock_guard lock(mutex);
  const auto& records = topics[QueryValue(target, "Topic")];
  QJsonArray items;
  for (size_t i = 0; i < records.size(); ++i) {
    items.append(QJsonObject{
        {"Key", QString::fromStdString(records[i].key)},
        {"Value", QString::fromLatin1(
                      QByteArray::fromStdString(records[i].value).toBase64())},
        {"Offset", static_cast<int>(i)}});
  }
  const QJsonObject page{{"items", items},
                         {"HasMore", false},
                         {"End", static_cast<int>(records.size())}};
  return QJsonDocument(page).toJson().toStdString();
}

void store_standin::impl::EndLeases() {
  const absl::Time now = MonotonicNow();
  if (std::erase_if(members, [now](const auto& member) {
        return member.second < now;
      }) > 0) {
    ++generation;
  }
}

std::string store_standin::impl::JoinAnswer(const QJsonObject& body) {
  EndLeases();
  const std::string member = body["Member"].toString().toStdString();
  if (members.find(member) == members.end()) ++generation;
  members[member] =
      MonotonicNow() + absl::Milliseconds(body["TtlMs"].toDouble());
  QJsonArray rows;
  if (members.begin()->first == member) {
    rows.append(QJsonArray{"daemons-0", 0, 0});
  }
  const QJsonObject answer{{"Generation", generation}, {"parts", rows}};
  return QJsonDocument(answer).toJson().toStdString();
}

std::string store_standin::impl::OwnersAnswer() const {
  QJsonArray rows;
  int partition = 0;
  for (const auto& [member, until] : members) {
    rows.append(QJsonArray{QString::fromStdString(absl::StrCat(
                               "daemons-", partition / kPartitions)),
                           partition % kPartitions,
                           QString::fromStdString(member), 0});
    ++partition;
  }
  return QJsonDocument(QJsonObject{{"parts", rows}}).toJson().toStdString();
}

bool store_standin::impl::HasNews(const std::string& target) {
  const std::lock_guard lock(mutex);
  return static_cast<size_t>(QueryNumber(target, "From")) <
         topics[QueryValue(target, "Topic")].size();
}

void store_standin::impl::Look() {
  const absl::Time now = MonotonicNow();
  waiting.remove_if([&](const waiting_read& read) {
    if (!read.socket) return true;
    if (!up) {
      raw_server::Answer(*read.socket, 503, "");
      return true;
    }
    if (read.until > now && !HasNews(read.target)) return false;
    raw_server::Answer(*read.socket, 200, ReadAnswer(read.target));
    return true;
  });
}

void store_standin::impl::Answer(QTcpSocket& socket,
                                 const raw_request& request) {
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
    return raw_server::Answer(socket, 200, ListAnswer(target));
  }
  if (absl::StartsWith(target, "/api/log-join")) {
    return raw_server::Answer(socket, 200, JoinAnswer(body));
  }
  if (absl::StartsWith(target, "/api/log-owners")) {
    return raw_server::Answer(socket, 200, OwnersAnswer());
  }
  if (absl::StartsWith(target, "/api/log-leave")) {
    if (members.erase(body["Member"].toString().toStdString()) > 0) {
      ++generation;
    }
    return raw_server::Answer(socket, 200, "{}");
  }
  raw_server::Answer(socket, 404, "");
}

store_standin::store_standin() : impl_(std::make_unique<impl>()) {
  impl_->server = std::make_unique<raw_server>(
      [this](QTcpSocket& socket, const raw_request& request) {
        if (!impl_->up) return raw_server::Answer(socket, 503, "");
        impl_->Answer(socket, request);
      });
  impl_->look = RunEvery(kLookInterval, [this] { impl_->Look(); });
}

store_standin::~store_standin() = default;

std::string store_standin::Address() const { return impl_->server->Address(); }

void store_standin::SetUp(bool up) { impl_->up = up; }

void store_standin::Put(const std::string& topic, const std::string& key,
                        const std::string& value) {
  const std::lock_guard lock(impl_->mutex);
  impl_->topics[topic].push_back({key, value});
}

}  // namespace anvilridge
