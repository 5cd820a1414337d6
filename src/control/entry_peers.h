#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "base/monotonic_time.h"
#include "control/forwarded_call.h"
#include "control/member_record.h"
#include "transport/event_loop.h"
#include "transport/stream_client.h"

namespace berylgauge::control {

struct EntryPeersOptions {
  /// Between two questions whether a peer is ready, while this entry depends on one.
  absl::Duration probe_interval = absl::Milliseconds(400);
  absl::Duration probe_timeout = absl::Milliseconds(500);
  /// A peer counts as ready for this long after it said so.
  absl::Duration ready_for = absl::Milliseconds(1200);
  /// Time for a forwarded call: within the client's usual deadline of 3 s, with time for a second peer.
  absl::Duration call_timeout = absl::Milliseconds(1200);
};

/// The other entries, for an entry that the store does not serve: they take its clients' requests. Used on the loop's
/// thread.
class EntryPeers {
 public:
  /// Nothing if no peer answered; `may_have_run` if one may have carried the call out all the same.
  using Callback = absl::AnyInvocable<void(std::optional<ForwardedAnswer> answer, bool may_have_run)>;

  EntryPeers(EventLoop& loop, std::string own_host, const EntryPeersOptions& options = {});
  ~EntryPeers();

  void SetPeer(const std::string& host, const MemberRecord& member);

  /// Asks the peers whether they are ready, if the last time is long enough ago.
  void Probe();
  bool HasReadyPeer(MonotonicTime now) const;

  /// Tries the ready peers one after the other.
  void Forward(const ForwardedCall& call, Callback callback);

 private:
  struct Peer {
    MemberRecord member;
    std::unique_ptr<StreamClient> client;
    MonotonicTime ready_at = InfinitePast();
  };
  struct Attempt;

  void Try(const std::shared_ptr<Attempt>& attempt);

  EventLoop& m_loop;
  const std::string m_own_host;
  const EntryPeersOptions m_options;
  std::map<std::string, Peer> m_peers;
  MonotonicTime m_probed_at = InfinitePast();
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
