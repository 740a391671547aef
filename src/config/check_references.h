#ifndef ANVILRIDGE_CONFIG_CHECK_REFERENCES_H_
#define ANVILRIDGE_CONFIG_CHECK_REFERENCES_H_

#include "absl/status/status.h"
#include "absl/strings/string_view.h"
#include "config/config_state.h"

namespace anvilridge {

// Each check returns `config_invalid`, naming the word at fault, unless the
// object fits the rest of `state`, which may already hold it.

absl::Status CheckObject(const config_state& state, const pool_config& pool);
absl::Status CheckObject(const config_state& state,
                         const upstream_config& upstream);
absl::Status CheckObject(const config_state& state, const route_config& route);
absl::Status CheckObject(const config_state& state, const team_config& team);
absl::Status CheckObject(const config_state& state, const key_config& key);
absl::Status CheckObject(const config_state& state, const link_config& link);

/// Checks every object of `state`. Of upstreams and keys, of which there are
/// thousands, the time grows with their number and not with its square.
absl::Status CheckAllObjects(const config_state& state);

/// Checks that nothing refers to the object that is to be removed.
absl::Status CheckUnused(const config_state& state, object_kind kind,
                         absl::string_view name);

}  // namespace anvilridge

#endif  // ANVILRIDGE_CONFIG_CHECK_REFERENCES_H_
