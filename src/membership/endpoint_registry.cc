#include "membership/endpoint_registry.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/json_document.h"
#include "base/json_object_reader.h"
#include "membership/cbor_fields.h"

namespace berylgauge {
namespace {

/// An announcement has five short fields.
constexpr std::size_t kMaxAnnouncementBytes = 4096;
/// How long the former incarnations at an address without an endpoint are kept.
constexpr absl::Duration kKeepFormer = absl::Minutes(10);

}  // namespace

Result<EndpointAnnouncement> DecodeEndpointAnnouncement(std::string_view body) {
  if (body.size() > kMaxAnnouncementBytes) {
    return NotRun(FailureCode::kInvalidArgument, "must have at most 4096 bytes", "$");
  }
  const Result<nlohmann::json> document = ParseJsonDocument(body);
  if (!document) return tl::make_unexpected(document.error());
  JsonErrors errors;
  JsonObjectReader reader(*document, "$", errors);
  EndpointAnnouncement announcement{.service = ServiceId(ReadId(reader, "service")),
                                    .address = ReadAddress(reader, "address"),
                                    .incarnation = static_cast<Incarnation>(reader.Integer("incarnation", {.min = 1})),
                                    .slots = static_cast<int>(reader.Integer("slots", {.min = 0, .max = kMaxSlots})),
                                    .leaving = reader.Boolean("leaving", false)};
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return announcement;
}

bool EndpointRegistry::IsFormer(const Process& process, Incarnation incarnation, MonotonicTime now) const {
  const bool is_heard = now - process.last_heard <= m_options.remove_after;
  return is_heard && std::find(process.former.begin(), process.former.end(), incarnation) != process.former.end();
}

void EndpointRegistry::ReplaceProcess(Process& process, const EndpointAnnouncement& announcement) {
  std::erase(process.former, announcement.incarnation);
  process.former.push_back(process.incarnation);
  if (process.former.size() > m_options.max_former_per_address) process.former.erase(process.former.begin());
  process.incarnation = announcement.incarnation;
  std::erase_if(m_endpoints, [&](const auto& item) { return item.first.second == announcement.address; });
}

AnnouncementDecision EndpointRegistry::Apply(const EndpointAnnouncement& announcement, MonotonicTime now) {
  const Key key(announcement.service, announcement.address);
  const auto process_it = m_processes.find(announcement.address);
  const bool is_known = m_endpoints.contains(key);
  if (process_it != m_processes.end() && IsFormer(process_it->second, announcement.incarnation, now)) {
    return AnnouncementDecision::kFormer;
  }
  if (!is_known && m_endpoints.size() >= m_options.max_endpoints) return AnnouncementDecision::kTooMany;
  AnnouncementDecision decision = is_known ? AnnouncementDecision::kRefreshed : AnnouncementDecision::kNewEndpoint;
  Process& process = m_processes[announcement.address];
  if (process.incarnation == 0) process.incarnation = announcement.incarnation;
  if (process.incarnation != announcement.incarnation) {
    ReplaceProcess(process, announcement);
    decision = AnnouncementDecision::kNewIncarnation;
  }
  process.last_heard = now;
  EndpointRecord& record = m_endpoints[key];
  const bool was_leaving = record.last.leaving;
  record = {.last = announcement, .last_heard = now};
  record.last.leaving = announcement.leaving || was_leaving;
  return decision;
}

std::vector<EndpointAnnouncement> EndpointRegistry::Expire(MonotonicTime now) {
  std::vector<EndpointAnnouncement> removed;
  std::erase_if(m_endpoints, [&](const auto& item) {
    const bool is_silent = now - item.second.last_heard > m_options.remove_after;
    if (is_silent) removed.push_back(item.second.last);
    return is_silent;
  });
  std::erase_if(m_processes, [&](const auto& item) { return now - item.second.last_heard > kKeepFormer; });
  return removed;
}

const EndpointRecord* EndpointRegistry::Find(const ServiceId& service, const std::string& address,
                                             MonotonicTime now) const {
  const auto it = m_endpoints.find(Key(service, address));
  if (it == m_endpoints.end() || now - it->second.last_heard > m_options.remove_after) return nullptr;
  return &it->second;
}

std::vector<const EndpointRecord*> EndpointRegistry::Live(MonotonicTime now) const {
  std::vector<const EndpointRecord*> live;
  for (const auto& [key, record] : m_endpoints) {
    if (now - record.last_heard <= m_options.remove_after) live.push_back(&record);
  }
  return live;
}

}  // namespace berylgauge
