#include "base/rcu_cell.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

namespace berylgauge {
namespace {

struct Pair {
  int first;
  int second;
};

// Guards against readers that see a value after it was freed or half replaced.
TEST_CASE("RCU readers see whole values while they are replaced", "[rcu]") {
  RcuCell<Pair> cell(std::make_unique<const Pair>(Pair{0, 0}));
  std::atomic<bool> stop{false};
  std::atomic<int> torn{0};
  std::vector<std::thread> readers;
  for (int i = 0; i < 3; ++i) {
    readers.emplace_back([&] {
      while (!stop.load()) {
        const Pair pair = cell.Read([](const Pair& value) { return value; });
        if (pair.first != pair.second) torn.fetch_add(1);
      }
    });
  }
  for (int i = 1; i <= 2000; ++i) cell.Publish(std::make_unique<const Pair>(Pair{i, i}));
  stop.store(true);
  for (std::thread& reader : readers) reader.join();
  CHECK(torn.load() == 0);
  CHECK(cell.Read([](const Pair& value) { return value.first; }) == 2000);
}

}  // namespace
}  // namespace berylgauge
