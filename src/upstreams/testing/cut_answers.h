#ifndef ANVILRIDGE_UPSTREAMS_TESTING_CUT_ANSWERS_H_
#define ANVILRIDGE_UPSTREAMS_TESTING_CUT_ANSWERS_H_

#include <QTcpSocket>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "upstreams/testing/raw_server.h"

namespace anvilridge {

/// An answer that its server breaks off, so that no client may take it for
/// whole.
struct cut_answer {
  /// What arrives before the end.
  std::string bytes;
  /// Whether the connection ends by a reset instead of an orderly close.
  bool reset = false;
};

inline void PrintTo(const cut_answer& answer, std::ostream* out) {
  *out << (answer.reset ? "reset behind \"" : "closed behind \"")
       << absl::CEscape(answer.bytes) << '"';
}

/// Cuts `answer` behind each of its bytes but the last, and before the first,
/// by an orderly close and by a reset each.
/// @param before what the server sends before the answer.
inline std::vector<cut_answer> CutAtEachByte(absl::string_view answer,
                                             absl::string_view before = "") {
  std::vector<cut_answer> cuts;
  for (size_t size = 0; size < answer.size(); ++size) {
    for (const bool reset : {false, true}) {
      cuts.push_back({absl::StrCat(before, answer.substr(0, size)), reset});
    }
  }
  return cuts;
}

/// Returns cuts of answers of each framing.
/// @param fields header fields of each answer, each with its line's end.
inline std::vector<cut_answer> CutAnswers(absl::string_view fields) {
  const std::string head = absl::StrCat("HTTP/1.1 200 OK\r\n", fields);
  const std::string framed[] = {
      absl::StrCat(head, "Content-Length: 3\r\n\r\nabc"),
      absl::StrCat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", head,
                   "Content-Length: 3\r\n\r\nabc"),
      absl::StrCat(head, "Transfer-Encoding: chunked\r\n\r\n",
                   "3;a=b\r\nabc\r\n0\r\nX-End: 1\r\n\r\n"),
      absl::StrCat(head, "Transfer-Encoding: chunked\r\n",
                   "Content-Length: 3\r\n\r\n3\r\nabc\r\n0\r\n\r\n"),
  };
  std::vector<cut_answer> cuts;
  for (const std::string& answer : framed) {
    for (cut_answer& cut : CutAtEachByte(answer)) {
      cuts.push_back(std::move(cut));
    }
  }
  // Without a length the head may be cut, or the body reset.
  const std::string end_of_head = absl::StrCat(head, "\r\n");
  for (cut_answer& cut : CutAtEachByte(end_of_head)) {
    cuts.push_back(std::move(cut));
  }
  for (const char* body : {"", "a", "abc"}) {
    cuts.push_back({absl::StrCat(end_of_head, body), true});
  }
  return cuts;
}

/// Returns answers whose length can't be told, with the body of one length and
/// an orderly close.
/// @param fields as for `CutAnswers`.
inline std::vector<cut_answer> AnswersOfUnclearLength(
    absl::string_view fields) {
  std::vector<cut_answer> answers;
  for (const char* length :
       {"4, 4", "3, 4", "4, 3", "3,", "3\r\nContent-Length: 4",
        "4\r\nContent-Length: 3", "99999999999999999999", "x", "-1", "+3", "3x",
        "3 3", "0x3", ""}) {
    answers.push_back(
        {absl::StrCat("HTTP/1.1 200 OK\r\n", fields, "Content-Length: ", length,
                      "\r\n\r\nabc")});
  }
  return answers;
}

/// Answers on `socket` with `answer`, and breaks the connection.
inline void WriteCut(QTcpSocket& socket, const cut_answer& answer) {
  socket.write(answer.bytes.data(), static_cast<qint64>(answer.bytes.size()));
  if (answer.reset) return raw_server::Reset(socket);
  socket.disconnectFromHost();
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_UPSTREAMS_TESTING_CUT_ANSWERS_H_
