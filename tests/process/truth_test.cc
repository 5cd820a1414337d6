#include "process/truth.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

namespace berylgauge {
namespace {

nlohmann::json Event(const std::string& kind, int time_ms, int attempt) {
  return {{"kind", kind}, {"time_ms", time_ms}, {"task", "job/0"}, {"attempt", attempt}, {"state", "succeeded"}};
}

/// Writes a record that exists as long as the test runs.
RecordFile Record(const std::string& name, const std::vector<nlohmann::json>& events) {
  const std::string path =
      std::filesystem::temp_directory_path() / ("truth-" + std::to_string(getpid()) + "-" + name + ".record");
  std::ofstream file(path, std::ios::trunc);
  for (const nlohmann::json& event : events) file << event << "\n";
  return {.path = path, .availability_zone = name};
}

}  // namespace

// Guards against checks of the process tests that find nothing whatever the records say.
TEST_CASE("the checks of the records find each violation") {
  const RecordFile first =
      Record("zone-0", {Event("start", 10, 1), Event("end", 20, 1), Event("over-capacity", 30, 1)});
  const RecordFile second = Record("zone-1", {Event("start", 15, 2), Event("end", 40, 2)});
  const RecordFile third = Record("zone-2", {Event("start", 50, 2)});
  CHECK(CheckTasks({second}, {}).empty());
  CHECK(CheckTasks({first}, {}).size() == 1);                     // over capacity
  CHECK(CheckTasks({first, second}, {}).size() == 3);             // and in two places, and two successes
  CHECK(CheckTasks({second, third}, {}).size() == 1);             // the same attempt twice
  CHECK(CheckTasks({second}, {{"zone-1", 10, 20}}).size() == 1);  // a start in a closed zone
  CHECK(CheckTasks({second}, {{"zone-0", 10, 20}}).empty());
  const nlohmann::json request = {{"kind", "request-start"}, {"target", "/a"}};
  const RecordFile once = Record("once", {request});
  const RecordFile twice = Record("twice", {request, request});
  CHECK(CheckOrders({once}, {{"/a", "ran", "", true}}).empty());
  CHECK(CheckOrders({once}, {{"/a", "ran", "", false}}).size() == 1);
  CHECK(CheckOrders({once}, {{"/a", "not-run", "", false}}).size() == 1);
  CHECK(CheckOrders({once}, {{"/b", "ran", "", true}}).size() == 1);
  CHECK(CheckOrders({twice}, {{"/a", "may-have-run", "", false}}).size() == 1);
  for (const RecordFile& file : {first, second, third, once, twice}) std::filesystem::remove(file.path);
}

}  // namespace berylgauge
