#ifndef ANVILRIDGE_REQUESTS_SERVICE_CHOICE_H_
#define ANVILRIDGE_REQUESTS_SERVICE_CHOICE_H_

#include <optional>
#include <string>

#include "absl/strings/string_view.h"
#include "absl/types/span.h"
#include "config/config_state.h"
#include "requests/flow_context.h"

namespace anvilridge {

/// Chooses an upstream for a call of `route` and logs the decision; nothing
/// when none but those of `tried` takes work.
std::optional<upstream_config> ChooseService(
    flow_context& context, const route_config& route,
    absl::string_view request_id, absl::Span<const std::string> tried);

}  // namespace anvilridge

#endif  // ANVILRIDGE_REQUESTS_SERVICE_CHOICE_H_
