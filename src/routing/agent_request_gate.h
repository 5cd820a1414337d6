#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <tuple>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/verdict.h"
#include "membership/endpoint_registry.h"
#include "routing/request_key.h"

namespace berylgauge {

/// A request as it arrives at an agent.
struct GateRequest {
  RequestId id;                       ///< as `FormatRequestId` writes it
  Incarnation agent_incarnation = 0;  ///< agent process that the entry meant
  ServiceId service;
  std::string address;     ///< of the endpoint that the entry picked
  MonotonicTime deadline;  ///< on the agent's clock: time of arrival plus the remaining time in the request
};

enum class GateReason {
  kAdmitted,
  kNoSlot,            ///< the endpoint has as many requests as slots
  kLeaving,           ///< the endpoint or the agent is leaving
  kUnknownEndpoint,   ///< the endpoint did not announce itself lately
  kExpired,           ///< the deadline has passed
  kAbandoned,         ///< the entry gave the request up
  kAlreadyRefused,    ///< refused or given up before; it arrived late or again
  kRepeated,          ///< admitted before; it arrived again
  kBelowFloor,        ///< older than what the agent remembers
  kOtherIncarnation,  ///< sent to an earlier process of the agent
  kMalformedId,
  kTooManyEntries,  ///< more entry processes than the agent can remember
};

inline constexpr auto kGateReasonNames = MakeEnumNames<GateReason>({
    {GateReason::kAdmitted, "admitted"},
    {GateReason::kNoSlot, "no-slot"},
    {GateReason::kLeaving, "leaving"},
    {GateReason::kUnknownEndpoint, "unknown-endpoint"},
    {GateReason::kExpired, "expired"},
    {GateReason::kAbandoned, "abandoned"},
    {GateReason::kAlreadyRefused, "already-refused"},
    {GateReason::kRepeated, "repeated"},
    {GateReason::kBelowFloor, "below-floor"},
    {GateReason::kOtherIncarnation, "other-incarnation"},
    {GateReason::kMalformedId, "malformed-id"},
    {GateReason::kTooManyEntries, "too-many-entries"},
});

/// Decision of the gate. For an admitted request the verdict is `kMayHaveRun`, because it may run from then on.
struct GateAnswer {
  GateReason reason = GateReason::kAdmitted;
  Verdict verdict = Verdict::kMayHaveRun;

  bool IsAdmitted() const { return reason == GateReason::kAdmitted; }
  bool operator==(const GateAnswer&) const = default;
};

/// How forwarding to the endpoint ended.
enum class ForwardResult {
  kComplete,  ///< the whole response was received
  kNotSent,   ///< no connection was made, so no byte was sent
  kBroken,    ///< anything else
};

/// Decides which requests an agent forwards to its endpoints, and with which verdict it refuses the others.
///
/// A request goes through `Admit`, `BeginForward` and `Complete`. What was refused or given up is remembered, so that
/// it never runs later. The memory is bounded: of each entry process the agent forgets ended requests in the order in
/// which they ended, raises a floor to their numbers and refuses every unknown request up to the floor. Not
/// thread-safe.
class AgentRequestGate {
 public:
  struct Options {
    Incarnation agent_incarnation = 0;
    std::size_t max_ended = 32'768;  ///< ended requests remembered, of all entries together
    /// Entry processes remembered; none is ever forgotten, because incarnations have no order that a floor could use.
    /// With 8 entries restarting once a day the limit is reached after 22 years.
    std::size_t max_entries = 65'536;
  };

  explicit AgentRequestGate(Options options) : m_options(options) {}

  /// Decides on an arriving request; an admitted one holds a slot until `Complete`, `Abandon` or a refusal by
  /// `BeginForward`.
  GateAnswer Admit(const GateRequest& request, const EndpointRegistry& endpoints, MonotonicTime now);

  /// Call directly before the first byte goes to the endpoint. Forward only if the answer is `kAdmitted`; otherwise
  /// the request has expired or was given up, and its slot is free.
  GateAnswer BeginForward(const RequestId& id, MonotonicTime now);

  /// The entry reset the stream or asked to give the request up. `kNotRun` if it was not passed to the endpoint; a
  /// request that has not arrived yet is refused when it does.
  GateAnswer Abandon(const RequestId& id);

  /// Ends a forwarded request and frees its slot; returns the verdict for the entry. Unknown requests and ones that
  /// were not forwarded are left as they are, with `kMayHaveRun`.
  Verdict Complete(const RequestId& id, ForwardResult result);

  /// From now on every new request is refused; admitted ones go on.
  void BeginLeaving() { m_is_leaving = true; }

  /// Admitted and not ended requests of an endpoint process, for the heartbeat.
  int OutstandingOf(const ServiceId& service, const std::string& address, Incarnation endpoint_incarnation) const;

  /// Admitted and not ended requests of all endpoints.
  std::size_t outstanding() const { return m_active.size(); }

  /// Ended requests that are remembered.
  std::size_t remembered() const { return m_ended.size(); }

 private:
  using EndpointKey = std::tuple<ServiceId, std::string, Incarnation>;

  struct ActiveRequest {
    EndpointKey endpoint;
    MonotonicTime deadline;
    bool is_forwarded = false;
  };

  using ActiveMap = absl::flat_hash_map<RequestKey, ActiveRequest>;

  GateAnswer AnswerIfKnown(const RequestKey& key) const;
  GateAnswer DecideNew(const GateRequest& request, const EndpointRecord* endpoint, MonotonicTime now) const;
  bool IsEntryAccepted(Incarnation entry_incarnation);
  GateAnswer Refuse(const RequestKey& key, GateReason reason);
  void EndActive(ActiveMap::iterator it, Verdict verdict);
  void Remember(const RequestKey& key, Verdict verdict);

  Options m_options;
  bool m_is_leaving = false;
  ActiveMap m_active;
  absl::flat_hash_map<EndpointKey, int> m_outstanding;
  absl::flat_hash_map<RequestKey, Verdict> m_ended;  ///< `kNotRun` for refused ones
  std::deque<RequestKey> m_ended_order;
  absl::flat_hash_map<Incarnation, std::uint64_t> m_floors;  ///< one for each entry process ever heard
};

}  // namespace berylgauge
