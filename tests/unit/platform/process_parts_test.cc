#include "platform/process_parts.h"

#include <catch2/catch.hpp>

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

}  // namespace
}  // namespace berylgauge::platform
