#include "operators/follow_events.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QString>
#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "config/config_names.h"
#include "operators/command_runner.h"
#include "operators/past_form.h"
#include "operators/time_words.h"

namespace anvilridge {
namespace {

void DropClosed(follower_list& followers) {
  followers.erase(std::remove_if(followers.begin(), followers.end(),
                                 [](const history_follower& follower) {
                                   return follower.exchange->Closed();
                                 }),
                  followers.end());
}

QString ToQt(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

std::string EventText(const history_entry& entry) {
  const QJsonObject json{{"api", ToQt(kApiVersion)},
                         {"offset", static_cast<double>(entry.offset)},
                         {"time", ToQt(TimeText(entry.recorded))},
                         {"outcome", ToQt(NameOf(entry.outcome))},
                         {"author", ToQt(entry.command.author)},
                         {"id", ToQt(entry.command.id)},
                         {"text", ToQt(PastForm(entry))}};
  return absl::StrCat(
      "id: ", entry.offset, "\nevent: change\ndata: ",
      QJsonDocument(json).toJson(QJsonDocument::Compact).toStdString(), "\n\n");
}

}  // namespace

void AddFollower(follower_list& followers, history_follower follower) {
  DropClosed(followers);
  followers.push_back(std::move(follower));
}

void SendHistory(follower_list& followers, const config_state& config,
                 int64_t after) {
  DropClosed(followers);
  if (followers.empty()) return;
  for (const auto& entry : config.history) {
    if (entry->offset <= after) continue;
    const std::string text = EventText(*entry);
    for (const history_follower& follower : followers) {
      if (!follower.team.empty() && !TeamSees(*entry, follower.team)) continue;
      follower.exchange->Write(text);
    }
  }
}

void SendKeepAlive(follower_list& followers) {
  DropClosed(followers);
  for (const history_follower& follower : followers) {
    follower.exchange->Write(": keep-alive\n\n");
  }
}

void EndAll(follower_list& followers) {
  for (const history_follower& follower : followers) follower.exchange->End();
  followers.clear();
}

}  // namespace anvilridge
