#include "state/commands/set_worker_state.h"

#include <utility>

#include "state/config_state.h"

namespace berylgauge {

SetWorkerState::SetWorkerState(WorkerId worker, AvailabilityState state)
    : m_worker(std::move(worker)), m_state(state) {}

void SetWorkerState::Apply(ConfigState& state) const { state.SetWorkerState(m_worker, m_state); }

std::unique_ptr<ConfigCommand> SetWorkerState::Inverse(const ConfigState& state) const {
  return std::make_unique<SetWorkerState>(m_worker, state.WorkerState(m_worker));
}

std::string SetWorkerState::Target() const { return "worker " + m_worker.value(); }

nlohmann::json SetWorkerState::Current(const ConfigState& state) const {
  return kAvailabilityStateNames.NameOf(state.WorkerState(m_worker));
}

nlohmann::json SetWorkerState::Next() const { return kAvailabilityStateNames.NameOf(m_state); }

nlohmann::json SetWorkerState::ToJson() const {
  return {{"command", "set-worker-state"}, {"worker", m_worker.value()}, {"state", Next()}};
}

}  // namespace berylgauge
