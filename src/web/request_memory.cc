#include "web/request_memory.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace berylgauge {
namespace {

/// A request whose body has not grown for this long is closed before one that makes progress. Bodies of well-behaved
/// clients have a few KB and arrive within milliseconds.
constexpr absl::Duration kStall = absl::Seconds(1);

/// More is freed than was asked for, so that a listener that lives at its budget does not search for connections at
/// each step.
constexpr std::size_t kSpareDivisor = 16;

/// Connections that are being closed keep their header blocks until the listener has processed them. Beyond this part
/// of the budget new connections are rejected instead of admitted in their place.
constexpr std::size_t kClosingDivisor = 4;

constexpr absl::Duration kReportInterval = absl::Seconds(1);

}  // namespace

RequestMemory::RequestMemory(std::size_t budget_bytes, MetricsRegistry* metrics) : m_budget(budget_bytes) {
  if (metrics == nullptr) return;
  m_used_gauge = &metrics->GetGauge("berylgauge_request_memory_bytes",
                                    "Memory of connections, bodies and responses, as accounted for");
  m_closed_counter = &metrics->GetCounter("berylgauge_connections_closed_for_memory_total",
                                          "Connections closed to free memory or a place");
  m_rejected_counter = &metrics->GetCounter("berylgauge_requests_rejected_for_memory_total",
                                            "Connections and requests rejected because nothing could be freed");
}

std::size_t RequestMemory::used_bytes() const {
  const std::lock_guard lock(m_mutex);
  return m_used;
}

void RequestMemory::AddListener(ConnectionCloser& listener) {
  const std::lock_guard lock(m_listeners_mutex);
  m_listeners.insert(&listener);
}

void RequestMemory::RemoveListener(ConnectionCloser& listener) {
  const std::lock_guard lock(m_listeners_mutex);
  m_listeners.erase(&listener);
}

RequestMemory::Decision RequestMemory::Open(ConnectionCloser& listener, std::string_view peer, std::size_t bytes,
                                            bool listener_full, MonotonicTime now) {
  const std::lock_guard lock(m_mutex);
  const std::string address(peer);
  Decision decision;
  const bool has_room = m_closing <= m_budget / kClosingDivisor;
  decision.retry = !has_room;
  if (!has_room) return decision;
  if (listener_full) {
    const auto chosen = Choose({.connections = 1, .listener = &listener}, address, now);
    if (chosen) Name(*chosen, decision);
  }
  const bool has_place = !listener_full || !decision.named.empty();
  decision.granted = has_place;
  if (const std::size_t excess = Excess(bytes); has_place && excess > 0) {
    const auto chosen = Choose({.bytes = excess}, address, now);
    if (chosen) Name(*chosen, decision);
    decision.granted = chosen.has_value();
  }
  if (decision.granted) {
    decision.connection = ++m_last_id;
    m_connections.emplace(decision.connection,
                          Connection{.listener = &listener, .peer = address, .fixed_bytes = bytes, .progress = now});
    m_used += bytes;
    m_bytes_by_peer[address] += bytes;
  }
  Note(static_cast<int>(decision.named.size()), decision.granted ? 0 : 1, address, now, decision);
  return decision;
}

RequestMemory::Decision RequestMemory::Reject(std::string_view peer, MonotonicTime now) {
  const std::lock_guard lock(m_mutex);
  Decision decision;
  Note(0, 1, std::string(peer), now, decision);
  return decision;
}

RequestMemory::Decision RequestMemory::ReserveBody(ConnectionId connection, std::size_t bytes, MonotonicTime now) {
  const std::lock_guard lock(m_mutex);
  Decision decision;
  const auto it = m_connections.find(connection);
  if (it == m_connections.end() || it->second.named) return decision;
  it->second.progress = now;
  decision.granted = true;
  if (bytes <= it->second.request_bytes) return decision;
  const std::size_t additional = bytes - it->second.request_bytes;
  const std::string peer = it->second.peer;
  if (const std::size_t excess = Excess(additional); excess > 0) {
    const auto chosen = Choose({.bytes = excess}, peer, now);
    const bool is_chosen = chosen && std::find(chosen->begin(), chosen->end(), connection) != chosen->end();
    // Its own end frees enough for the others; they stay.
    Name(chosen && !is_chosen ? *chosen : std::vector<ConnectionId>{connection}, decision);
    decision.granted = chosen && !is_chosen;
  }
  if (decision.granted) SetRequestBytes(it->second, bytes);
  const int closed = decision.granted ? static_cast<int>(decision.named.size()) : 0;
  Note(closed, decision.granted ? 0 : 1, peer, now, decision);
  return decision;
}

void RequestMemory::ReleaseBody(ConnectionId connection) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  if (it != m_connections.end()) SetRequestBytes(it->second, 0);
}

bool RequestMemory::BeginDispatch(ConnectionId connection) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  if (it == m_connections.end() || it->second.named) return false;
  it->second.dispatched = true;
  return true;
}

void RequestMemory::AddResponse(ConnectionId connection, std::size_t bytes) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  if (it != m_connections.end()) SetRequestBytes(it->second, it->second.request_bytes + bytes);
}

void RequestMemory::EndRequest(ConnectionId connection, MonotonicTime now) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) return;
  SetRequestBytes(it->second, 0);
  it->second.dispatched = false;
  it->second.progress = now;
}

