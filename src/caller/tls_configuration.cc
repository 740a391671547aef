#include "caller/tls_configuration.h"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>
#include <QSslSocket>
#include <string>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {
namespace {

absl::StatusOr<QByteArray> ReadFile(const std::string& name) {
  QFile file(QString::fromStdString(name));
  if (!file.open(QIODevice::ReadOnly)) {
    return MakeError(error_kind::internal,
                     absl::StrCat("can't read ", name, ": ",
                                  file.errorString().toStdString()));
  }
  return file.readAll();
}

QSslKey ParseKey(const QByteArray& pem) {
  for (const QSsl::KeyAlgorithm algorithm : {QSsl::Rsa, QSsl::Ec}) {
    QSslKey key(pem, algorithm, QSsl::Pem);
    if (!key.isNull()) return key;
  }
  return {};
}

}  // namespace

absl::StatusOr<QSslConfiguration> LoadTlsConfiguration(
    const port_settings& port) {
  if (!QSslSocket::supportsSsl()) {
    return MakeError(error_kind::internal, "no TLS library can be loaded");
  }
  const auto certificate_pem = ReadFile(port.certificate_file);
  if (!certificate_pem.ok()) return certificate_pem.status();
  const auto key_pem = ReadFile(port.private_key_file);
  if (!key_pem.ok()) return key_pem.status();
  const QList<QSslCertificate> chain =
      QSslCertificate::fromData(*certificate_pem, QSsl::Pem);
  if (chain.isEmpty()) {
    return MakeError(
        error_kind::internal,
        absl::StrCat(port.certificate_file, " holds no PEM certificate"));
  }
  const QSslKey key = ParseKey(*key_pem);
  if (key.isNull()) {
    return MakeError(
        error_kind::internal,
        absl::StrCat(port.private_key_file, " holds no RSA or EC key in PEM"));
  }
  QSslConfiguration configuration = QSslConfiguration::defaultConfiguration();
  configuration.setLocalCertificateChain(chain);
  configuration.setPrivateKey(key);
  configuration.setPeerVerifyMode(QSslSocket::VerifyNone);
  configuration.setProtocol(QSsl::TlsV1_2OrLater);
  return configuration;
}

}  // namespace anvilridge
