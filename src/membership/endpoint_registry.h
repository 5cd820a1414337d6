#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_names.h"
#include "base/failure.h"
#include "base/ids.h"
#include "base/monotonic_time.h"
#include "membership/message_limits.h"

namespace berylgauge {

/// What an endpoint says of itself in `POST /v1/endpoints`.
struct EndpointAnnouncement {
  ServiceId service;
  std::string address;          ///< "ip:port" of its HTTP listener
  Incarnation incarnation = 0;  ///< of its process
  int slots = 0;                ///< requests that it may process at the same time
  bool leaving = false;

  bool operator==(const EndpointAnnouncement&) const = default;
};

/// Decodes the JSON body `{"service", "address", "slots", "incarnation", "leaving"}` strictly; `leaving` may be absent.
Result<EndpointAnnouncement> DecodeEndpointAnnouncement(std::string_view body);

enum class AnnouncementDecision {
  kNewEndpoint,
  kRefreshed,
  kNewIncarnation,  ///< another process replaced the former one at this address
  kFormer,          ///< from a process that was replaced; dropped
  kTooMany,         ///< the agent has `max_endpoints` endpoints; dropped
};

inline constexpr auto kAnnouncementDecisionNames = MakeEnumNames<AnnouncementDecision>({
    {AnnouncementDecision::kNewEndpoint, "new-endpoint"},
    {AnnouncementDecision::kRefreshed, "refreshed"},
    {AnnouncementDecision::kNewIncarnation, "new-incarnation"},
    {AnnouncementDecision::kFormer, "former"},
    {AnnouncementDecision::kTooMany, "too-many"},
});

struct EndpointRecord {
  EndpointAnnouncement last;
  MonotonicTime last_heard;
};

/// The endpoints beside an agent, as they announced themselves. Not thread-safe.
///
/// `leaving` cannot be withdrawn within an incarnation, since announcements carry no sequence and an overtaken one must
/// not bring an endpoint back.
class EndpointRegistry {
 public:
  struct Options {
    absl::Duration remove_after = absl::Seconds(3);
    std::size_t max_endpoints = kMaxReportedEndpoints;
    std::size_t max_former_per_address = 8;
  };

  using Key = std::pair<ServiceId, std::string>;  ///< service and address

  explicit EndpointRegistry(Options options) : m_options(options) {}

  AnnouncementDecision Apply(const EndpointAnnouncement& announcement, MonotonicTime now);

  /// Removes endpoints that were not heard for `remove_after` and returns them.
  std::vector<EndpointAnnouncement> Expire(MonotonicTime now);

  /// The endpoint if it was heard within `remove_after`, else nullptr.
  const EndpointRecord* Find(const ServiceId& service, const std::string& address, MonotonicTime now) const;

  /// All endpoints that were heard within `remove_after`.
  std::vector<const EndpointRecord*> Live(MonotonicTime now) const;

 private:
  /// The process that announces itself at an address; it may serve several services.
  struct Process {
    Incarnation incarnation = 0;
    MonotonicTime last_heard;
    std::vector<Incarnation> former;  ///< oldest first
  };

  bool IsFormer(const Process& process, Incarnation incarnation, MonotonicTime now) const;
  void ReplaceProcess(Process& process, const EndpointAnnouncement& announcement);

  Options m_options;
  std::map<Key, EndpointRecord> m_endpoints;
  std::map<std::string, Process> m_processes;  ///< by address
};

}  // namespace berylgauge
