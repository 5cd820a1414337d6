#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "control/agent_link.h"
#include "control/fencing_tokens.h"
#include "control/keyed_log.h"
#include "control/log_writer.h"
#include "control/member_record.h"
#include "transport/event_loop.h"
#include "workflow/job_index.h"
#include "workflow/scheduler.h"

namespace berylgauge::control {

struct OwnerRoleOptions {
  workflow::OwnerRecord record;  ///< as claimed
  /// Time between two signs of life in the progress partition; other entries wait three times as long.
  absl::Duration sign_interval = absl::Milliseconds(400);
  /// Leases are granted and starts sent only while the newest successful append is younger than this.
  absl::Duration validity = absl::Milliseconds(4500);
  /// Up to when all submissions and cancellations are known.
  std::function<MonotonicTime()> submissions_known_until;
  /// Starts are sent only while that is younger than this. The platform expects that nothing of a job starts later than
  /// 3 s after its cancellation was acknowledged; the agent may repeat a start for 1.5 s, and 0.1 s is left for the
  /// way.
  absl::Duration submissions_age = absl::Milliseconds(1400);
  workflow::SchedulerOptions scheduler;
};

/// What the owner does: drives the scheduler, writes its batches, and talks to all agents. Used on the loop's thread.
class OwnerRole {
 public:
  struct Listener {
    /// Another entry has claimed the progress partition. The role must be destroyed soon.
    std::function<void()> on_deposed;
    /// These records of the progress partition are stored.
    std::function<void(const std::vector<KeyedRecord>& records, std::int64_t end)> on_stored;
    /// The submissions of these jobs may be removed; `OnSubmissionRemoved` or `OnSubmissionNotRemoved` is expected for
    /// each.
    std::function<void(const std::vector<std::string>& jobs)> on_retired;
  };

  /// `writer` has stored the claim. `index` must outlive the role.
  OwnerRole(EventLoop& loop, const Clock& clock, std::unique_ptr<LogWriter> writer, const workflow::JobIndex& index,
            OwnerRoleOptions options, Listener listener);
  ~OwnerRole();

  /// The submissions are complete as of the claim; begins to schedule.
  void Begin();

  void OnSubmission(const std::string& job);
  /// Of a job that is known, or of one that is not stored and may still be.
  void OnCancellation(const std::string& job);
  /// The submission of a retired job is removed from the store.
  void OnSubmissionRemoved(const std::string& job);
  void OnSubmissionNotRemoved(const std::string& job);
  void SetLimits(workflow::PlacementLimits limits);
  /// Where an agent listens; connects to it. Not to be called before `Begin`.
  void SetMember(const std::string& host, const MemberRecord& member);

  /// Writes a record that lets another entry claim at once; `done` is called when it is stored or failed.
  void HandOver(std::function<void()> done);

  std::int64_t epoch() const { return m_options.record.epoch; }
  const workflow::Scheduler* scheduler() const { return m_scheduler.get(); }

 private:
  enum class WriteKind {
    kBatch,       ///< of the scheduler
    kSignOfLife,  ///< nothing else was written for a while
    kHandOver,    ///< names no holder
  };

  void Kick();
  void Run();
  void ScheduleRun(MonotonicTime at);
  void Write(std::vector<KeyedRecord> records, WriteKind kind);
  void OnWritten(const AppendAnswer& answer, WriteKind kind);
  workflow::OwnerRecord RecordAsOf(MonotonicTime now) const;
  bool IsValid(MonotonicTime now) const;
  /// Whether a cancellation that was acknowledged long ago may be unknown here.
  bool HasOldSubmissions(MonotonicTime now) const;
  void SendStarts(std::vector<workflow::StartOrder> starts);
  void SendStops(std::vector<workflow::StopOrder> stops);
  void SendTo(const std::string& agent, OrdersRequest request);
  /// Sends the starts after a pause.
  void HoldStarts(const std::string& agent, OrdersRequest request);
  void SendLater(const std::string& agent, OrdersRequest request, absl::Duration pause);
  /// Sends those of the orders whose runs are not settled yet, and refuses unsent starts that have become forbidden.
  void SendWanted(const std::string& agent, const OrdersRequest& request);
  void OnOrdersAnswer(const std::string& agent, const OrdersRequest& request, const OrdersAnswer& answer);
  void OnOrdersFailure(const std::string& agent, const OrdersRequest& request, const Failure& failure);
  AgentLink::Listener MakeLinkListener();
  std::int64_t UnixNow() const;

  EventLoop& m_loop;
  const Clock& m_clock;
  const OwnerRoleOptions m_options;
  Listener m_listener;
  const workflow::JobIndex& m_index;
  workflow::PlacementLimits m_limits;
  std::unique_ptr<LogWriter> m_writer;
  std::unique_ptr<workflow::Scheduler> m_scheduler;
  FencingTokens m_fencing_tokens;
  absl::flat_hash_map<std::string, std::unique_ptr<AgentLink>> m_links;
  const MonotonicTime m_claimed_at;
  bool m_is_sole_recorded;  ///< see `OwnerRecord::is_sole`
  MonotonicTime m_signed_at;
  bool m_run_deferred = false;
  bool m_deposed = false;
  bool m_handing_over = false;
  bool m_holding_starts = false;
  std::function<void()> m_handed_over;
  EventLoop::TimerId m_timer;
  std::shared_ptr<bool> m_alive;
};

}  // namespace berylgauge::control
