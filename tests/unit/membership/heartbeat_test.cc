#include "membership/heartbeat.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

Heartbeat SampleHeartbeat() {
  return {.worker = WorkerId("limerick-yard-w07"),
          .rack = RackId("limerick-yard-r2"),
          .availability_zone = AvailabilityZoneId("limerick-yard"),
          .region = "ie-west",
          .incarnation = 0xf123456789abcdefULL,
          .sequence = 123456,
          .boot_id = "3f0c1e5a9b7d4c21",
          .address = "127.0.12.7:7300",
          .capacity = {.cpu_millis = 16000, .memory_mb = 60000, .slots = 8},
          .booked = {.cpu_millis = 4000, .memory_mb = 9000, .slots = 3},
          .reconciled = true,
          .endpoints = {{.service = ServiceId("dispatch"),
                         .address = "127.0.12.7:8080",
                         .incarnation = 77,
                         .slots = 8,
                         .outstanding = 3}},
          .config_version = 1812};
}

// Guards against heartbeats that exceed the traffic allowed to each node: 8 entries, twice a second, 8 KB/s.
TEST_CASE("heartbeat without tasks stays near 300 bytes", "[heartbeat]") {
  const Result<std::string> bytes = EncodeHeartbeat(SampleHeartbeat());
  REQUIRE(bytes.has_value());
  INFO(bytes->size());
  CHECK(bytes->size() <= 300);
  CHECK(DecodeHeartbeat(*bytes) == SampleHeartbeat());
}

}  // namespace
}  // namespace berylgauge
