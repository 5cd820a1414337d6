#include "daemon/agent/heartbeat_sender.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "daemon/agent/agent_core.h"
#include "daemon/messages/heartbeat_path.h"
#include "transport/stream_client.h"

namespace berylgauge {
namespace {

/// An entry that no reply has named for this long is gone.
constexpr absl::Duration kForgetEntryAfter = absl::Seconds(30);

/// Bounds the connections of one agent; there are few entries.
constexpr std::size_t kMaxEntries = 32;

}  // namespace

HeartbeatSender::HeartbeatSender(AgentCore& core, const Clock& clock, ClientFactory make_client,
                                 HeartbeatSenderOptions options)
    : m_core(core), m_clock(clock), m_make_client(std::move(make_client)), m_options(std::move(options)) {
  for (const std::string& address : m_options.entries) {
    Peer& peer = m_peers[address];
    peer.client = m_make_client(address);
    peer.last_listed = InfiniteFuture();
  }
  m_thread = std::make_unique<PeriodicThread>(m_options.interval, [this] { SendAll(); });
}

HeartbeatSender::~HeartbeatSender() {
  m_thread.reset();
  std::map<std::string, Peer> peers;
  {
    const absl::MutexLock lock(&m_mutex);
    peers.swap(m_peers);
  }
  // Destroying a client completes its callbacks, which take the lock.
  peers.clear();
}

void HeartbeatSender::Wake() { m_thread->Wake(); }

int HeartbeatSender::HeardEntries() const {
  const MonotonicTime oldest = m_clock.Now() - 3 * m_options.interval;
  const absl::MutexLock lock(&m_mutex);
  return static_cast<int>(std::count_if(m_peers.begin(), m_peers.end(),
                                        [oldest](const auto& item) { return item.second.last_reply >= oldest; }));
}

void HeartbeatSender::SendAll() {
  const MonotonicTime now = m_clock.Now();
  ForgetUnlisted(now);
  const absl::MutexLock lock(&m_mutex);
  for (auto& [address, peer] : m_peers) {
    if (!peer.in_flight) Send(address, peer, now);
  }
}

void HeartbeatSender::Send(const std::string& address, Peer& peer, MonotonicTime now) {
  const Heartbeat heartbeat = m_core.NextHeartbeat(now);
  const Incarnation incarnation = heartbeat.incarnation;
  const Result<std::string> body = EncodeHeartbeat(heartbeat);
  if (!body) {
    LogEvent(LogLevel::kError, "heartbeat_not_encoded", {{"reason", body.error().message}});
    return;
  }
  peer.in_flight = true;
  StreamRequest request{.path = kHeartbeatPath, .headers = {}, .body = *body};
  peer.client->Send(std::move(request), m_options.timeout,
                    [this, address, incarnation, now](Result<StreamResponse> response) {
                      {
                        const absl::MutexLock callback_lock(&m_mutex);
                        const auto it = m_peers.find(address);
                        if (it != m_peers.end()) it->second.in_flight = false;
                      }
                      if (!response || response->status != 200) return;
                      const Result<HeartbeatReply> reply = DecodeHeartbeatReply(response->body);
                      if (!reply) return;
                      m_core.ApplyReply(incarnation, *reply, now, m_clock.Now());
                      NoteReply(address, *reply);
                    });
}

void HeartbeatSender::NoteReply(const std::string& address, const HeartbeatReply& reply) {
  const MonotonicTime now = m_clock.Now();
  const absl::MutexLock lock(&m_mutex);
  const auto sender = m_peers.find(address);
  if (sender != m_peers.end()) sender->second.last_reply = now;
  for (const std::string& entry : reply.entries) {
    if (!m_peers.contains(entry) && m_peers.size() >= kMaxEntries) continue;
    Peer& peer = m_peers[entry];
    if (!peer.client) peer.client = m_make_client(entry);
    if (peer.last_listed < now) peer.last_listed = now;
  }
}

void HeartbeatSender::ForgetUnlisted(MonotonicTime now) {
  std::vector<std::unique_ptr<StreamClient>> forgotten;
  const absl::MutexLock lock(&m_mutex);
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const bool keep = it->second.in_flight || now - it->second.last_listed <= kForgetEntryAfter;
    if (!keep) forgotten.push_back(std::move(it->second.client));
    it = keep ? std::next(it) : m_peers.erase(it);
  }
}

}  // namespace berylgauge
