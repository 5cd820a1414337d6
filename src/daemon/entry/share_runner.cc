#include "daemon/entry/share_runner.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>

#include "base/clock.h"
#include "base/event_log.h"
#include "daemon/entry/agent_clients.h"
#include "daemon/entry/config_stream.h"
#include "daemon/entry/entry_directory.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/streams/append_and_wait.h"
#include "daemon/streams/snapshot_writer.h"
#include "schedule/placer.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kStepInterval = absl::Milliseconds(100);
constexpr absl::Duration kMessageTimeout = absl::Seconds(2);

/// One wait for the log; it is repeated until the records are folded or the runner stops.
constexpr absl::Duration kAppendWait = absl::Seconds(1);

void LogRightsChange(const ConfigRecord& record) {
  if (const auto* revoked = std::get_if<WorkerRevoked>(&record)) {
    LogEvent(LogLevel::kWarning, "worker_revoked", {{"worker", revoked->worker.value()}});
  } else if (const auto* cleared = std::get_if<WorkerCleared>(&record)) {
    LogEvent(LogLevel::kInfo, "worker_cleared", {{"worker", cleared->worker.value()}});
  }
}

}  // namespace

ShareRunner::ShareRunner(const ShareRunnerContext& context, ShareRunnerOptions options)
    : m_context(context),
      m_options(std::move(options)),
      m_stream("jobs-" + std::to_string(m_options.controller.share)),
      m_inbox(std::make_shared<ShareInbox>()),
      m_controller(m_options.controller, context.placer, context.failures),
      m_snapshots(m_options.snapshots),
      m_config_snapshots(m_options.snapshots) {
  m_follower = std::make_unique<StreamFollower>(
      context.log, context.clock, m_state,
      StreamFollowerOptions{.stream = m_stream, .snapshot_stream = "snapshot-" + m_stream});
  m_writer = std::make_unique<StreamWriter>(context.log,
                                            StreamWriterOptions{.stream = m_stream,
                                                                .writer = m_options.controller.entry.value(),
                                                                .incarnation = m_options.controller.incarnation},
                                            [this] { return m_state.Position(); });
  m_thread = std::thread([this] { Run(); });
}

ShareRunner::~ShareRunner() {
  m_inbox->Stop();
  m_thread.join();
  m_writer.reset();
  m_follower.reset();
}

void ShareRunner::Deliver(const Heartbeat& heartbeat) { m_inbox->Deliver(heartbeat); }

Result<Offset> ShareRunner::AppendAndWait(std::vector<JobsRecord> records, absl::Duration timeout) {
  std::vector<nlohmann::json> encoded;
  encoded.reserve(records.size());
  for (const JobsRecord& record : records) encoded.push_back(EncodeJobsRecord(record));
  return berylgauge::AppendAndWait(*m_writer, *m_follower, std::move(encoded), timeout);
}

bool ShareRunner::IsOwner() const {
  return m_state.Read([this](const JobsState& state) {
    return state.epoch() > 0 && !state.released() && state.owner() == m_options.controller.entry &&
           state.owner_incarnation() == m_options.controller.incarnation;
  });
}

std::string ShareRunner::WaitReason(const TaskId& task) const {
  const absl::MutexLock lock(&m_controller_mutex);
  return m_controller.WaitReason(task);
}

void ShareRunner::BeginLeaving() { m_inbox->BeginLeaving(); }

void ShareRunner::Run() {
  while (std::optional<ShareInbox::Content> content = m_inbox->Take(kStepInterval)) Step(std::move(*content));
}

void ShareRunner::Step(ShareInbox::Content content) {
  const MonotonicTime now = m_context.clock.Now();
  const ShareDecisions decisions = Decide(std::move(content), now);
  if (!CarryOut(decisions)) return;
  SendMessages(decisions);
  if (IsOwner()) WriteSnapshotsIfDue(now);
}

bool ShareRunner::IsLogFresh(MonotonicTime now) const {
  const MonotonicTime oldest = std::max(m_decide_after, now - m_options.fresh_for);
  return m_follower->TailProofNow().at >= oldest && m_context.config.TailProofNow().at >= oldest &&
         m_context.members.TailProofNow().at >= oldest;
}

