#pragma once

#include "daemon/entry/worker_directory.h"
#include "schedule/worker_view.h"

namespace berylgauge {

class ConfigState;

/// What the scheduling decisions need to know of a worker.
WorkerView WorkerViewOf(const WorkerDirectory::Entry& entry, const ConfigState& config);

}  // namespace berylgauge
