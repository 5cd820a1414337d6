#include "workflow/filling_capacity.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace berylgauge::workflow {
namespace {

constexpr int kTargetMs = 50;  // a rate of 20/s, and a default loss of 2/s for each core

MonotonicTime At(double seconds) { return MonotonicTime(absl::Hours(1)) + absl::Seconds(seconds); }

/// "sorter" takes 5/s for each core from "shop", "packer" nothing from "shop" and "till"; other pairs are unknown.
FillingCapacity KnownCapacity(const FillerDemand& demand) {
  InterferenceTable table;
  table.Set({.serving_image = "shop", .filling_image = "sorter", .loss_per_core = 5});
  table.Set({.serving_image = "shop", .filling_image = "packer", .loss_per_core = 0});
  table.Set({.serving_image = "till", .filling_image = "packer", .loss_per_core = 0});
  FillingCapacity capacity;
  capacity.Update(table, demand, At(0));
  return capacity;
}

struct CapacityRow {
  const char* name;
  std::vector<std::pair<std::string, std::int64_t>> demand;  ///< images and cores
  double idle_cpu;
  std::vector<std::pair<std::string, double>> serving;  ///< images and headroom
  double expected;
};

TEST_CASE("filling capacity is the idle CPU that serving tasks can bear, by demand", "[filling-capacity]") {
  const CapacityRow row = GENERATE(
      CapacityRow{"no demand", {}, 8000, {}, 0},  //
      CapacityRow{"no serving tasks", {{"sorter", 1}, {"packer", 1}}, 8000, {}, 8000},
      CapacityRow{"a harmless image uses all idle CPU", {{"packer", 100}}, 8000, {{"shop", 10}}, 8000},
      CapacityRow{"a heavy image uses what the target allows", {{"sorter", 100}}, 8000, {{"shop", 10}}, 2000},
      CapacityRow{"idle CPU bounds a heavy image", {{"sorter", 100}}, 1000, {{"shop", 10}}, 1000},
      CapacityRow{"an unknown pair may interfere", {{"sorter", 100}}, 8000, {{"till", 10}}, 5000},
      CapacityRow{"the most sensitive image decides", {{"sorter", 100}}, 8000, {{"till", 10}, {"shop", 5}}, 1000},
      CapacityRow{"images count by demand", {{"sorter", 100}, {"packer", 300}}, 8000, {{"shop", 10}}, 6500},
      CapacityRow{"no headroom", {{"sorter", 100}}, 8000, {{"shop", -3}}, 0},
      CapacityRow{"no idle CPU", {{"packer", 100}}, -500, {{"shop", 10}}, 0});
  INFO(row.name);
  FillerDemand demand;
  for (const auto& [image, cpu] : row.demand) demand.Add(image, cpu * 1000, At(0));
  FillingRoom room{.idle_cpu = row.idle_cpu, .serving = {}};
  for (const auto& [image, headroom] : row.serving) {
    room.serving.push_back({.image = image, .tail_target_ms = kTargetMs, .headroom = headroom});
  }
  CHECK(KnownCapacity(demand).Of(room) == Approx(row.expected));
}

// Guards against placements that are preferred because an estimate rewards additional load.
TEST_CASE("another serving image or less idle CPU never adds filling capacity", "[filling-capacity]") {
  const bool holds = rc::check("capacity falls", [] {
    FillerDemand demand;
    for (const char* image : {"sorter", "packer", "other"}) demand.Add(image, *rc::gen::inRange(0, 9000), At(0));
    const FillingCapacity capacity = KnownCapacity(demand);
    FillingRoom room{.idle_cpu = *rc::gen::inRange(-1000, 32000) * 1.0, .serving = {}};
    double before = capacity.Of(room);
    for (const char* image : {"shop", "till", "unseen"}) {
      room.idle_cpu -= *rc::gen::inRange(0, 4000);
      room.serving.push_back(
          {.image = image, .tail_target_ms = kTargetMs, .headroom = *rc::gen::inRange(-5, 60) * 1.0});
      const double after = capacity.Of(room);
      RC_ASSERT(after <= before);
      RC_ASSERT(after >= 0);
      before = after;
    }
  });
  CHECK(holds);
}

TEST_CASE("an unknown pair counts as one that may disturb", "[filling-capacity]") {
  FillerDemand demand;
  demand.Add("sorter", 1000, At(0));
  demand.Add("packer", 3000, At(0));
  const FillingCapacity capacity = KnownCapacity(demand);
  CHECK(capacity.DisturbingShare("shop") == Approx(0.25));
  CHECK(capacity.DisturbingShare("till") == Approx(0.25));
  CHECK(capacity.DisturbingShare("unseen") == Approx(1));
}

// Guards against placement for an image that is no longer requested, and for none at all once no work arrives.
TEST_CASE("demand for filler images is forgotten", "[filling-capacity]") {
  FillerDemand demand;
  demand.Add("old", 40000, At(0));
  demand.Add("new", 40000, At(120));
  CHECK(demand.Shares(At(120)).at("new") == Approx(0.8));
  demand.Add("new", 40000, At(1500));
  CHECK(demand.Shares(At(1500)).count("old") == 0);
  CHECK(demand.Shares(At(4000)).empty());
}

}  // namespace
}  // namespace berylgauge::workflow
