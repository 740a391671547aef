#include "config/check_references.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "config/config_names.h"

namespace anvilridge {
namespace {

absl::Status Invalid(absl::string_view detail) {
  return MakeError(error_kind::config_invalid, detail);
}

// Checks that `field` names a pool with `role`.
absl::Status CheckPoolRole(const config_state& state, absl::string_view field,
                           const std::string& pool, pool_role role) {
  const auto found = state.pools.find(pool);
  if (found == state.pools.end()) {
    return Invalid(absl::StrCat(field, ": there is no pool \"", pool, "\""));
  }
  if (found->second.role == role) return absl::OkStatus();
  return Invalid(absl::StrCat(field, ": pool \"", pool, "\" has the role ",
                              NameOf(found->second.role), ", expected ",
                              NameOf(role)));
}

// Returns the name of another object in `objects` with an equal key, or "".
template <typename Objects, typename Key>
std::string OtherWith(const Objects& objects, const std::string& self,
                      Key key) {
  for (const auto& [name, object] : objects) {
    if (name != self && key(object)) return name;
  }
  return "";
}

bool RouteUses(const route_config& route, absl::string_view pool) {
  return route.prefill_pool == pool || route.decode_pool == pool ||
         route.service_pool == pool;
}

absl::Status CheckModelRoute(const config_state& state,
                             const route_config& route) {
  if (!route.service_pool.empty() || !route.path.empty()) {
    return Invalid(absl::StrCat(
        route.path.empty() ? "service_pool" : "path",
        ": a route has either a model with prefill_pool and decode_pool, or a "
        "path with service_pool"));
  }
  absl::Status check = CheckPoolRole(state, "prefill_pool", route.prefill_pool,
                                     pool_role::prefill);
  check.Update(CheckPoolRole(state, "decode_pool", route.decode_pool,
                             pool_role::decode));
  if (!check.ok()) return check;
  const std::string other = OtherWith(
      state.routes, route.name,
      [&](const route_config& known) { return known.model == route.model; });
  if (other.empty()) return absl::OkStatus();
  return Invalid(absl::StrCat("model: route \"", other,
                              "\" already has the model ", route.model));
}

absl::Status CheckServiceRoute(const config_state& state,
                               const route_config& route) {
  if (route.path.empty()) return Invalid("path: expected a path or a model");
  if (!route.prefill_pool.empty() || !route.decode_pool.empty()) {
    return Invalid(absl::StrCat(
        route.prefill_pool.empty() ? "decode_pool" : "prefill_pool",
        ": a route with a path takes service_pool only"));
  }
  absl::Status check = CheckPoolRole(state, "service_pool", route.service_pool,
                                     pool_role::service);
  if (!check.ok()) return check;
  const std::string other = OtherWith(
      state.routes, route.name,
      [&](const route_config& known) { return known.path == route.path; });
  if (other.empty()) return absl::OkStatus();
  return Invalid(absl::StrCat("path: route \"", other,
                              "\" already has the path ", route.path));
}

absl::Status CheckPoolUnused(const config_state& state,
                             absl::string_view name) {
  for (const auto& [upstream, object] : state.upstreams) {
    if (object.pool == name) {
      return Invalid(
          absl::StrCat(name, ": upstream \"", upstream, "\" is in this pool"));
    }
  }
  for (const auto& [route, object] : state.routes) {
    if (RouteUses(object, name)) {
      return Invalid(
          absl::StrCat(name, ": route \"", route, "\" uses this pool"));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckPoolOf(const config_state& state,
                         const upstream_config& upstream) {
  if (state.pools.count(upstream.pool) > 0) return absl::OkStatus();
  return Invalid(
      absl::StrCat("pool: there is no pool \"", upstream.pool, "\""));
}

absl::Status CheckOwnerOf(const config_state& state, const key_config& key) {
  if (!key.team.empty() && state.teams.count(key.team) == 0) {
    return Invalid(absl::StrCat("team: there is no team \"", key.team, "\""));
  }
  if (key.team.empty() && key.role == operator_role::none) {
    return Invalid("team: missing; a key has a team, a role or both");
  }
  if (!key.team.empty() && key.role > operator_role::read) {
    return Invalid("role: a team's key may have the role none or read");
  }
  return absl::OkStatus();
}

// Checks each of `objects` by `check`, and in full one whose `unique` text came
// before.
template <typename Objects, typename Check, typename Unique>
absl::Status CheckMany(const config_state& state, const Objects& objects,
                       Check check, Unique unique) {
  absl::flat_hash_set<std::string> seen;
  for (const auto& [name, object] : objects) {
    const bool first = seen.insert(unique(object)).second;
    absl::Status checked =
        first ? check(state, object) : CheckObject(state, object);
    if (!checked.ok()) return checked;
  }
  return absl::OkStatus();
}

template <typename Objects>
absl::Status CheckFew(const config_state& state, const Objects& objects) {
  for (const auto& [name, object] : objects) {
    absl::Status checked = CheckObject(state, object);
    if (!checked.ok()) return checked;
  }
  return absl::OkStatus();
}

}  // namespace

absl::Status CheckAllObjects(const config_state& state) {
  absl::Status check = CheckFew(state, state.pools);
  check.Update(CheckMany(
      state, state.upstreams, CheckPoolOf,
      [](const upstream_config& upstream) { return upstream.address; }));
  check.Update(CheckFew(state, state.routes));
  check.Update(CheckMany(state, state.keys, CheckOwnerOf,
                         [](const key_config& key) { return key.sha256_hex; }));
  check.Update(CheckFew(state, state.links));
  return check;
}

absl::Status CheckObject(const config_state& state, const pool_config& pool) {
  const bool serves_model = pool.role != pool_role::service;
  if (serves_model && pool.model.empty()) {
    return Invalid("model: missing; a prefill or decode pool serves a model");
  }
  if (!serves_model && !pool.model.empty()) {
    return Invalid("model: a service pool has none");
  }
  for (const auto& [name, route] : state.routes) {
    if (!RouteUses(route, pool.name)) continue;
    if (auto check = CheckObject(state, route); !check.ok()) {
      return Invalid(
          absl::StrCat("role: route \"", name,
                       "\" would no longer be valid: ", check.message()));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckObject(const config_state& state,
                         const upstream_config& upstream) {
  if (auto check = CheckPoolOf(state, upstream); !check.ok()) return check;
  const std::string other = OtherWith(
      state.upstreams, upstream.name, [&](const upstream_config& known) {
        return known.address == upstream.address;
      });
  if (other.empty()) return absl::OkStatus();
  return Invalid(absl::StrCat("address: upstream \"", other,
                              "\" already has the address ", upstream.address));
}

absl::Status CheckObject(const config_state& state, const route_config& route) {
  return route.model.empty() ? CheckServiceRoute(state, route)
                             : CheckModelRoute(state, route);
}

absl::Status CheckObject(const config_state&, const team_config&) {
  return absl::OkStatus();
}

absl::Status CheckObject(const config_state& state, const key_config& key) {
  if (auto check = CheckOwnerOf(state, key); !check.ok()) return check;
  const std::string other =
      OtherWith(state.keys, key.name, [&](const key_config& known) {
        return known.sha256_hex == key.sha256_hex;
      });
  if (other.empty()) return absl::OkStatus();
  return Invalid(
      absl::StrCat("sha256: key \"", other, "\" already has this hash"));
}

absl::Status CheckObject(const config_state& state, const link_config& link) {
  const std::string other =
      OtherWith(state.links, link.name, [&](const link_config& known) {
        return known.from_domain == link.from_domain &&
               known.to_domain == link.to_domain;
      });
  if (other.empty()) return absl::OkStatus();
  return Invalid(absl::StrCat("from: link \"", other, "\" already goes from ",
                              link.from_domain, " to ", link.to_domain));
}

absl::Status CheckUnused(const config_state& state, object_kind kind,
                         absl::string_view name) {
  if (kind == object_kind::pool) return CheckPoolUnused(state, name);
  if (kind != object_kind::team) return absl::OkStatus();
  for (const auto& [key, object] : state.keys) {
    if (object.team == name) {
      return Invalid(
          absl::StrCat(name, ": key \"", key, "\" belongs to this team"));
    }
  }
  return absl::OkStatus();
}

}  // namespace anvilridge
