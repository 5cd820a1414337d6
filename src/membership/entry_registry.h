#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/ids.h"
#include "base/monotonic_time.h"

namespace berylgauge {

/// One heartbeat record of an entry, as folded from the `members` stream.
struct EntryAnnouncement {
  EntryId entry;
  Incarnation incarnation = 0;
  std::string internal_address;  ///< "ip:port" for agents and other entries
  std::string caller_address;    ///< "ip:port" of the callers' listener
  AvailabilityZoneId availability_zone;
  bool leaving = false;

  bool operator==(const EntryAnnouncement&) const = default;
};

enum class EntryDecision {
  kNewEntry,
  kRefreshed,
  kNewIncarnation,
  kFormer,  ///< from a process that was replaced; dropped
};

inline constexpr auto kEntryDecisionNames = MakeEnumNames<EntryDecision>({
    {EntryDecision::kNewEntry, "new-entry"},
    {EntryDecision::kRefreshed, "refreshed"},
    {EntryDecision::kNewIncarnation, "new-incarnation"},
    {EntryDecision::kFormer, "former"},
});

struct EntryRecord {
  EntryAnnouncement last;
  MonotonicTime last_heard;
};

/// The entries that announce themselves in the `members` stream. Not thread-safe.
///
/// Announcements are applied in log order. `now` is the time of reading, so after a restart an entry that died long ago
/// counts as live until `live_for` has passed, which delays a claim and never hastens one.
class EntryRegistry {
 public:
  struct Options {
    absl::Duration live_for = absl::Seconds(4);  ///< `share_lease_ms`
    /// How long a silent entry's record is kept, so that the length of its silence can be told.
    absl::Duration forget_after = absl::Minutes(1);
    std::size_t max_former_per_entry = 8;
  };

  explicit EntryRegistry(Options options) : m_options(options) {}

  EntryDecision Apply(const EntryAnnouncement& announcement, MonotonicTime now);

  /// Returns the entries that became silent since the last call and forgets those silent for `forget_after`.
  std::vector<EntryId> Expire(MonotonicTime now);

  /// True if this very process was heard within `live_for`; a leaving one counts as live.
  bool IsLive(const EntryId& entry, Incarnation incarnation, MonotonicTime now) const;

  /// Time since the entry was last heard; nothing for an unknown one.
  std::optional<absl::Duration> SilenceOf(const EntryId& entry, MonotonicTime now) const;

  /// The record of an entry, silent or not; nullptr if it was never heard or is forgotten.
  const EntryRecord* Find(const EntryId& entry) const;

  /// Live entries by id, leaving ones included.
  std::vector<const EntryRecord*> Live(MonotonicTime now) const;

  /// Internal addresses of the live entries, for the replies to heartbeats.
  std::vector<std::string> LiveInternalAddresses(MonotonicTime now) const;

  /// The live entry with the highest rendezvous hash for the share; leaving ones are not considered. Nothing if there
  /// is none. All entries that know the same live entries agree, and the loss of one entry moves only its own shares.
  std::optional<EntryId> PreferredEntry(int share, MonotonicTime now) const;

 private:
  struct Slot {
    EntryRecord record;
    std::vector<Incarnation> former;  ///< oldest first
    bool is_reported_silent = false;
  };

  Options m_options;
  std::map<EntryId, Slot> m_entries;
};

}  // namespace berylgauge
