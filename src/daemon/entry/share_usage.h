#pragma once

#include <map>
#include <optional>
#include <set>

#include "base/ids.h"
#include "schedule/attempt_key.h"
#include "state/task_event.h"

namespace berylgauge {

class JobsState;
class Placer;

/// Keeps what a `Placer` counts for the teams in line with the folded attempts of one share, whoever owns it.
///
/// An entry has one for each share, all with the same placer, so that quotas hold for the whole site.
class ShareUsage {
 public:
  explicit ShareUsage(Placer& placer);

  /// Takes in what was folded since the last call.
  void Update(const JobsState& jobs, bool is_owner);

  /// The owner in this process has booked an attempt with the placer and will append the placement.
  void RecordDecided(const AttemptKey& key, const WorkerId& worker);

  /// Drops the bookings of placements that were not accepted. Call it when all records of earlier decisions have been
  /// folded or are known to be rejected.
  void SettleDecided(const JobsState& jobs);

 private:
  void Reconcile(const JobsState& jobs);
  void Apply(const JobsState& jobs, const TaskEvent& event);
  void Count(const JobsState& jobs, const AttemptKey& key);
  void Drop(const AttemptKey& key);

  Placer& m_placer;
  std::optional<Offset> m_counted_until;  ///< nothing if all live attempts have to be read again
  std::set<AttemptKey> m_counted;         ///< live attempts
  std::map<AttemptKey, WorkerId> m_decided;
  std::set<AttemptKey> m_booked;  ///< live attempts that are booked on their worker by this process
  bool m_was_owner = false;
};

}  // namespace berylgauge
