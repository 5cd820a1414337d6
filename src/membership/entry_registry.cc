#include "membership/entry_registry.h"

#include <algorithm>

#include "base/stable_hash.h"

namespace berylgauge {

EntryDecision EntryRegistry::Apply(const EntryAnnouncement& announcement, MonotonicTime now) {
  const auto [it, is_new] = m_entries.try_emplace(announcement.entry);
  Slot& slot = it->second;
  EntryRecord& record = slot.record;
  if (is_new) {
    record = {.last = announcement, .last_heard = now};
    return EntryDecision::kNewEntry;
  }
  if (record.last.incarnation == announcement.incarnation) {
    record = {.last = announcement, .last_heard = now};
    return EntryDecision::kRefreshed;
  }
  const auto former = std::find(slot.former.begin(), slot.former.end(), announcement.incarnation);
  if (former != slot.former.end()) {
    if (now - record.last_heard <= m_options.live_for) return EntryDecision::kFormer;
    slot.former.erase(former);
  }
  slot.former.push_back(record.last.incarnation);
  if (slot.former.size() > m_options.max_former_per_entry) slot.former.erase(slot.former.begin());
  record = {.last = announcement, .last_heard = now};
  return EntryDecision::kNewIncarnation;
}

std::vector<EntryId> EntryRegistry::Expire(MonotonicTime now) {
  std::vector<EntryId> silent;
  for (auto& [entry, slot] : m_entries) {
    const bool is_silent = now - slot.record.last_heard > m_options.live_for;
    if (is_silent && !slot.is_reported_silent) silent.push_back(entry);
    slot.is_reported_silent = is_silent;
  }
  std::erase_if(m_entries,
                [&](const auto& item) { return now - item.second.record.last_heard > m_options.forget_after; });
  return silent;
}

const EntryRecord* EntryRegistry::Find(const EntryId& entry) const {
  const auto it = m_entries.find(entry);
  return it == m_entries.end() ? nullptr : &it->second.record;
}

bool EntryRegistry::IsLive(const EntryId& entry, Incarnation incarnation, MonotonicTime now) const {
  const EntryRecord* record = Find(entry);
  return record != nullptr && record->last.incarnation == incarnation && now - record->last_heard <= m_options.live_for;
}

std::optional<absl::Duration> EntryRegistry::SilenceOf(const EntryId& entry, MonotonicTime now) const {
  const EntryRecord* record = Find(entry);
  if (record == nullptr) return std::nullopt;
  return now - record->last_heard;
}

std::vector<const EntryRecord*> EntryRegistry::Live(MonotonicTime now) const {
  std::vector<const EntryRecord*> live;
  for (const auto& [entry, slot] : m_entries) {
    if (now - slot.record.last_heard <= m_options.live_for) live.push_back(&slot.record);
  }
  return live;
}

std::vector<std::string> EntryRegistry::LiveInternalAddresses(MonotonicTime now) const {
  std::vector<std::string> addresses;
  for (const EntryRecord* record : Live(now)) addresses.push_back(record->last.internal_address);
  return addresses;
}

std::optional<EntryId> EntryRegistry::PreferredEntry(int share, MonotonicTime now) const {
  std::optional<EntryId> preferred;
  std::uint64_t highest = 0;
  for (const EntryRecord* record : Live(now)) {
    if (record->last.leaving) continue;
    const std::uint64_t hash = StableHash64(std::to_string(share) + "/" + record->last.entry.value());
    // Entries come in the order of their ids, so on equal hashes the first id is preferred everywhere.
    if (preferred && hash <= highest) continue;
    preferred = record->last.entry;
    highest = hash;
  }
  return preferred;
}

}  // namespace berylgauge
