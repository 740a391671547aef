#ifndef ANVILRIDGE_QUARANTINE_EVIDENCE_CODEC_H_
#define ANVILRIDGE_QUARANTINE_EVIDENCE_CODEC_H_

#include <QDataStream>

#include "absl/time/time.h"
#include "quarantine/crash_evidence.h"

namespace anvilridge {

/// Writes `evidence` for another daemon, with times as ages at `now`. Of
/// prompts with many parts only the latest reports are written, so that the
/// length is bounded.
void WriteEvidence(QDataStream& stream, const staged_evidence& evidence,
                   absl::Time now);

/// Reads what `WriteEvidence` wrote; ages are subtracted from `now`. Sets the
/// status of `stream` if the bytes are too few.
staged_evidence ReadEvidence(QDataStream& stream, absl::Time now);

}  // namespace anvilridge

#endif  // ANVILRIDGE_QUARANTINE_EVIDENCE_CODEC_H_
