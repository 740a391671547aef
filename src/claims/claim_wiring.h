#ifndef ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_
#define ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_

#include <QObject>

#include "claims/claim_io.h"
#include "peer/peer_client.h"

namespace anvilridge {

/// Returns a `claim_io` that uses the daemon's log, peers and membership, all
/// of which must outlive it. Its timers run on the thread of `context`.
claim_io MakeClaimIo(log_client& log, peer_client& peers,
                     membership_service& membership, QObject* context);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_
