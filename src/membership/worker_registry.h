#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "membership/heartbeat.h"

namespace berylgauge {

/// What a registry did with a heartbeat.
enum class HeartbeatDecision {
  kNewWorker,       ///< first heartbeat of this worker, or the first after it was forgotten
  kRefreshed,       ///< next heartbeat of the same agent process
  kNewIncarnation,  ///< another agent process replaced the former one
  kNewBoot,         ///< the worker restarted under the same agent process; everything of the earlier boot has ended
  kStale,           ///< repeated or overtaken by a later one; dropped
  kFormer,          ///< from a process that was replaced; dropped
};

inline constexpr auto kHeartbeatDecisionNames = MakeEnumNames<HeartbeatDecision>({
    {HeartbeatDecision::kNewWorker, "new-worker"},
    {HeartbeatDecision::kRefreshed, "refreshed"},
    {HeartbeatDecision::kNewIncarnation, "new-incarnation"},
    {HeartbeatDecision::kNewBoot, "new-boot"},
    {HeartbeatDecision::kStale, "stale"},
    {HeartbeatDecision::kFormer, "former"},
});

/// How long ago an agent was heard, in steps.
enum class WorkerLiveness {
  kLive,
  kSuspect,  ///< heartbeats are missing; used only where nothing else is left
  kSilent,   ///< not routed to
};

inline constexpr auto kWorkerLivenessNames = MakeEnumNames<WorkerLiveness>({
    {WorkerLiveness::kLive, "live"},
    {WorkerLiveness::kSuspect, "suspect"},
    {WorkerLiveness::kSilent, "silent"},
});

/// The newest that was heard from a worker's agent.
struct WorkerRecord {
  Heartbeat last;
  MonotonicTime first_heard;  ///< of this incarnation
  MonotonicTime last_heard;
};

/// Answer to `WorkerRegistry::Apply`.
struct HeartbeatOutcome {
  HeartbeatDecision decision = HeartbeatDecision::kStale;
  bool is_new_boot = false;           ///< the boot id differs from the last one known, also with a new incarnation
  std::optional<WorkerId> displaced;  ///< another worker that used the same address and was removed

  bool IsAccepted() const { return decision != HeartbeatDecision::kStale && decision != HeartbeatDecision::kFormer; }
};

/// An entry's account of all agents that it hears. Not thread-safe.
///
/// Incarnations are random and have no order. A process that was replaced stays replaced while its successor is heard;
/// once the successor is silent, a later heartbeat of the former process counts again. So a late heartbeat of a dead
/// process displaces the living one for at most `remove_after`.
class WorkerRegistry {
 public:
  struct Options {
    std::string own_region;
    absl::Duration suspect_after = absl::Milliseconds(1500);  ///< three missed heartbeats of 500 ms
    /// For agents of other regions, which send every 2 s.
    absl::Duration remote_suspect_after = absl::Milliseconds(2500);
    absl::Duration remove_after = absl::Seconds(3);
    /// How long a silent worker's record is kept, so that late heartbeats are recognised and the length of a silence
    /// can be told. Longer than `outage_grace_ms` with its margin of 5%.
    absl::Duration forget_after = absl::Minutes(90);
    std::size_t max_former = 4096;
  };

  explicit WorkerRegistry(Options options) : m_options(std::move(options)) {}

  HeartbeatOutcome Apply(const Heartbeat& heartbeat, MonotonicTime now);

  /// Forgets what is older than `forget_after` and returns the workers that became silent since the last call.
  std::vector<WorkerId> Expire(MonotonicTime now);

  /// The record of a worker, silent or not; nullptr if it was never heard or is forgotten.
  const WorkerRecord* Find(const WorkerId& worker) const;

  /// `kSilent` for an unknown worker.
  WorkerLiveness LivenessOf(const WorkerId& worker, MonotonicTime now) const;

  /// Time since the last accepted heartbeat; nothing for an unknown worker.
  std::optional<absl::Duration> SilenceOf(const WorkerId& worker, MonotonicTime now) const;

  /// All workers by id, silent ones included.
  const std::map<WorkerId, WorkerRecord>& workers() const { return m_workers; }

  WorkerLiveness LivenessOf(const WorkerRecord& record, MonotonicTime now) const;

  /// Grows whenever something changes that a routing table contains, except by the mere passing of time. `Expire`
  /// advances it too when a worker becomes silent.
  std::uint64_t generation() const { return m_generation; }

 private:
  using ProcessKey = std::pair<WorkerId, Incarnation>;

  /// A process that was replaced.
  struct Former {
    std::uint64_t last_sequence = 0;
    WorkerId successor;
    MonotonicTime replaced;
  };

  bool IsFormer(const Heartbeat& heartbeat, MonotonicTime now) const;
  void Retire(const WorkerRecord& record, const WorkerId& successor, MonotonicTime now);
  std::optional<WorkerId> DisplaceAddress(const Heartbeat& heartbeat, MonotonicTime now);
  void ForgetOldest();

  Options m_options;
  std::map<WorkerId, WorkerRecord> m_workers;
  absl::flat_hash_map<std::string, WorkerId> m_workers_by_address;
  std::map<ProcessKey, Former> m_former;
  std::map<WorkerId, MonotonicTime> m_reported_silent;  ///< with the time of the last heartbeat before the silence
  std::uint64_t m_generation = 0;
};

}  // namespace berylgauge
