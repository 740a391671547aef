#ifndef ANVILRIDGE_REQUESTS_ANSWER_WRITER_H_
#define ANVILRIDGE_REQUESTS_ANSWER_WRITER_H_

#include <memory>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "caller/caller_port.h"

namespace anvilridge {

/// Writes the tokens of one completion to its caller, each exactly once and in
/// order, as server-sent events or as one JSON document at the end.
struct answer_writer {
  std::shared_ptr<inbound_exchange> exchange;
  std::string request_id;
  std::string model;
  bool stream = false;
  /// Index of the next token to write.
  int next_index = 0;
  bool begun = false;
  bool ended = false;
  /// The text so far: the answer when it is not streamed, and what another
  /// engine continues from.
  std::string text;
};

/// Writes token `index`; one that was written before is dropped and a gap is
/// an `internal` error. `event_id` names the place for a resume.
absl::Status WriteToken(answer_writer& writer, int index,
                        absl::string_view token, absl::string_view event_id);

/// Ends the answer well.
void FinishAnswer(answer_writer& writer);

/// Ends the answer with `error`: a problem document when nothing was sent yet,
/// else an error event and a broken connection.
void FailAnswer(answer_writer& writer, const absl::Status& error);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_ANSWER_WRITER_H_
