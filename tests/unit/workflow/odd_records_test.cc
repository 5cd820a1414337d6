#include <catch2/catch.hpp>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/cbor_document.h"
#include "workflow/job_codec.h"
#include "workflow/job_index.h"
#include "workflow/owner_record.h"
#include "workflow/step_progress.h"

namespace berylgauge::workflow {
namespace {

using nlohmann::json;

/// A valid value to which the change of a row is applied.
json Changed(const std::string& bytes, const char* pointer, const json& value) {
  json document = ParseCborDocument(bytes, bytes.size()).value();
  document.at(json::json_pointer(pointer)) = value;
  return document;
}

struct ChangeRow {
  const char* pointer;  ///< to the field that is replaced
  json value;
  bool valid = false;
};

constexpr double kHuge = 1e300;

// Guards against an owner, and each of its successors, that ends because of one job: more tasks than fit into memory, a
// predecessor that does not exist, or a number that was cut down to another one.
TEST_CASE("a job record with a value out of range is refused", "[codec]") {
  const ChangeRow row = GENERATE(
      ChangeRow{"/4/0/0", 4000, true}, ChangeRow{"/4/0/0", 0}, ChangeRow{"/4/0/0", -1}, ChangeRow{"/4/0/0", 4001},
      ChangeRow{"/4/0/0", INT32_MAX}, ChangeRow{"/4/0/0", (std::int64_t{1} << 32) + 1}, ChangeRow{"/4/0/0", kHuge},
      ChangeRow{"/4/0/0", true}, ChangeRow{"/4/0/0", "1"}, ChangeRow{"/4/0/1", -1}, ChangeRow{"/4/0/1", INT64_MAX},
      ChangeRow{"/4/0/1", UINT64_MAX}, ChangeRow{"/4/0/2", kHuge}, ChangeRow{"/4/0/3", -1}, ChangeRow{"/4/0/4", -1},
      ChangeRow{"/4/0/4", NAN}, ChangeRow{"/4/0/5", json::array({0})}, ChangeRow{"/4/1/5", json::array({0}), true},
      ChangeRow{"/4/1/5", json::array({1})}, ChangeRow{"/4/1/5", json::array({-1})},
      ChangeRow{"/4/1/5", json::array({std::int64_t{1} << 32})}, ChangeRow{"/4/1/5", json::array({kHuge})},
      ChangeRow{"/4/0/7", 1}, ChangeRow{"/4/0/15", -1}, ChangeRow{"/4/0/16", (std::int64_t{1} << 32)},
      ChangeRow{"/4/0/16", -1}, ChangeRow{"/4/0/17", -2}, ChangeRow{"/2/2", kHuge}, ChangeRow{"/2/3", -1},
      ChangeRow{"/2/4", INFINITY}, ChangeRow{"/2/4", NAN}, ChangeRow{"/2/4", -1}, ChangeRow{"/2/5", -1},
      ChangeRow{"/4", 7}, ChangeRow{"/5", -1}, ChangeRow{"/5", INT64_MAX}, ChangeRow{"/6", INT64_MAX},
      ChangeRow{"/7", INT64_MAX}, ChangeRow{"/7", -1}, ChangeRow{"/8", kHuge}, ChangeRow{"/8", "now"},
      ChangeRow{"/3", 7}, ChangeRow{"/4/0/14", nullptr});
  CAPTURE(row.pointer, row.value.dump());
  const JobDefinition job{.id = "00ff00ff00ff00ff",
                          .queue = {.name = "q", .service = "s"},
                          .payload = "text",
                          .steps = {{.task_count = 1}, {.task_count = 2, .after = {0}}}};
  CHECK(DecodeJob(ToCbor(Changed(EncodeJob(job), row.pointer, row.value))).has_value() == row.valid);
}

// Guards against a task whose run number or worker is another one than the record's, so that it runs twice.
TEST_CASE("a step record with a value out of range is refused", "[codec]") {
  const ChangeRow row = GENERATE(
      ChangeRow{"/3/0/0", 1, true}, ChangeRow{"/3/0/0", 2}, ChangeRow{"/3/0/0", -1}, ChangeRow{"/3/0/0", kHuge},
      ChangeRow{"/3/0/0", UINT64_MAX}, ChangeRow{"/3/0/1", 3}, ChangeRow{"/3/0/1", (std::int64_t{1} << 32)},
      ChangeRow{"/3/0/1", kHuge}, ChangeRow{"/3/0/2", -1}, ChangeRow{"/3/0/2", (std::int64_t{1} << 32) + 1},
      ChangeRow{"/3/0/2", kHuge}, ChangeRow{"/3/0/3", -1}, ChangeRow{"/3/0/4", 1}, ChangeRow{"/3/0/4", -2},
      ChangeRow{"/3/0/4", (std::int64_t{1} << 32)}, ChangeRow{"/3/0/5", 7}, ChangeRow{"/3/0/2", INT32_MAX},
      ChangeRow{"/2/0/1", kHuge}, ChangeRow{"/2/0/0", 7}, ChangeRow{"/2", 7}, ChangeRow{"/3", 7}, ChangeRow{"/1", 0},
      ChangeRow{"/3/0/6", 1, true}, ChangeRow{"/3/0/6", 3}, ChangeRow{"/3/0/6", -1}, ChangeRow{"/3/0/6", kHuge});
  CAPTURE(row.pointer, row.value.dump());
  const std::string bytes = EncodeStepProgress({{.state = TaskState::kPlaced,
                                                 .run = 3,
                                                 .failures = 1,
                                                 .worker = "w1",
                                                 .agent = "side-1",
                                                 .worker_born = 17,
                                                 .bound = RunBound::kGrantedLease},
                                                {}});
  CHECK(DecodeStepProgress(ToCbor(Changed(bytes, row.pointer, row.value)), 2).has_value() == row.valid);
}

// Guards against an epoch after which no owner can claim.
TEST_CASE("an owner record with a value out of range is refused", "[codec]") {
  const ChangeRow row =
      GENERATE(ChangeRow{"/0", std::int64_t{1} << 52, true}, ChangeRow{"/0", -1}, ChangeRow{"/0", INT64_MAX},
               ChangeRow{"/0", UINT64_MAX}, ChangeRow{"/0", kHuge}, ChangeRow{"/0", "1"}, ChangeRow{"/1", 7});
  CAPTURE(row.pointer, row.value.dump());
  const std::string bytes = EncodeOwner({.epoch = 5, .holder = "e1"});
  CHECK(DecodeOwner(ToCbor(Changed(bytes, row.pointer, row.value))).has_value() == row.valid);
}

}  // namespace
}  // namespace berylgauge::workflow
