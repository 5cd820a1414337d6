#pragma once

#include <absl/random/random.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "daemon/entry/share_controller.h"
#include "daemon/entry/share_inbox.h"
#include "daemon/streams/shared_state.h"
#include "daemon/streams/snapshot_schedule.h"
#include "daemon/streams/stream_follower.h"
#include "daemon/streams/stream_writer.h"
#include "state/jobs_state.h"
#include "transport/stream_client.h"

namespace berylgauge {

class AgentClients;
class Clock;
class ConfigStream;
class EntryDirectory;
class FailureMonitor;
class LogClient;
class WorkerDirectory;

/// What a `ShareRunner` works with; all of it outlives the runner.
struct ShareRunnerContext {
  LogClient& log;
  const Clock& clock;
  ConfigStream& config;
  const EntryDirectory& entries;
  const StreamFollower& members;
  const WorkerDirectory& workers;
  AgentClients& agents;
  Placer& placer;
  FailureMonitor& failures;
  absl::Mutex& placer_mutex;  ///< protects `placer` and `failures`
};

struct ShareRunnerOptions {
  ShareControllerOptions controller;
  absl::Duration fresh_for = absl::Seconds(2);  ///< age up to which the tail of a stream counts as known
  SnapshotScheduleOptions snapshots;
};

/// Follows one `jobs-K` stream and, while this entry owns the share, carries out the controller's decisions.
///
/// One thread does one step after the other: decide, append, wait until the records are folded, send the messages.
class ShareRunner {
 public:
  ShareRunner(const ShareRunnerContext& context, ShareRunnerOptions options);
  ~ShareRunner();

  /// Passes a heartbeat on to the next step.
  void Deliver(const Heartbeat& heartbeat);

  /// Appends records of callers (submission, cancellation) and waits until they are folded.
  Result<Offset> AppendAndWait(std::vector<JobsRecord> records, absl::Duration timeout);

  const SharedState<JobsState>& state() const { return m_state; }
  TailProof TailProofNow() const { return m_follower->TailProofNow(); }
  bool HasGap() const { return m_follower->HasGap(); }
  bool IsOwner() const;
  std::string WaitReason(const TaskId& task) const;

  /// Gives the share up as soon as possible and never claims it again.
  void BeginLeaving();

 private:
  void Run();
  void Step(ShareInbox::Content content);
  ShareDecisions Decide(ShareInbox::Content content, MonotonicTime now);
  bool CarryOut(const ShareDecisions& decisions);
  void SendMessages(const ShareDecisions& decisions);
  void SendStart(const AgentMessage<StartCommand>& start);

  /// Passes the agent's answer to a command on to the next step.
  StreamClient::Callback DeliverAnswer(const AttemptKey& key, const WorkerId& worker) const;
  bool IsLogFresh(MonotonicTime now) const;
  void WriteSnapshotsIfDue(MonotonicTime now);

  const ShareRunnerContext m_context;
  const ShareRunnerOptions m_options;
  const std::string m_stream;
  SharedState<JobsState> m_state;
  std::unique_ptr<StreamFollower> m_follower;
  std::unique_ptr<StreamWriter> m_writer;

  const std::shared_ptr<ShareInbox> m_inbox;

  mutable absl::Mutex m_controller_mutex;
  ShareController m_controller ABSL_GUARDED_BY(m_controller_mutex);
  absl::BitGen m_random;
  SnapshotSchedule m_snapshots;
  SnapshotSchedule m_config_snapshots;
  /// Set when records were acknowledged without being folded; nothing is decided before the tail is known again.
  MonotonicTime m_decide_after = InfinitePast();
  std::thread m_thread;
};

}  // namespace berylgauge
