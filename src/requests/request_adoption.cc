#include "requests/request_adoption.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/error_kind.h"
#include "upstreams/engine_client.h"

namespace anvilridge {
namespace {

// An adoption may be repeated, and another daemon may adopt in between.
constexpr int kMaxTries = 3;

bool Refused(const absl::Status& status, absl::string_view reason) {
  return KindOf(status) == error_kind::upstream_refused &&
         status.message() == reason;
}

bool Stalled(const absl::Status& status) {
  return !status.ok() && KindOf(status) == error_kind::upstream_stalled;
}

absl::Status Fenced() {
  return MakeError(error_kind::resume_fenced,
                   "another daemon has taken this stream over");
}

void TryAdopt(flow_context& context, const decode_source& source,
              const std::string& old_owner, int tries, adoption_callback done) {
  AdoptEngineRequest(
      *context.client, source.engine.address, source.request_id, old_owner,
      source.owner,
      [&context, source, old_owner, tries,
       done = std::move(done)](const absl::StatusOr<bool>& adopted) {
        if (adopted.ok() || Refused(adopted.status(), "unknown_request")) {
          return done(absl::OkStatus());
        }
        if (Refused(adopted.status(), "not_owner")) return done(Fenced());
        if (tries <= 1) return done(adopted.status());
        TryAdopt(context, source, old_owner, tries - 1, done);
      });
}

void TryAdoptAny(flow_context& context, const decode_source& source, int tries,
                 adoption_callback done) {
  ListEngineRequests(
      *context.client, source.engine.address,
      [&context, source, tries, done = std::move(done)](
          const absl::StatusOr<std::vector<engine_request>>& listed) {
        // The engine may be silent for a while and go on.
        if (Stalled(listed.status()) && tries > 1) {
          return TryAdoptAny(context, source, tries - 1, done);
        }
        if (!listed.ok()) return done(listed.status());
        const auto row = std::find_if(
            listed->begin(), listed->end(), [&source](const engine_request& r) {
              return r.request_id == source.request_id;
            });
        if (row == listed->end()) return done(absl::OkStatus());
        TryAdopt(context, source, row->owner, kMaxTries,
                 [&context, source, tries, done](const absl::Status& adopted) {
                   const bool lost_race =
                       KindOf(adopted) == error_kind::resume_fenced;
                   if (adopted.ok() || !lost_race || tries <= 1) {
                     return done(adopted);
                   }
                   TryAdoptAny(context, source, tries - 1, done);
                 });
      });
}

}  // namespace

void AdoptFrom(flow_context& context, const decode_source& source,
               const std::string& old_owner, adoption_callback done) {
  TryAdopt(context, source, old_owner, kMaxTries, std::move(done));
}

void AdoptFromAny(flow_context& context, const decode_source& source,
                  adoption_callback done) {
  TryAdoptAny(context, source, kMaxTries, std::move(done));
}

}  // namespace anvilridge
