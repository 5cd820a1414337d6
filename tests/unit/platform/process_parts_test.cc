#include "platform/process_parts.h"

#include <catch2/catch.hpp>
#include <string>

namespace berylgauge::platform {
namespace {

struct RetentionRow {
  int shown_ms;  ///< time for which the platform asks for the state of finished jobs
  absl::Duration retention;
};

// Guards against records that are removed while a submission of their job may still be under way.
TEST_CASE("records are kept as long as the platform asks, and never too short for a late submission", "[process]") {
  const RetentionRow row = GENERATE(RetentionRow{1'000, absl::Seconds(60)}, RetentionRow{50'000, absl::Seconds(60)},
                                    RetentionRow{120'000, absl::Seconds(130)});
  CAPTURE(row.shown_ms);
  PlatformSettings settings;
  settings.job_retention_ms = row.shown_ms;
  CHECK(MakeSchedulerOptions(settings).retention == row.retention);
}

struct FarRow {
  const char* bounds;  ///< of the settings
  double far_x;
};

// Guards against a factor of the platform that does not reach the owner, and against one that makes waits endless.
TEST_CASE("the factor of tasks far from their data is that of the settings", "[process]") {
  const FarRow row = GENERATE(FarRow{R"({"far_x":2.4})", 2.4}, FarRow{R"({"far_x":3})", 3}, FarRow{"{}", 1.5},
                              FarRow{R"({"far_x":"3"})", 1.5}, FarRow{"7", 1.5}, FarRow{R"({"far_x":0.2})", 1},
                              FarRow{R"({"far_x":1e300})", 6});
  CAPTURE(row.bounds);
  const std::string text =
      R"({"node":"edge-1","ip":"127.0.0.1","platform":{"addr":"127.0.0.2:70"},"port_range":[9000,9100],)"
      R"("listen":{"front":"127.0.0.1:80","ready":"127.0.0.1:81"},"bounds":)" +
      std::string(row.bounds) + "}";
  const auto settings = ParsePlatformSettings(text);
  REQUIRE(settings.has_value());
  CHECK(MakeSchedulerOptions(*settings).locality.far_x == row.far_x);
}

}  // namespace
}  // namespace berylgauge::platform
