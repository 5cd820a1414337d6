#pragma once

#include <absl/synchronization/mutex.h>

#include <optional>
#include <string>
#include <vector>

#include "daemon/streams/fold_target.h"
#include "membership/entry_registry.h"

namespace berylgauge {

class Clock;

/// The live entries, folded from the `members` stream by the time of reading.
class EntryDirectory final : public FoldTarget {
 public:
  EntryDirectory(const Clock& clock, EntryRegistry::Options options);

  Offset Position() const override;
  void Apply(const Batch& batch, Offset offset) override;
  void Skip(Offset offset) override;
  Result<void> Restore(const nlohmann::json& snapshot) override;

  bool IsLive(const EntryId& entry, Incarnation incarnation, MonotonicTime now) const;
  std::optional<absl::Duration> SilenceOf(const EntryId& entry, MonotonicTime now) const;
  std::optional<EntryId> PreferredEntry(int share, MonotonicTime now) const;
  std::vector<std::string> LiveInternalAddresses(MonotonicTime now) const;
  std::vector<EntryAnnouncement> Live(MonotonicTime now) const;

 private:
  const Clock& m_clock;
  mutable absl::Mutex m_mutex;
  EntryRegistry m_registry ABSL_GUARDED_BY(m_mutex);
  Offset m_position ABSL_GUARDED_BY(m_mutex) = kNoOffset;
};

}  // namespace berylgauge
