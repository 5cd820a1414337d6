#include "control/entry_peers.h"

#include <set>
#include <utility>

#include "base/event_log.h"
#include "transport/make_stream_client.h"

namespace berylgauge::control {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

struct EntryPeers::Attempt {
  std::string body;
  Callback callback;
  std::set<std::string> tried;
  bool may_have_run = false;
};

EntryPeers::EntryPeers(EventLoop& loop, std::string own_host, const EntryPeersOptions& options)
    : m_loop(loop), m_own_host(std::move(own_host)), m_options(options), m_alive(std::make_shared<bool>(true)) {}

EntryPeers::~EntryPeers() { *m_alive = false; }

void EntryPeers::SetPeer(const std::string& host, const MemberRecord& member) {
  if (host == m_own_host || member.kind != MemberKind::kEntry) return;
  Peer& peer = m_peers[host];
  if (peer.client != nullptr && peer.member == member) return;
  peer.member = member;
  peer.ready_at = InfinitePast();
  Result<std::unique_ptr<StreamClient>> client =
      MakeStreamClient(m_loop, {.address = member.address,
                                .port = member.port,
                                .connect_timeout = absl::Milliseconds(500),
                                .keepalive_timeout = absl::Milliseconds(1500)});
  if (!client) {
    LogEvent(LogLevel::kError, "peer_address_invalid", {{"host", host}, {"reason", client.error().message}});
    m_peers.erase(host);
    return;
  }
  peer.client = std::move(*client);
}

void EntryPeers::Probe() {
  const MonotonicTime now = m_loop.Now();
  if (now - m_probed_at < m_options.probe_interval) return;
  m_probed_at = now;
  for (auto& [name, peer] : m_peers) {
    peer.client->Send({.path = std::string(kPeerReadyPath), .headers = {}, .body = {}}, m_options.probe_timeout,
                      [this, host = name, alive = m_alive](const Result<StreamResponse>& response) {
                        if (!*alive) return;
                        const auto found = m_peers.find(host);
                        if (found == m_peers.end()) return;
                        const bool ready = response && response->status == kStatusOk;
                        found->second.ready_at = ready ? m_loop.Now() : InfinitePast();
                      });
  }
}

bool EntryPeers::HasReadyPeer(MonotonicTime now) const {
  for (const auto& [host, peer] : m_peers) {
    if (now - peer.ready_at <= m_options.ready_for) return true;
  }
  return false;
}

void EntryPeers::Forward(const ForwardedCall& call, Callback callback) {
  auto attempt = std::make_shared<Attempt>();
  attempt->body = EncodeForwardedCall(call);
  attempt->callback = std::move(callback);
  Try(attempt);
}

void EntryPeers::Try(const std::shared_ptr<Attempt>& attempt) {
  for (auto& [name, peer] : m_peers) {
    if (m_loop.Now() - peer.ready_at > m_options.ready_for || !attempt->tried.insert(name).second) continue;
    peer.client->Send(
        {.path = std::string(kForwardPath), .headers = {}, .body = attempt->body}, m_options.call_timeout,
        [this, attempt, host = name, alive = m_alive](const Result<StreamResponse>& response) {
          if (!*alive) return;
          if (response && response->status == kStatusOk) {
            Result<ForwardedAnswer> answer = DecodeForwardedAnswer(response->body);
            if (answer) {
              attempt->callback(std::move(*answer), attempt->may_have_run);
              return;
            }
          }
          const bool not_run = !response && response.error().verdict == Verdict::kNotRun;
          if (!not_run) attempt->may_have_run = true;
          LogEvent(LogLevel::kWarning, "forward_failed",
                   {{"host", host}, {"not_run", not_run}, {"reason", response ? "" : response.error().message}});
          Try(attempt);
        });
    return;
  }
  attempt->callback(std::nullopt, attempt->may_have_run);
}

}  // namespace berylgauge::control
