#include "daemon/entry/worker_view_of.h"

#include "state/config_state.h"

namespace berylgauge {

WorkerView WorkerViewOf(const WorkerDirectory::Entry& entry, const ConfigState& config) {
  const Heartbeat& heartbeat = entry.last;
  WorkerView view;
  view.worker = heartbeat.worker;
  view.rack = heartbeat.rack;
  view.zone = heartbeat.availability_zone;
  view.agent_incarnation = heartbeat.incarnation;
  view.capacity = heartbeat.capacity;
  view.booked = heartbeat.booked;
  view.drained = heartbeat.draining || heartbeat.leaving ||
                 config.ZoneState(heartbeat.availability_zone) != AvailabilityState::kOpen ||
                 config.WorkerState(heartbeat.worker) != AvailabilityState::kOpen ||
                 config.RevokedAt(heartbeat.worker) != kNoOffset;
  // An agent that has not reconciled, or is not the registered one, refuses every start.
  view.suspected = entry.liveness != WorkerLiveness::kLive || !heartbeat.reconciled ||
                   config.AgentsOf(heartbeat.worker).Current() != heartbeat.incarnation;
  view.as_of = entry.last_heard;
  return view;
}

}  // namespace berylgauge
