#pragma once

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <map>
#include <optional>
#include <vector>

#include "daemon/entry/share_inputs.h"

namespace berylgauge {

/// What arrives for the owner of a share between two steps. Thread-safe.
class ShareInbox {
 public:
  struct Content {
    std::vector<Heartbeat> heartbeats;  ///< the newest of each worker
    std::vector<CommandAnswer> answers;
    bool leaving = false;
  };

  void Deliver(const Heartbeat& heartbeat);
  void Answer(CommandAnswer answer);
  void BeginLeaving();
  void Stop();
  bool IsStopped() const;

  /// Waits up to `timeout` for something urgent and takes everything; nothing once it was stopped.
  std::optional<Content> Take(absl::Duration timeout);

  /// Ends the wait of `Take`.
  void Wake();

 private:
  mutable absl::Mutex m_mutex;
  std::map<WorkerId, Heartbeat> m_heartbeats ABSL_GUARDED_BY(m_mutex);
  std::vector<CommandAnswer> m_answers ABSL_GUARDED_BY(m_mutex);
  bool m_urgent ABSL_GUARDED_BY(m_mutex) = false;
  bool m_leaving ABSL_GUARDED_BY(m_mutex) = false;
  bool m_stopped ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace berylgauge
