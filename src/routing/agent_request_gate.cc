#include "routing/agent_request_gate.h"

#include <algorithm>
#include <optional>

namespace berylgauge {

bool AgentRequestGate::IsEntryAccepted(Incarnation entry_incarnation) {
  if (m_floors.contains(entry_incarnation)) return true;
  if (m_floors.size() >= m_options.max_entries) return false;
  m_floors.emplace(entry_incarnation, 0);
  return true;
}

GateAnswer AgentRequestGate::AnswerIfKnown(const RequestKey& key) const {
  if (m_active.contains(key)) return {.reason = GateReason::kRepeated, .verdict = Verdict::kMayHaveRun};
  const auto ended = m_ended.find(key);
  if (ended != m_ended.end()) {
    const bool was_refused = ended->second == Verdict::kNotRun;
    return {.reason = was_refused ? GateReason::kAlreadyRefused : GateReason::kRepeated,
            .verdict = was_refused ? Verdict::kNotRun : Verdict::kMayHaveRun};
  }
  const auto floor = m_floors.find(key.entry_incarnation);
  if (floor != m_floors.end() && key.number <= floor->second) {
    return {.reason = GateReason::kBelowFloor, .verdict = Verdict::kMayHaveRun};
  }
  return {};
}

GateAnswer AgentRequestGate::DecideNew(const GateRequest& request, const EndpointRecord* endpoint,
                                       MonotonicTime now) const {
  if (m_is_leaving) return {.reason = GateReason::kLeaving, .verdict = Verdict::kNotRun};
  if (endpoint == nullptr) return {.reason = GateReason::kUnknownEndpoint, .verdict = Verdict::kNotRun};
  if (endpoint->last.leaving) return {.reason = GateReason::kLeaving, .verdict = Verdict::kNotRun};
  if (request.deadline <= now) return {.reason = GateReason::kExpired, .verdict = Verdict::kNotRun};
  if (OutstandingOf(request.service, request.address, endpoint->last.incarnation) >= endpoint->last.slots) {
    return {.reason = GateReason::kNoSlot, .verdict = Verdict::kNotRun};
  }
  return {};
}

GateAnswer AgentRequestGate::Admit(const GateRequest& request, const EndpointRegistry& endpoints, MonotonicTime now) {
  const std::optional<RequestKey> key = ParseRequestId(request.id);
  if (!key) return {.reason = GateReason::kMalformedId, .verdict = Verdict::kNotRun};
  // The former process of this agent may have run it, and its memory is lost.
  if (request.agent_incarnation != m_options.agent_incarnation) {
    return {.reason = GateReason::kOtherIncarnation, .verdict = Verdict::kMayHaveRun};
  }
  // No request of this entry process was ever admitted here, so none has run.
  if (!IsEntryAccepted(key->entry_incarnation)) {
    return {.reason = GateReason::kTooManyEntries, .verdict = Verdict::kNotRun};
  }
  if (const GateAnswer known = AnswerIfKnown(*key); !known.IsAdmitted()) return known;
  const EndpointRecord* endpoint = endpoints.Find(request.service, request.address, now);
  const GateAnswer decision = DecideNew(request, endpoint, now);
  if (!decision.IsAdmitted()) return Refuse(*key, decision.reason);
  EndpointKey endpoint_key(request.service, request.address, endpoint->last.incarnation);
  ++m_outstanding[endpoint_key];
  m_active.emplace(*key, ActiveRequest{.endpoint = std::move(endpoint_key), .deadline = request.deadline});
  return decision;
}

GateAnswer AgentRequestGate::BeginForward(const RequestId& id, MonotonicTime now) {
  const std::optional<RequestKey> key = ParseRequestId(id);
  if (!key) return {.reason = GateReason::kMalformedId, .verdict = Verdict::kNotRun};
  const auto it = m_active.find(*key);
  if (it == m_active.end()) {
    const GateAnswer known = AnswerIfKnown(*key);
    // A request that was never admitted must not be forwarded either.
    return known.IsAdmitted() ? Refuse(*key, GateReason::kAbandoned) : known;
  }
  if (it->second.is_forwarded) return {.reason = GateReason::kRepeated, .verdict = Verdict::kMayHaveRun};
  if (it->second.deadline <= now) {
    EndActive(it, Verdict::kNotRun);
    return {.reason = GateReason::kExpired, .verdict = Verdict::kNotRun};
  }
  it->second.is_forwarded = true;
  return {};
}

GateAnswer AgentRequestGate::Abandon(const RequestId& id) {
  const std::optional<RequestKey> key = ParseRequestId(id);
  if (!key) return {.reason = GateReason::kMalformedId, .verdict = Verdict::kNotRun};
  if (!IsEntryAccepted(key->entry_incarnation)) {
    return {.reason = GateReason::kTooManyEntries, .verdict = Verdict::kNotRun};
  }
  const auto it = m_active.find(*key);
  if (it != m_active.end()) {
    if (it->second.is_forwarded) return {.reason = GateReason::kAbandoned, .verdict = Verdict::kMayHaveRun};
    EndActive(it, Verdict::kNotRun);
    return {.reason = GateReason::kAbandoned, .verdict = Verdict::kNotRun};
  }
  const GateAnswer known = AnswerIfKnown(*key);
  return known.IsAdmitted() ? Refuse(*key, GateReason::kAbandoned) : known;
}

Verdict AgentRequestGate::Complete(const RequestId& id, ForwardResult result) {
  const std::optional<RequestKey> key = ParseRequestId(id);
  if (!key) return Verdict::kMayHaveRun;
  const auto it = m_active.find(*key);
  if (it == m_active.end() || !it->second.is_forwarded) return Verdict::kMayHaveRun;
  Verdict verdict = Verdict::kMayHaveRun;
  if (result == ForwardResult::kComplete) verdict = Verdict::kRan;
  if (result == ForwardResult::kNotSent) verdict = Verdict::kNotRun;
  EndActive(it, verdict);
  return verdict;
}

int AgentRequestGate::OutstandingOf(const ServiceId& service, const std::string& address,
                                    Incarnation endpoint_incarnation) const {
  const auto it = m_outstanding.find(EndpointKey(service, address, endpoint_incarnation));
  return it == m_outstanding.end() ? 0 : it->second;
}

GateAnswer AgentRequestGate::Refuse(const RequestKey& key, GateReason reason) {
  Remember(key, Verdict::kNotRun);
  return {.reason = reason, .verdict = Verdict::kNotRun};
}

void AgentRequestGate::EndActive(ActiveMap::iterator it, Verdict verdict) {
  const auto count = m_outstanding.find(it->second.endpoint);
  if (--count->second == 0) m_outstanding.erase(count);
  const RequestKey key = it->first;
  m_active.erase(it);
  Remember(key, verdict);
}

void AgentRequestGate::Remember(const RequestKey& key, Verdict verdict) {
  m_ended.emplace(key, verdict);
  m_ended_order.push_back(key);
  while (m_ended_order.size() > m_options.max_ended) {
    const RequestKey oldest = m_ended_order.front();
    m_ended_order.pop_front();
    m_ended.erase(oldest);
    std::uint64_t& floor = m_floors[oldest.entry_incarnation];
    floor = std::max(floor, oldest.number);
  }
}

}  // namespace berylgauge
