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

struct MemoryRow {
  const char* limits;
  std::size_t budget;
};

// Guards against requests that may fill the memory of a host, and against a budget that refuses each request because
// the platform sends no limit or an odd one.
TEST_CASE("requests get a quarter of the host's memory", "[process]") {
  const MemoryRow row =
      GENERATE(MemoryRow{"{}", 64'000'000}, MemoryRow{R"({"memory_mb":160})", 40'000'000},
               MemoryRow{R"({"memory_mb":512})", 128'000'000}, MemoryRow{R"({"memory_mb":1})", 4'000'000},
               MemoryRow{R"({"memory_mb":-1})", 64'000'000}, MemoryRow{R"({"memory_mb":"160"})", 64'000'000});
  CAPTURE(row.limits);
  const Result<PlatformSettings> settings = ParsePlatformSettings(
      std::string(
          R"({"node":"e","ip":"10.0.0.1","serves":["edge"],"listen":{"front":"10.0.0.1:81","ready":"10.0.0.1:82"},)"
          R"("port_range":[7,9],"platform":{"addr":"10.0.0.2:5"},"limits":)") +
      row.limits + "}");
  REQUIRE(settings.has_value());
  MetricsRegistry metrics;
  CHECK(MakeRequestMemory(*settings, metrics)->budget_bytes() == row.budget);
}

struct HostRow {
  const char* platform;  ///< of the settings
  int memory_mb;
  std::size_t job_memory;
  std::size_t internal_bodies;
  std::size_t max_record;
};

// Guards against accepted jobs and messages that may fill the memory of a host, and against records that the store of
// the platform refuses.
TEST_CASE("limits on jobs and messages follow from the host and the store", "[process]") {
  const HostRow row = GENERATE(
      HostRow{R"({"addr":"10.0.0.2:5"})", 0, 64'000'000, std::size_t{64} << 20, 262'080},
      HostRow{R"({"addr":"10.0.0.2:5"})", 160, 40'000'000, 20'000'000, 262'080},
      HostRow{R"({"addr":"10.0.0.2:5"})", 1, 8'000'000, std::size_t{8} << 20, 262'080},
      HostRow{R"({"addr":"10.0.0.2:5","record_bytes":100000})", 1024, 256'000'000, std::size_t{64} << 20, 99'936},
      HostRow{R"({"addr":"10.0.0.2:5","record_bytes":-1})", 64, 16'000'000, std::size_t{8} << 20, 4032},
      HostRow{R"({"addr":"10.0.0.2:5","record_bytes":"9"})", 64, 16'000'000, std::size_t{8} << 20, 262'080});
  CAPTURE(row.platform, row.memory_mb);
  const Result<PlatformSettings> settings = ParsePlatformSettings(
      R"({"node":"e","ip":"10.0.0.1","serves":["edge"],"listen":{"front":"10.0.0.1:81","ready":"10.0.0.1:82"},)"
      R"("port_range":[7,9],"limits":{"memory_mb":)" +
      std::to_string(row.memory_mb) + R"(},"platform":)" + row.platform + "}");
  REQUIRE(settings.has_value());
  CHECK(MakeAdmissionOptions(*settings).memory_bytes == row.job_memory);
  CHECK(MakeAdmissionOptions(*settings).max_record_bytes == row.max_record);
  CHECK(InternalServerOptions(*settings).max_body_bytes == row.internal_bodies);
  CHECK(MakeSchedulerOptions(*settings).most_waiting_tasks > 1000);
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
