#include "control/queue_table.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

#include "base/absl_string_view.h"

namespace berylgauge::control {

QueueTable::QueueTable(std::int64_t version, std::vector<QueueRoute> routes)
    : m_version(version), m_count(routes.size()) {
  for (QueueRoute& route : routes) m_by_host[absl::AsciiStrToLower(route.host)].push_back(std::move(route));
  for (auto& [host, list] : m_by_host) {
    std::stable_sort(list.begin(), list.end(), [](const QueueRoute& a, const QueueRoute& b) {
      return a.path_prefix.size() > b.path_prefix.size();
    });
  }
}

const QueueRoute* QueueTable::Find(std::string_view host, std::string_view path) const {
  const std::string name = absl::AsciiStrToLower(ToAbsl(host.substr(0, host.find(':'))));
  const auto found = m_by_host.find(name);
  if (found == m_by_host.end()) return nullptr;
  for (const QueueRoute& route : found->second) {
    if (path.starts_with(route.path_prefix)) return &route;
  }
  return nullptr;
}

}  // namespace berylgauge::control