void RequestMemory::Remove(ConnectionId connection) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  if (it == m_connections.end()) return;
  SetRequestBytes(it->second, 0);
  const Connection& removed = it->second;
  m_used -= removed.fixed_bytes;
  if (removed.named) m_closing -= removed.fixed_bytes;
  const auto peer = m_bytes_by_peer.find(removed.peer);
  peer->second -= removed.fixed_bytes;
  if (peer->second == 0) m_bytes_by_peer.erase(peer);
  m_connections.erase(it);
  Publish();
}

bool RequestMemory::IsNamed(ConnectionId connection) const {
  const std::lock_guard lock(m_mutex);
  const auto it = m_connections.find(connection);
  return it != m_connections.end() && it->second.named;
}

void RequestMemory::Close(const std::vector<NamedConnection>& named) {
  if (named.empty()) return;
  std::map<ConnectionCloser*, std::vector<ConnectionId>> by_listener;
  for (const NamedConnection& one : named) by_listener[one.listener].push_back(one.connection);
  const std::lock_guard lock(m_listeners_mutex);
  for (const auto& [listener, connections] : by_listener) {
    if (m_listeners.contains(listener)) listener->CloseForMemory(connections);
  }
}

std::optional<std::vector<ConnectionId>> RequestMemory::Choose(const Demand& demand, const std::string& peer,
                                                               MonotonicTime now) {
  struct Candidate {
    ConnectionId id = 0;
    const Connection* connection = nullptr;
  };
  std::map<std::string_view, std::vector<Candidate>> candidates;
  for (const auto& [id, connection] : m_connections) {
    const bool is_elsewhere = demand.listener != nullptr && connection.listener != demand.listener;
    if (connection.dispatched || connection.named || is_elsewhere) continue;
    candidates[connection.peer].push_back({.id = id, .connection = &connection});
  }
  // Addresses by descending memory. Those that hold less than the one that asks give up nothing for it.
  const auto own = m_bytes_by_peer.find(peer);
  const std::size_t own_bytes = own == m_bytes_by_peer.end() ? 0 : own->second;
  std::vector<std::pair<std::size_t, std::string_view>> peers;
  for (const auto& [address, unused] : candidates) {
    const std::size_t bytes = m_bytes_by_peer.find(address)->second;
    if (address == peer || bytes > own_bytes) peers.emplace_back(bytes, address);
  }
  std::sort(peers.begin(), peers.end(), std::greater<>());
  const std::size_t wanted_bytes = demand.bytes == 0 ? 0 : demand.bytes + m_budget / kSpareDivisor;
  std::vector<ConnectionId> chosen;
  std::size_t freed = 0;
  for (const auto& [unused, address] : peers) {
    std::vector<Candidate>& of_peer = candidates[address];
    std::sort(of_peer.begin(), of_peer.end(), [now](const Candidate& a, const Candidate& b) {
      const auto key = [now](const Candidate& c) {
        return std::tuple(now - c.connection->progress < kStall, -static_cast<std::int64_t>(c.connection->bytes()),
                          c.connection->progress);
      };
      return key(a) < key(b);
    });
    for (const Candidate& candidate : of_peer) {
      if (freed >= wanted_bytes && chosen.size() >= demand.connections) break;
      chosen.push_back(candidate.id);
      freed += candidate.connection->bytes();
    }
  }
  if (freed < demand.bytes || chosen.size() < demand.connections) return std::nullopt;
  return chosen;
}

void RequestMemory::Name(const std::vector<ConnectionId>& chosen, Decision& decision) {
  for (const ConnectionId id : chosen) {
    Connection& connection = m_connections.at(id);
    // The listener frees the body at once; the header block stays until the connection has ended.
    SetRequestBytes(connection, 0);
    connection.named = true;
    m_closing += connection.fixed_bytes;
    decision.named.push_back({.listener = connection.listener, .connection = id});
  }
}

void RequestMemory::SetRequestBytes(Connection& connection, std::size_t bytes) {
  m_used = m_used - connection.request_bytes + bytes;
  std::size_t& of_peer = m_bytes_by_peer[connection.peer];
  of_peer = of_peer - connection.request_bytes + bytes;
  connection.request_bytes = bytes;
  Publish();
}

std::size_t RequestMemory::Excess(std::size_t additional) const {
  const std::size_t used = m_used - m_closing + additional;
  return used > m_budget ? used - m_budget : 0;
}

void RequestMemory::Note(int closed, int rejected, const std::string& peer, MonotonicTime now, Decision& decision) {
  Publish();
  if (closed == 0 && rejected == 0) return;
  if (m_closed_counter != nullptr) m_closed_counter->Add(static_cast<std::uint64_t>(closed));
  if (m_rejected_counter != nullptr) m_rejected_counter->Add(static_cast<std::uint64_t>(rejected));
  m_report.closed += closed;
  m_report.rejected += rejected;
  if (now - m_reported_at < kReportInterval) return;
  m_report.used_bytes = m_used;
  m_report.peer = peer;
  decision.report = std::exchange(m_report, Report());
  m_reported_at = now;
}

void RequestMemory::Publish() {
  if (m_used_gauge != nullptr) m_used_gauge->Set(static_cast<std::int64_t>(m_used));
}

}  // namespace berylgauge