ShareDecisions ShareRunner::Decide(ShareInbox::Content content, MonotonicTime now) {
  const int share = m_options.controller.share;
  const bool log_is_fresh = IsLogFresh(now);
  const absl::MutexLock controller_lock(&m_controller_mutex);
  const absl::MutexLock placer_lock(&m_context.placer_mutex);
  return m_context.config.state().Read([&](const ConfigState& config) {
    return m_state.Read([&](const JobsState& jobs) {
      const ShareInputs inputs{
          .jobs = jobs,
          .config = config,
          .log_is_fresh = log_is_fresh,
          .owner_is_live = m_context.entries.IsLive(jobs.owner(), jobs.owner_incarnation(), now),
          .owner_silence = m_context.entries.SilenceOf(jobs.owner(), now),
          .preferred_entry = m_context.entries.PreferredEntry(share, now),
          .leaving = content.leaving,
          .wall_now = m_context.clock.WallNow(),
          .heartbeats = std::move(content.heartbeats),
          .answers = std::move(content.answers),
          .zone_of = [this](const WorkerId& worker) { return m_context.workers.ZoneOf(worker); },
          .silence_of = [this, now](const WorkerId& worker) { return m_context.workers.SilenceOf(worker, now); },
      };
      return m_controller.Step(inputs, now, m_random);
    });
  });
}

bool ShareRunner::CarryOut(const ShareDecisions& decisions) {
  if (!decisions.config_records.empty()) {
    for (const ConfigRecord& record : decisions.config_records) LogRightsChange(record);
    const Result<Offset> offset = m_context.config.AppendAndWait(decisions.config_records, kAppendWait);
    if (!offset) LogEvent(LogLevel::kWarning, "config_append_failed", {{"reason", offset.error().message}});
  }
  if (decisions.records.empty()) return true;
  std::vector<nlohmann::json> encoded;
  for (const JobsRecord& record : decisions.records) encoded.push_back(EncodeJobsRecord(record));
  Result<Offset> offset = berylgauge::AppendAndWait(*m_writer, *m_follower, std::move(encoded), kAppendWait);
  while (!offset) {
    // The writer still holds the records; deciding again before they are folded would decide twice.
    if (m_writer->Flush(kAppendWait)) {
      m_decide_after = m_context.clock.Now();
      return false;
    }
    if (m_inbox->IsStopped()) return false;
  }
  return true;
}

void ShareRunner::SendMessages(const ShareDecisions& decisions) {
  for (const AgentMessage<StartCommand>& start : decisions.starts) SendStart(start);
  for (const AgentMessage<StopMessage>& stop : decisions.stops) {
    const std::string address = m_context.workers.AddressOf(stop.worker);
    if (address.empty()) continue;
    LogEvent(LogLevel::kInfo, "stop_sent",
             {{"task", stop.message.end.key.task.value()}, {"worker", stop.worker.value()}});
    m_context.agents.For(address)->Send({.path = kStopPath, .headers = {}, .body = EncodeStopMessage(stop.message)},
                                        kMessageTimeout, DeliverAnswer(stop.message.end.key, stop.worker));
  }
  for (const AgentMessage<TermsMessage>& terms : decisions.terms) {
    const std::string address = m_context.workers.AddressOf(terms.worker);
    if (address.empty()) continue;
    m_context.agents.For(address)->Send({.path = kTermsPath, .headers = {}, .body = EncodeTermsMessage(terms.message)},
                                        kMessageTimeout, [](const Result<StreamResponse>&) {});
  }
}

void ShareRunner::SendStart(const AgentMessage<StartCommand>& start) {
  const std::string address = m_context.workers.AddressOf(start.worker);
  if (address.empty()) return;
  m_context.agents.For(address)->Send({.path = kStartPath, .headers = {}, .body = EncodeStartCommand(start.message)},
                                      kMessageTimeout, DeliverAnswer(start.message.key, start.worker));
}

StreamClient::Callback ShareRunner::DeliverAnswer(const AttemptKey& key, const WorkerId& worker) const {
  // The answer may arrive after this runner was destroyed, so the callback holds the inbox alone.
  return [inbox = m_inbox, key, worker](const Result<StreamResponse>& response) {
    if (!response || response->status != 200) return;
    Result<AttemptAnswer> answer = DecodeAttemptAnswer(response->body);
    if (answer) inbox->Answer({.key = key, .worker = worker, .answer = std::move(*answer)});
  };
}

void ShareRunner::WriteSnapshotsIfDue(MonotonicTime now) {
  const std::string& writer = m_options.controller.entry.value();
  if (m_snapshots.TakeDue(m_state.Position(), now)) {
    WriteSnapshot(m_context.log, "snapshot-" + m_stream, writer, m_state);
  }
  // The configuration has no owner of its own; that of the first share writes its snapshots.
  if (m_options.controller.share != 0) return;
  if (m_config_snapshots.TakeDue(m_context.config.state().Position(), now)) {
    WriteSnapshot(m_context.log, kConfigSnapshotStream, writer, m_context.config.state());
  }
}

}  // namespace berylgauge
