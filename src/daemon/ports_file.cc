#include "daemon/ports_file.h"

#include <QSaveFile>
#include <QString>

#include "absl/strings/str_cat.h"
#include "base/error_kind.h"

namespace anvilridge {

absl::Status WritePortsFile(const std::string& file, const bound_ports& ports) {
  if (file.empty()) return absl::OkStatus();
  const std::string text =
      absl::StrCat("caller=", ports.caller, "\noperator=", ports.operators,
                   "\npeer=", ports.peer, "\nmetrics=", ports.metrics, "\n");
  QSaveFile out(QString::fromStdString(file));
  const bool written =
      out.open(QIODevice::WriteOnly) &&
      out.write(text.data(), static_cast<qint64>(text.size())) ==
          static_cast<qint64>(text.size()) &&
      out.commit();
  if (written) return absl::OkStatus();
  return MakeError(error_kind::internal,
                   absl::StrCat("can't write ", file, ": ",
                                out.errorString().toStdString()));
}

}  // namespace anvilridge
