#ifndef ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_
#define ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_

#include <QObject>

#include "claims/claim_io.h"
#include "peer/peer_client.h"

namespace anvilridge {

/// Connects claims with the daemon's log, peers and membership, which must
/// outlive the result; timers run on the thread of `context`.
claim_io MakeClaimIo(log_client& log, peer_client& peers,
                     membership_service& membership, QObject* context);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CLAIMS_CLAIM_WIRING_H_
