#include "caller/connection_cut.h"

namespace anvilridge {

absl::string_view CutPhaseName(cut_phase phase) {
  switch (phase) {
    case cut_phase::accepting:
      return "accepting";
    case cut_phase::unread:
      return "unread";
    case cut_phase::receiving:
      return "receiving";
    case cut_phase::answering:
      return "answering";
    case cut_phase::flushing:
      return "flushing";
  }
  return "unknown";
}

absl::string_view CutReasonName(cut_reason reason) {
  switch (reason) {
    case cut_reason::closing:
      return "closing";
    case cut_reason::slow_reader:
      return "slow_reader";
    case cut_reason::no_memory:
      return "no_memory";
    case cut_reason::aborted:
      return "aborted";
    case cut_reason::port_closed:
      return "port_closed";
    case cut_reason::accept_failed:
      return "accept_failed";
  }
  return "unknown";
}

}  // namespace anvilridge
