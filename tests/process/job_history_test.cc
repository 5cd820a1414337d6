#include "process/job_history.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

using nlohmann::json;

json Start(int time_ms, const char* task) {
  return {{"kind", "run-start"}, {"time_ms", time_ms}, {"task", task}, {"run", 1}};
}
json End(int time_ms, const char* task, const char* how) {
  return {{"kind", "run-end"}, {"time_ms", time_ms}, {"task", task}, {"run", 1}, {"how", how}};
}

struct Row {
  const char* name;
  std::int64_t longest_wait_ms;
  bool is_done;
  std::vector<json> first;
  std::vector<json> second;
};

}  // namespace

// Guards against a check of the records that takes a job without a run for one that runs or is done.
TEST_CASE("the waits of a job are found in the records of the workers") {
  // Accepted at 100, of two tasks; seen from 200 to 1000.
  const Row row = GENERATE(
      Row{"never started", 800, false, {}, {}}, Row{"another job's run", 800, false, {Start(250, "other.0.0.0")}, {}},
      Row{"begun before the time that counts", 0, false, {Start(150, "j.0.0.0")}, {}},
      Row{"before its first run", 50, false, {Start(250, "j.0.0.0")}, {}},
      Row{"after a failed run", 700, false, {Start(150, "j.0.0.0"), End(300, "j.0.0.0", "failed")}, {}},
      Row{"between two runs",
          100,
          false,
          {Start(150, "j.0.0.0"), End(300, "j.0.0.0", "failed")},
          {Start(400, "j.0.0.0")}},
      Row{"a run on another worker",
          0,
          false,
          {Start(150, "j.0.0.0"), End(300, "j.0.0.0", "failed")},
          {Start(250, "j.0.0.1")}},
      Row{"one task of two done", 700, false, {Start(150, "j.0.0.0"), End(300, "j.0.0.0", "done")}, {}},
      Row{"both done",
          100,
          true,
          {Start(150, "j.0.0.0"), End(300, "j.0.0.0", "done")},
          {Start(400, "j.0.0.1"), End(500, "j.0.0.1", "done")}},
      Row{"a run after the time that counts", 800, false, {Start(1200, "j.0.0.0")}, {}});
  INFO(row.name);
  const std::vector<JobHistory> histories =
      FollowJobs({row.first, row.second}, {{.id = "j", .tasks = 2, .accepted_ms = 100}}, 200, 1000);
  REQUIRE(histories.size() == 1);
  CHECK(histories[0].longest_wait_ms == row.longest_wait_ms);
  CHECK(histories[0].done_ms.has_value() == row.is_done);
}

}  // namespace berylgauge
