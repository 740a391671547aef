#ifndef ANVILRIDGE_REQUESTS_COMPLETION_OWNERSHIP_H_
#define ANVILRIDGE_REQUESTS_COMPLETION_OWNERSHIP_H_

#include "requests/completion_state.h"

namespace anvilridge {

/// Goes on with a decode stream under this daemon's new incarnation, after a
/// pause that ended the one under which it was read; unless another daemon has
/// taken it over meanwhile.
void Readopt(const completion_ptr& flow);

/// Takes a stream over from the daemon that read it before, for a caller that
/// came back.
void TakeOver(const completion_ptr& flow);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_COMPLETION_OWNERSHIP_H_
