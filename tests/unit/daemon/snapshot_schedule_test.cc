#include "daemon/streams/snapshot_schedule.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

struct ScheduleCase {
  const char* name;
  Offset position;
  int after_s;
  bool due;
};

// Guards against a new owner that never covers what was written before it, and against snapshots of nothing new.
TEST_CASE("a snapshot is due by age or by records", "[snapshot]") {
  const auto test = GENERATE(values<ScheduleCase>({
      {"nothing written", kNoOffset, 3600, false},
      {"little and young", 10, 59, false},
      {"little and old", 10, 60, true},
      {"much and young", 99, 1, true},
  }));
  CAPTURE(test.name);
  SnapshotSchedule schedule({.interval = absl::Seconds(60), .every_records = 100});
  const MonotonicTime start(absl::Seconds(1000));
  schedule.TakeDue(kNoOffset, start);
  CHECK(schedule.TakeDue(test.position, start + absl::Seconds(test.after_s)) == test.due);
}

// Guards against a snapshot that is written again although nothing was added.
TEST_CASE("a covered position is not due again", "[snapshot]") {
  SnapshotSchedule schedule({.interval = absl::Seconds(60), .every_records = 100});
  const MonotonicTime start(absl::Seconds(1000));
  REQUIRE(schedule.TakeDue(500, start));
  CHECK_FALSE(schedule.TakeDue(500, start + absl::Hours(1)));
  CHECK(schedule.TakeDue(501, start + absl::Hours(1)));
}

}  // namespace
}  // namespace berylgauge
