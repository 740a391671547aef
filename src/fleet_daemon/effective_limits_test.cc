#include "fleet_daemon/effective_limits.h"

#include "gtest/gtest.h"

namespace anvilridge {
namespace {

TEST(effective_limits_test, WithoutConfiguredLimitsTheSettingsHold) {
  limit_settings settings;
  settings.idle_timeout = absl::Seconds(7);
  const limit_settings limits = EffectiveLimits(settings, {});
  EXPECT_EQ(limits.max_header_bytes, settings.max_header_bytes);
  EXPECT_EQ(limits.max_body_bytes, settings.max_body_bytes);
  EXPECT_EQ(limits.request_timeout, settings.request_timeout);
  EXPECT_EQ(limits.header_timeout, std::nullopt);
  EXPECT_EQ(limits.idle_timeout, absl::Seconds(7));
}

TEST(effective_limits_test, ConfiguredTimesReplaceThoseOfTheSettings) {
  const limit_settings settings;
  caller_limits configured;
  configured.idle_timeout = settings.idle_timeout * 2;
  configured.header_timeout = settings.request_timeout / 2;
  limit_settings limits = EffectiveLimits(settings, configured);
  EXPECT_EQ(limits.idle_timeout, settings.idle_timeout * 2);
  EXPECT_EQ(limits.header_timeout, settings.request_timeout / 2);
  EXPECT_EQ(limits.request_timeout, settings.request_timeout);
  configured.header_timeout = settings.request_timeout * 2;
  limits = EffectiveLimits(settings, configured);
  EXPECT_EQ(limits.request_timeout, settings.request_timeout * 2);
}

// Guards against memory beyond the settings.
TEST(effective_limits_test, ConfiguredSizesMayOnlyBeLower) {
  const limit_settings settings;
  caller_limits configured;
  configured.max_header_bytes = settings.max_header_bytes - 1;
  configured.max_body_bytes = settings.max_body_bytes - 1;
  limit_settings limits = EffectiveLimits(settings, configured);
  EXPECT_EQ(limits.max_header_bytes, settings.max_header_bytes - 1);
  EXPECT_EQ(limits.max_body_bytes, settings.max_body_bytes - 1);
  configured.max_header_bytes = int64_t{1} << 50;
  configured.max_body_bytes = int64_t{1} << 50;
  limits = EffectiveLimits(settings, configured);
  EXPECT_EQ(limits.max_header_bytes, settings.max_header_bytes);
  EXPECT_EQ(limits.max_body_bytes, settings.max_body_bytes);
}

}  // namespace
}  // namespace anvilridge
