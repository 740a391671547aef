#include "quarantine/quarantine_text.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/qt_text.h"

namespace anvilridge {
namespace {

QJsonArray PartNames(absl::Span<const prompt_part> parts) {
  QJsonArray names;
  for (const prompt_part part : parts) {
    names.append(QtText(PromptPartName(part)));
  }
  return names;
}

QJsonObject VerdictObject(const quarantine_verdict& verdict, absl::Time now) {
  return {
      {"parts", PartNames(verdict.parts)},
      {"engines", static_cast<double>(verdict.engines.size())},
      {"first_crash_age_s", absl::ToDoubleSeconds(now - verdict.first_crash)},
      {"last_crash_age_s", absl::ToDoubleSeconds(now - verdict.last_crash)},
      {"next_trial_in_s", absl::ToDoubleSeconds(verdict.next_trial - now)}};
}

QJsonObject CrashObject(const crash_report& report, absl::Time now) {
  return {{"engine", static_cast<double>(report.engine)},
          {"age_s", absl::ToDoubleSeconds(now - report.time)},
          {"parts", PartNames(report.parts)}};
}

QJsonObject StageObject(const stage_quarantine& stage, absl::Time now) {
  QJsonArray verdicts;
  for (const quarantine_verdict& verdict : stage.verdicts) {
    verdicts.append(VerdictObject(verdict, now));
  }
  QJsonArray crashes;
  for (const crash_report& crash : stage.evidence.reports) {
    crashes.append(CrashObject(crash, now));
  }
  return {{"quarantined", verdicts}, {"crashes", crashes}};
}

}  // namespace

bool IsQuarantined(const quarantine_report& report, prompt_part part) {
  for (const stage_quarantine* stage : {&report.prefill, &report.decode}) {
    for (const quarantine_verdict& verdict : stage->verdicts) {
      if (NamesPart(verdict, part)) return true;
    }
  }
  return false;
}

std::string QuarantineText(const quarantine_report& report, absl::Time now) {
  const QJsonObject text{{"prefill", StageObject(report.prefill, now)},
                         {"decode", StageObject(report.decode, now)}};
  return QJsonDocument(text).toJson(QJsonDocument::Compact).toStdString() +
         "\n";
}

}  // namespace anvilridge
