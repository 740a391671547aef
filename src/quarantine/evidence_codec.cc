#include "quarantine/evidence_codec.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "absl/types/span.h"

namespace anvilridge {
namespace {

// Limit on the parts in the reports of a message.
constexpr size_t kMaxPartsSent = 512;
// Limit on the records of parts in a message: their count is sent as one byte.
constexpr size_t kMaxPartRecords = 255;
// Value in place of the age of what has never happened.
constexpr quint32 kNever = 0xFFFFFFFF;

quint32 ToAge(absl::Time time, absl::Time now) {
  if (time == absl::InfinitePast()) return kNever;
  return static_cast<quint32>(std::clamp<int64_t>(
      absl::ToInt64Milliseconds(now - time), 0, kNever - 1));
}

absl::Time FromAge(quint32 age, absl::Time now) {
  return age == kNever ? absl::InfinitePast() : now - absl::Milliseconds(age);
}

// Returns the latest reports that are within the limits of a message.
absl::Span<const crash_report> ReportsToSend(const crash_evidence& evidence) {
  size_t parts = 0;
  size_t count = 0;
  for (auto report = evidence.reports.rbegin();
       report != evidence.reports.rend() && count < kMaxCrashReports;
       ++report) {
    parts += report->parts.size();
    if (parts > kMaxPartsSent) break;
    ++count;
  }
  return absl::MakeConstSpan(evidence.reports).last(count);
}

void WriteStage(QDataStream& stream, const crash_evidence& evidence,
                absl::Time now) {
  const absl::Span<const crash_report> reports = ReportsToSend(evidence);
  stream << static_cast<quint8>(reports.size());
  if (reports.empty()) return;
  stream << ToAge(evidence.last_success, now);
  for (const crash_report& report : reports) {
    stream << report.engine << ToAge(report.time, now)
           << static_cast<quint8>(report.parts.size());
    for (const prompt_part part : report.parts) {
      stream << static_cast<quint64>(part);
    }
  }
  std::vector<std::pair<prompt_part, part_record>> records;
  for (const auto& [part, record] : evidence.parts) {
    const bool is_empty = record.last_success == absl::InfinitePast() &&
                          record.last_trial == absl::InfinitePast();
    if (is_empty || records.size() == kMaxPartRecords) continue;
    records.emplace_back(part, record);
  }
  stream << static_cast<quint8>(records.size());
  for (const auto& [part, record] : records) {
    stream << static_cast<quint64>(part) << ToAge(record.last_success, now)
           << ToAge(record.last_trial, now);
  }
}

crash_evidence ReadStage(QDataStream& stream, absl::Time now) {
  crash_evidence evidence;
  quint8 reports = 0;
  stream >> reports;
  if (reports == 0) return evidence;
  quint32 success_age = 0;
  stream >> success_age;
  evidence.last_success = FromAge(success_age, now);
  for (quint8 i = 0; i < reports && stream.status() == QDataStream::Ok; ++i) {
    crash_report report;
    quint32 age = 0;
    quint8 parts = 0;
    stream >> report.engine >> age >> parts;
    report.time = FromAge(age, now);
    for (quint8 j = 0; j < parts && stream.status() == QDataStream::Ok; ++j) {
      quint64 part = 0;
      stream >> part;
      report.parts.push_back(part);
    }
    evidence.reports.push_back(std::move(report));
  }
  quint8 records = 0;
  stream >> records;
  for (quint8 i = 0; i < records && stream.status() == QDataStream::Ok; ++i) {
    quint64 part = 0;
    quint32 trial_age = 0;
    stream >> part >> success_age >> trial_age;
    evidence.parts[part] = {FromAge(success_age, now), FromAge(trial_age, now)};
  }
  return evidence;
}

}  // namespace

void WriteEvidence(QDataStream& stream, const staged_evidence& evidence,
                   absl::Time now) {
  WriteStage(stream, evidence.prefill, now);
  WriteStage(stream, evidence.decode, now);
}

staged_evidence ReadEvidence(QDataStream& stream, absl::Time now) {
  staged_evidence evidence;
  evidence.prefill = ReadStage(stream, now);
  evidence.decode = ReadStage(stream, now);
  return evidence;
}

}  // namespace anvilridge
