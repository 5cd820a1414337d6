#include "process/run_truth.h"

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

using nlohmann::json;

json Start(int time_ms, int run) { return {{"kind", "run-start"}, {"time_ms", time_ms}, {"task", "t"}, {"run", run}}; }
json End(int time_ms, int run, const char* how) {
  return {{"kind", "run-end"}, {"time_ms", time_ms}, {"task", "t"}, {"run", run}, {"how", how}};
}
json Noted(int time_ms, int run) {
  return {{"kind", "noted"}, {"time_ms", time_ms}, {"task", "t"}, {"run", run}, {"how", "done"}};
}
json Listed(int time_ms, int run) {
  return {{"kind", "listed"}, {"time_ms", time_ms}, {"task", "t"}, {"run", run}, {"how", "done"}};
}
json Left(int time_ms) { return {{"kind", "left"}, {"time_ms", time_ms}, {"born", 1}}; }
json Death(int time_ms) { return {{"kind", "death"}, {"time_ms", time_ms}, {"born", 1}}; }

struct Row {
  const char* name;
  bool is_violation;
  std::vector<json> first;
  std::vector<json> second;
};

}  // namespace

// Guards against a check of the records that finds nothing, or that takes a death of a worker for a double run.
TEST_CASE("a double run is found in the records of the workers") {
  const Row row = GENERATE(
      Row{"one run", false, {Start(10, 1), End(20, 1, "done")}, {}},
      Row{"one after the other", false, {Start(10, 1), End(20, 1, "failed")}, {Start(30, 2)}},
      Row{"at the same time", true, {Start(10, 1)}, {Start(20, 2)}},
      Row{"at the same time on one worker", true, {Start(10, 1), Start(20, 2)}, {}},
      Row{"still at the same time after the end of one",
          true,
          {Start(10, 1)},
          {Start(5, 1), End(8, 1, "stopped"), Start(20, 2)}},
      Row{"after an end as done that was never noted", true, {Start(10, 1), End(20, 1, "done")}, {Start(30, 2)}},
      Row{"beside a worker that died", false, {Start(10, 1), Death(20)}, {Start(30, 2)}},
      Row{"before the death of the worker", true, {Start(10, 1), Death(30)}, {Start(20, 2)}},
      Row{"with a run of the next life", true, {Start(10, 1), Death(20), Start(30, 1)}, {Start(40, 2)}},
      Row{"the death of another worker", true, {Start(10, 1)}, {Death(20), Start(30, 2)}},
      Row{"after an end that died with its worker",
          false,
          {Start(10, 1), End(20, 1, "done"), Death(30)},
          {Start(40, 2)}},
      Row{"after an end that was noted before the death",
          true,
          {Start(10, 1), End(20, 1, "done"), Noted(25, 1), Death(30)},
          {Start(40, 2)}},
      Row{"after an end that is noted later",
          true,
          {Start(10, 1), End(20, 1, "done"), Noted(60, 1)},
          {Start(40, 2), Death(50)}},
      Row{"after a worker left that ran it", false, {Start(10, 1), Left(20)}, {Start(30, 2)}},
      Row{"before a worker leaves that runs it", true, {Start(10, 1), Left(30)}, {Start(20, 2)}},
      Row{"after an end that a worker that left never listed",
          false,
          {Start(10, 1), End(20, 1, "done"), Left(300)},
          {Start(400, 2)}},
      Row{"after an end that was listed right before its worker left",
          false,
          {Start(10, 1), End(20, 1, "done"), Listed(30, 1), Left(129)},
          {Start(400, 2)}},
      Row{"after an end that was listed 100 ms before its worker left",
          true,
          {Start(10, 1), End(20, 1, "done"), Listed(30, 1), Left(130)},
          {Start(400, 2)}},
      Row{"after an end that was noted right before its worker left",
          true,
          {Start(10, 1), End(20, 1, "done"), Listed(30, 1), Noted(40, 1), Left(50)},
          {Start(400, 2)}},
      Row{"after an end of a worker that stays while another one leaves",
          true,
          {Start(10, 1), End(20, 1, "done")},
          {Left(30), Start(400, 2)}},
      Row{"noted in another life", false, {Start(10, 1), End(20, 1, "done"), Death(30), Noted(60, 1)}, {Start(40, 2)}});
  INFO(row.name);
  const std::string found = FindDoubleRun({row.first, row.second});
  INFO(found);
  CHECK(found.empty() != row.is_violation);
}

}  // namespace berylgauge
