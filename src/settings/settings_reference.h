#ifndef ANVILRIDGE_SETTINGS_SETTINGS_REFERENCE_H_
#define ANVILRIDGE_SETTINGS_SETTINGS_REFERENCE_H_

#include <string>

namespace anvilridge {

/// Returns the reference of all settings as Markdown, made from the table that
/// the parser uses; `docs/SETTINGS.md` is this text.
std::string SettingsReference();

}  // namespace anvilridge

#endif  // ANVILRIDGE_SETTINGS_SETTINGS_REFERENCE_H_
