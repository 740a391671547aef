#include "load_tool/load_profile.h"

#include <functional>
#include <map>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "base/error_kind.h"
#include "settings/ini_reader.h"
#include "settings/settings_values.h"

namespace anvilridge {
namespace {

using setter = std::function<bool(absl::string_view)>;
using setter_map = std::map<std::string, setter>;

setter Number(double& value) {
  return [&value](absl::string_view text) {
    return absl::SimpleAtod(text, &value) && value >= 0;
  };
}

setter Count(int& value) {
  return [&value](absl::string_view text) {
    return absl::SimpleAtoi(text, &value) && value >= 0;
  };
}

setter Text(std::string& value) {
  return [&value](absl::string_view text) {
    value = std::string(text);
    return !value.empty();
  };
}

setter Delay(absl::Duration& value) {
  return [&value](absl::string_view text) {
    const auto parsed = ParseSettingsDuration(text);
    if (parsed) value = *parsed;
    return parsed.has_value();
  };
}

setter_map Setters(load_profile& p) {
  completion_mix& c = p.completions;
  fleet_size& f = p.fleet;
  return {
      {"profile.name", Text(p.name)},
      {"completions.model", Text(c.model)},
      {"completions.share", Number(c.share)},
      {"completions.prompt_tokens_median", Number(c.prompt_tokens_median)},
      {"completions.prompt_tokens_sigma", Number(c.prompt_tokens_sigma)},
      {"completions.prompt_tokens_most", Count(c.prompt_tokens_most)},
      {"completions.prefix_share", Number(c.prefix_share)},
      {"completions.prefixes", Count(c.prefixes)},
      {"completions.prefix_tokens", Count(c.prefix_tokens)},
      {"completions.max_tokens_least", Count(c.max_tokens_least)},
      {"completions.max_tokens_most", Count(c.max_tokens_most)},
      {"services.path", Text(p.services.path)},
      {"services.postings", Number(p.services.postings)},
      {"services.lookups", Number(p.services.lookups)},
      {"targets.first_token", Delay(p.targets.first_token)},
      {"targets.between_tokens", Delay(p.targets.between_tokens)},
      {"targets.deadline", Delay(p.targets.deadline)},
      {"fleet.prefill_engines", Count(f.prefill_engines)},
      {"fleet.decode_engines", Count(f.decode_engines)},
      {"fleet.services", Count(f.services)},
      {"fleet.slots", Count(f.slots)},
      {"fleet.pieces", Count(f.pieces)},
      {"fleet.prefill_tokens_per_second", Number(f.prefill_tokens_per_second)},
      {"fleet.token_interval_ms", Number(f.token_interval_ms)},
      {"fleet.interval_growth", Number(f.interval_growth)},
      {"fleet.output_share_min", Number(f.output_share_min)},
      {"fleet.objective", Text(f.objective)},
  };
}

absl::Status Invalid(int line, absl::string_view what) {
  return MakeError(error_kind::config_invalid,
                   absl::StrCat("line ", line, ": ", what));
}

absl::Status CheckRanges(const load_profile& profile) {
  const completion_mix& c = profile.completions;
  const fleet_size& f = profile.fleet;
  const bool proper = c.share > 0 && c.prefixes > 0 && c.max_tokens_least > 0 &&
                      c.max_tokens_least <= c.max_tokens_most &&
                      f.token_interval_ms > 0 && f.slots > 0 &&
                      f.decode_engines > 0 && f.output_share_min <= 1;
  if (proper) return absl::OkStatus();
  return MakeError(error_kind::config_invalid, "a value is out of its range");
}

}  // namespace

absl::StatusOr<load_profile> ParseLoadProfile(absl::string_view text) {
  load_profile profile;
  const setter_map setters = Setters(profile);
  const ini_document document = ReadIni(text);
  for (const ini_defect& defect : document.defects) {
    return Invalid(defect.line, defect.message);
  }
  for (const ini_entry& entry : document.entries) {
    const auto it = setters.find(absl::StrCat(entry.section, ".", entry.key));
    if (it == setters.end()) {
      return Invalid(entry.line, absl::StrCat("unknown key ", entry.key));
    }
    if (!it->second(entry.value)) {
      return Invalid(entry.line, absl::StrCat("bad value of ", entry.key));
    }
  }
  if (absl::Status checked = CheckRanges(profile); !checked.ok()) {
    return checked;
  }
  return profile;
}

double DecodeCapacity(const load_profile& profile) {
  const fleet_size& f = profile.fleet;
  const completion_mix& c = profile.completions;
  const double mean_limit = (c.max_tokens_least + c.max_tokens_most) / 2.0;
  const double mean_output = mean_limit * (1 + f.output_share_min) / 2;
  const double interval_seconds =
      f.token_interval_ms * (1 + f.interval_growth * (f.slots - 1)) / 1000;
  return f.decode_engines * f.slots / (mean_output * interval_seconds);
}

}  // namespace anvilridge
