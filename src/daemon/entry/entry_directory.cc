#include "daemon/entry/entry_directory.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "daemon/messages/members_records.h"
#include "state/batch.h"

namespace berylgauge {

EntryDirectory::EntryDirectory(const Clock& clock, EntryRegistry::Options options)
    : m_clock(clock), m_registry(options) {}

Offset EntryDirectory::Position() const {
  const absl::MutexLock lock(&m_mutex);
  return m_position;
}

void EntryDirectory::Apply(const Batch& batch, Offset offset) {
  const MonotonicTime now = m_clock.Now();
  const absl::MutexLock lock(&m_mutex);
  m_position = offset;
  for (const nlohmann::json& record : batch.records) {
    const Result<EntryAnnouncement> announcement = DecodeEntryAnnouncement(record);
    if (!announcement) continue;
    const EntryDecision decision = m_registry.Apply(*announcement, now);
    if (decision == EntryDecision::kRefreshed) continue;
    LogEvent(LogLevel::kInfo, "entry_announced",
             {{"entry", announcement->entry.value()}, {"decision", kEntryDecisionNames.NameOf(decision)}});
  }
  m_registry.Expire(now);
}

void EntryDirectory::Skip(Offset offset) {
  const absl::MutexLock lock(&m_mutex);
  m_position = offset;
}

Result<void> EntryDirectory::Restore(const nlohmann::json& /*snapshot*/) {
  return NotRun(FailureCode::kInternal, "the members stream has no snapshots");
}

bool EntryDirectory::IsLive(const EntryId& entry, Incarnation incarnation, MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_registry.IsLive(entry, incarnation, now);
}

std::optional<absl::Duration> EntryDirectory::SilenceOf(const EntryId& entry, MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_registry.SilenceOf(entry, now);
}

std::optional<EntryId> EntryDirectory::PreferredEntry(int share, MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_registry.PreferredEntry(share, now);
}

std::vector<std::string> EntryDirectory::LiveInternalAddresses(MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  return m_registry.LiveInternalAddresses(now);
}

std::vector<EntryAnnouncement> EntryDirectory::Live(MonotonicTime now) const {
  const absl::MutexLock lock(&m_mutex);
  std::vector<EntryAnnouncement> live;
  for (const EntryRecord* record : m_registry.Live(now)) live.push_back(record->last);
  return live;
}

}  // namespace berylgauge
