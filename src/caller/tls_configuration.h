#ifndef ANVILRIDGE_CALLER_TLS_CONFIGURATION_H_
#define ANVILRIDGE_CALLER_TLS_CONFIGURATION_H_

#include <QSslConfiguration>

#include "absl/status/statusor.h"
#include "settings/daemon_settings.h"

namespace anvilridge {

/// Reads the certificate chain and private key that `port` names. Fails with
/// `internal` and the file's name when one can't be read or used.
absl::StatusOr<QSslConfiguration> LoadTlsConfiguration(
    const port_settings& port);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CALLER_TLS_CONFIGURATION_H_
