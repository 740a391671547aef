#ifndef ANVILRIDGE_BASE_QT_TEXT_H_
#define ANVILRIDGE_BASE_QT_TEXT_H_

#include <QString>

#include "absl/strings/string_view.h"

namespace anvilridge {

/// Returns UTF-8 `text` as a QString.
inline QString QtText(absl::string_view text) {
  return QString::fromUtf8(text.data(), static_cast<qsizetype>(text.size()));
}

}  // namespace anvilridge

#endif  // ANVILRIDGE_BASE_QT_TEXT_H_
