#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace berylgauge {

/// Looks for a task that ran twice at the same time, on workers that were up, or that was started after it was done.
/// Returns the first one, or nothing if there is none.
///
/// `records` holds the events of each worker (tests/standins/README.md). Where no worker died, any end as done counts,
/// but of a worker that left only those that were acknowledged, or listed 100 ms before it left. Otherwise those that
/// were acknowledged at any time, because an end may be lost with its worker.
std::string FindDoubleRun(const std::vector<std::vector<nlohmann::json>>& records);

}  // namespace berylgauge
