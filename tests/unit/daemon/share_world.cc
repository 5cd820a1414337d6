#include "share_world.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

#include "daemon/entry/worker_view_of.h"
#include "state/batch.h"
#include "state/commands/set_zone_state.h"

namespace berylgauge {
namespace {

constexpr int kTeams = 2;
constexpr absl::Duration kGrace = absl::Seconds(20);
constexpr absl::Duration kWorkerSilent = absl::Seconds(5);
/// Short enough that quarantine and its trials fit into a random history.
constexpr WorkerQuarantineOptions kQuarantine{
    .failed_jobs = 2, .first_pause = absl::Seconds(2), .longest_pause = absl::Seconds(8)};
constexpr JobBackoffOptions kBackoff{.first_delay = absl::Seconds(1), .longest_delay = absl::Seconds(4)};

AvailabilityZoneId ZoneOfWorker(int worker) { return AvailabilityZoneId("zone-" + std::to_string(worker)); }

TeamId TeamOfJob(int job) { return TeamId("team-" + std::to_string(job % kTeams)); }

}  // namespace

struct ShareWorld::EntryModel {
  EntryId id;
  Incarnation incarnation = 0;
  std::uint64_t sequence = 0;
  std::unique_ptr<Placer> placer;
  std::unique_ptr<FailureMonitor> failures;
  std::unique_ptr<ShareController> controller;
  std::vector<Heartbeat> heartbeats;
  std::vector<CommandAnswer> answers;
  std::map<WorkerId, MonotonicTime> last_heard;
  std::optional<ShareDecisions> paused;
};

struct ShareWorld::WorkerModel {
  WorkerId id;
  std::unique_ptr<FakeWorker> worker;
  std::unique_ptr<AgentCore> agent;
  std::unique_ptr<AgentCore> former_agent;  ///< replaced, but alive
  Incarnation incarnation = 0;
};

ShareWorld::ShareWorld(Options options, std::uint64_t seed)
    : m_options(options), m_now(absl::Seconds(1000)), m_random(seed) {
  for (int i = 0; i < kEntries; ++i) {
    m_entries.push_back(std::make_unique<EntryModel>());
    m_entries.back()->id = EntryId("entry-" + std::to_string(i));
    MakeController(i);
  }
  for (int i = 0; i < kWorkers; ++i) {
    m_workers.push_back(std::make_unique<WorkerModel>());
    m_workers.back()->id = WorkerId("worker-" + std::to_string(i));
    m_workers.back()->worker = std::make_unique<FakeWorker>(m_workers.back()->id.value());
    m_workers.back()->agent = MakeAgent(i);
  }
  for (int i = 0; i < kJobs; ++i) {
    JobSpec spec;
    spec.name = "j";
    spec.team = TeamOfJob(i);
    spec.importance = 2 * i + 1;
    spec.job_class = "batch";
    spec.task_count = i == 0 ? kTasks : 1;
    spec.resources = {.cpu_millis = 100, .memory_mb = 100, .accelerators = 0, .slots = 1};
    AppendJobs("caller", &m_caller_sequence, {JobSubmitted{.job = IdOfJob(i), .spec = spec}});
  }
}

ShareWorld::~ShareWorld() = default;

void ShareWorld::MakeController(int entry) {
  EntryModel& model = *m_entries[static_cast<std::size_t>(entry)];
  model.incarnation = m_next_incarnation++;
  model.sequence = 0;
  model.heartbeats.clear();
  model.answers.clear();
  model.last_heard.clear();
  model.paused.reset();
  model.placer = std::make_unique<Placer>();
  model.failures = std::make_unique<FailureMonitor>(kQuarantine, kBackoff);
  model.controller = std::make_unique<ShareController>(
      ShareControllerOptions{
          .entry = model.id, .incarnation = model.incarnation, .worker_silent = kWorkerSilent, .outage_grace = kGrace},
      *model.placer, *model.failures);
}

std::unique_ptr<AgentCore> ShareWorld::MakeAgent(int worker) {
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  // The broken variant gives every run of an agent the same incarnation.
  model.incarnation =
      m_options.ignore_agent_incarnation ? static_cast<Incarnation>(1'000 + worker) : m_next_incarnation++;
  return std::make_unique<AgentCore>(AgentCoreOptions{.worker = model.id,
                                                      .rack = RackId("rack"),
                                                      .availability_zone = ZoneOfWorker(worker),
                                                      .region = "region",
                                                      .internal_address = "127.0.0.1:" + std::to_string(1 + worker),
                                                      .reserve = {},
                                                      .task_lease = absl::Seconds(10)},
                                     model.incarnation, m_now);
}

void ShareWorld::Trace(const std::string& line) {
  absl::StrAppend(&m_trace, absl::ToInt64Milliseconds(m_now - MonotonicTime()), " ", line, "\n");
}

int ShareWorld::IndexOf(const WorkerId& worker) const {
  for (int i = 0; i < kWorkers; ++i) {
    if (m_workers[static_cast<std::size_t>(i)]->id == worker) return i;
  }
  return -1;
}

void ShareWorld::AppendJobs(const std::string& writer, std::uint64_t* sequence,
                            const std::vector<JobsRecord>& records) {
  Batch batch{.writer = writer, .incarnation = 1, .sequence = ++*sequence, .seen = m_jobs_offset, .records = {}};
  for (const JobsRecord& record : records) batch.records.push_back(EncodeJobsRecord(record));
  const std::vector<FoldOutcome> outcomes = m_jobs.Apply(batch, ++m_jobs_offset);
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    Trace(absl::StrCat(writer, " ", batch.records[i].dump(), " ", std::string(kFoldOutcomeNames.NameOf(outcomes[i]))));
  }
}

void ShareWorld::AppendConfig(const std::vector<ConfigRecord>& records) {
  Batch batch{.writer = "w", .incarnation = 1, .sequence = ++m_config_sequence, .seen = m_config_offset, .records = {}};
  for (const ConfigRecord& record : records) batch.records.push_back(EncodeConfigRecord(record));
  m_config.Apply(batch, ++m_config_offset);
}

ShareDecisions ShareWorld::Decide(int entry) {
  EntryModel& model = *m_entries[static_cast<std::size_t>(entry)];
  const ShareInputs inputs{
      .jobs = m_jobs,
      .config = m_config,
      .log_is_fresh = true,
      // The owner always looks dead to the other entry, so that ownership changes at any moment.
      .owner_is_live = m_jobs.owner() == model.id && m_jobs.owner_incarnation() == model.incarnation,
      .owner_silence = absl::Seconds(60),
      .preferred_entry = model.id,
      .leaving = false,
      .wall_now = absl::UnixEpoch() + (m_now - MonotonicTime()),
      .heartbeats = std::exchange(model.heartbeats, {}),
      .answers = std::exchange(model.answers, {}),
      .zone_of = [this](const WorkerId& worker) { return ZoneOfWorker(IndexOf(worker)); },
      .silence_of = [this, &model](const WorkerId& worker) -> std::optional<absl::Duration> {
        const auto it = model.last_heard.find(worker);
        if (it == model.last_heard.end()) return std::nullopt;
        return m_now - it->second;
      },
  };
  ShareDecisions decisions = model.controller->Step(inputs, m_now, m_random);
  // What was just decided is not folded yet, so only a step without records can be compared.
  if (decisions.records.empty()) CheckUsage(*model.placer);
  return decisions;
}

void ShareWorld::CheckUsage(const Placer& placer) {
  std::map<TeamId, Resources> use;
  for (const TaskId& id : m_jobs.live()) {
    JobId job_id;
    std::size_t index = 0;
    if (!ParseTaskId(id, &job_id, &index)) continue;
    const JobSpec& spec = m_jobs.FindJob(job_id)->spec;
    use[spec.team] += spec.resources;
  }
  for (int i = 0; i < kTeams; ++i) {
    const TeamId team = TeamOfJob(i);
    if (placer.TeamUse(team) == use[team]) continue;
    m_usage_problem =
        absl::StrCat("team ", team.value(), " uses ", use[team].slots, " slots, counted ", placer.TeamUse(team).slots);
  }
}

void ShareWorld::CarryOut(int entry, const ShareDecisions& decisions) {
  EntryModel& model = *m_entries[static_cast<std::size_t>(entry)];
  for (const ConfigRecord& record : decisions.config_records) {
    Trace(EncodeConfigRecord(record).dump());
    AppendConfig({record});
  }
  if (!decisions.records.empty()) {
    AppendJobs(absl::StrCat(model.id.value(), "/", model.incarnation), &model.sequence, decisions.records);
  }
  for (const auto& start : decisions.starts) m_messages.push_back({entry, start.worker, start.message, {}, {}});
  for (const auto& stop : decisions.stops) m_messages.push_back({entry, stop.worker, {}, stop.message, {}});
  for (const auto& terms : decisions.terms) m_messages.push_back({entry, terms.worker, {}, {}, terms.message});
}

void ShareWorld::StepEntry(int entry) {
  if (m_entries[static_cast<std::size_t>(entry)]->paused) return;
  CarryOut(entry, Decide(entry));
}

void ShareWorld::WatchEntry(int entry) { Decide(entry); }

void ShareWorld::PauseEntry(int entry) {
  EntryModel& model = *m_entries[static_cast<std::size_t>(entry)];
  if (!model.paused) model.paused = Decide(entry);
}

void ShareWorld::ResumeEntry(int entry) {
  EntryModel& model = *m_entries[static_cast<std::size_t>(entry)];
  if (!model.paused) return;
  const ShareDecisions decisions = *std::exchange(model.paused, std::nullopt);
  CarryOut(entry, decisions);
}

void ShareWorld::RestartEntry(int entry) {
  Trace(absl::StrCat("restart entry ", entry));
  MakeController(entry);
}

void ShareWorld::DeliverMessage(std::size_t index, bool keep) {
  const Message message = m_messages[index];
  if (!keep) DropMessage(index);
  WorkerModel& model = *m_workers[static_cast<std::size_t>(IndexOf(message.worker))];
  if (message.start) {
    const AttemptAnswer answer = model.agent->Start(*message.start, m_now);
    Trace(absl::StrCat("start ", message.start->key.task.value(), " ", message.start->key.attempt, " at ",
                       model.id.value(), " ", std::string(kAnswerKindNames.NameOf(answer.kind)), " ",
                       std::string(kRefusalReasonNames.NameOf(answer.reason))));
    m_entries[static_cast<std::size_t>(message.entry)]->answers.push_back(
        {.key = message.start->key, .worker = message.worker, .answer = answer});
  }
  if (message.stop)
    Trace(absl::StrCat("stop ", message.stop->end.key.task.value(), " ", message.stop->end.key.attempt));
  if (message.stop) model.agent->Stop(message.stop->end, message.stop->with_checkpoint, m_now);
  if (message.terms) model.agent->RestoreTerms(message.terms->key, message.terms->terms);
}

void ShareWorld::DropMessage(std::size_t index) {
  m_messages.erase(m_messages.begin() + static_cast<std::ptrdiff_t>(index));
}

void ShareWorld::SendHeartbeat(int worker, int target, bool reply_arrives) {
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  Exchange(model, *model.agent, target, reply_arrives);
  model.agent->RenewIncarnationIfRevoked(m_next_incarnation++, m_now);
}

void ShareWorld::Exchange(WorkerModel& model, AgentCore& agent, int target, bool reply_arrives) {
  const Heartbeat heartbeat = agent.NextHeartbeat(m_now);
  const bool superseded = m_config.AgentsOf(model.id).IsFormer(heartbeat.incarnation);
  for (int i = 0; i < kEntries && !superseded; ++i) {
    if (target < 0 || i == target) Receive(*m_entries[static_cast<std::size_t>(i)], model, heartbeat);
  }
  TraceHeartbeat(model, heartbeat, target, reply_arrives);
  if (reply_arrives) agent.ApplyReply(heartbeat.incarnation, MakeReply(model, heartbeat), m_now, m_now);
}

void ShareWorld::Receive(EntryModel& entry, const WorkerModel& model, const Heartbeat& heartbeat) {
  if (m_config.AgentsOf(model.id).Current() != heartbeat.incarnation) {
    AppendConfig({AgentRegistered{.worker = model.id, .agent_incarnation = heartbeat.incarnation}});
  }
  entry.heartbeats.push_back(heartbeat);
  entry.last_heard[model.id] = m_now;
  const WorkerDirectory::Entry known{.last = heartbeat, .liveness = WorkerLiveness::kLive, .last_heard = m_now};
  WorkerView view = WorkerViewOf(known, m_config);
  entry.failures->RecordAvailable(model.id, !view.drained && !view.suspected);
  view.quarantined = !entry.failures->MayPlace(model.id, m_now);
  entry.placer->UpsertWorker(view);
}

void ShareWorld::TraceHeartbeat(const WorkerModel& model, const Heartbeat& heartbeat, int target, bool reply_arrives) {
  std::string listed;
  for (const RunningAttemptReport& running : heartbeat.running) {
    absl::StrAppend(&listed, " ", running.task.value(), "#", running.attempt);
  }
  for (const EndedAttemptReport& ended : heartbeat.ended) {
    absl::StrAppend(&listed, " ended:", ended.task.value(), "#", ended.attempt, ":",
                    std::string(kReportedAttemptOutcomeNames.NameOf(ended.outcome)));
  }
  Trace(absl::StrCat("heartbeat ", model.id.value(), " agent ", heartbeat.incarnation, " to ", target,
                     heartbeat.reconciled ? " reconciled" : "", listed, reply_arrives ? "" : " reply lost"));
}

HeartbeatReply ShareWorld::MakeReply(const WorkerModel& model, const Heartbeat& heartbeat) const {
  HeartbeatReply reply;
  reply.config_version = m_config.offset() + 1;
  reply.offset = m_config.offset();
  reply.proof_age = absl::ZeroDuration();
  const bool open = m_config.ZoneState(heartbeat.availability_zone) == AvailabilityState::kOpen;
  reply.availability_zone_admission = open ? AvailabilityZoneAdmission::kOpen : AvailabilityZoneAdmission::kDraining;
  const AgentHistory& agents = m_config.AgentsOf(model.id);
  reply.is_registered = agents.Current() == heartbeat.incarnation;
  if (!m_options.hide_revocations && m_config.RevokedAt(model.id) > heartbeat.cleared) {
    reply.worker_admission = WorkerAdmission::kRevoked;
  }
  if (agents.IsFormer(heartbeat.incarnation)) reply.worker_admission = WorkerAdmission::kSuperseded;
  for (const EndedAttemptReport& ended : heartbeat.ended) {
    if (m_jobs.IsEndRecorded(ended.task, ended.attempt))
      reply.acknowledged.push_back({.task = ended.task, .attempt = ended.attempt});
  }
  return reply;
}

void ShareWorld::WakeFormerAgent(int worker) {
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  if (!model.former_agent) return;
  Trace(absl::StrCat("former agent of ", model.id.value(), " wakes"));
  Execute(model, *model.former_agent, false);
  Exchange(model, *model.former_agent, -1, true);
  model.former_agent->Reconcile(model.worker->Report(), m_now, m_now);
  Execute(model, *model.former_agent, false);
}

void ShareWorld::ReadReport(int worker) {
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  model.agent->Reconcile(model.worker->Report(), m_now, m_now);
}

void ShareWorld::RunCommands(int worker, bool lose_answers) {
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  Execute(model, *model.agent, lose_answers);
}

void ShareWorld::Execute(WorkerModel& model, AgentCore& agent, bool lose_answers) {
  const Incarnation incarnation = agent.incarnation();
  for (const WorkerCommand& command : agent.TakeCommands(m_now)) {
    const bool known = model.worker->Execute(command, m_now);
    Trace(absl::StrCat(model.id.value(), " ", std::string(kWorkerCommandKindNames.NameOf(command.kind)), " ",
                       command.key.task.value(), " ", command.key.attempt, known ? "" : " unknown",
                       lose_answers ? " answer lost" : ""));
    Result<void> result;
    if (lose_answers) {
      result = MayHaveRun(FailureCode::kUnavailable, "answer lost");
    } else if (!known) {
      result = NotRun(FailureCode::kNotFound, "unknown attempt");
    }
    agent.HandleResult(incarnation, command, result, m_now);
  }
}

void ShareWorld::FinishTask(int worker, std::size_t index, bool success) {
  FakeWorker& fake = *m_workers[static_cast<std::size_t>(worker)]->worker;
  const std::vector<AttemptKey> running = fake.Running();
  if (running.empty()) return;
  fake.Finish(running[index % running.size()], success ? WorkerTaskState::kSucceeded : WorkerTaskState::kFailed);
}

void ShareWorld::FailAllTasks(int worker) {
  FakeWorker& fake = *m_workers[static_cast<std::size_t>(worker)]->worker;
  for (const AttemptKey& key : fake.Running()) fake.Finish(key, WorkerTaskState::kFailed);
}

bool ShareWorld::IsQuarantined(int entry, int worker) const {
  return !m_entries[static_cast<std::size_t>(entry)]->failures->MayPlace(
      m_workers[static_cast<std::size_t>(worker)]->id, m_now);
}

void ShareWorld::RestartAgent(int worker) {
  Trace(absl::StrCat("restart agent ", worker));
  WorkerModel& model = *m_workers[static_cast<std::size_t>(worker)];
  model.former_agent = std::move(model.agent);
  model.agent = MakeAgent(worker);
}

void ShareWorld::RebootWorker(int worker) {
  Trace(absl::StrCat("reboot worker ", worker));
  m_workers[static_cast<std::size_t>(worker)]->worker->Reboot();
}

void ShareWorld::SetZone(int worker, AvailabilityState state) {
  const PlanId plan("plan-" + std::to_string(m_config_sequence));
  AppendConfig({PlanProposed{.plan = plan,
                             .operator_name = "o",
                             .based_on = m_config.version(),
                             .commands = nlohmann::json::array({SetZoneState(ZoneOfWorker(worker), state).ToJson()})}});
  AppendConfig({PlanConfirmed{.plan = plan, .operator_name = "o"}});
}

void ShareWorld::Cancel() { AppendJobs("caller", &m_caller_sequence, {JobCancelled{.job = IdOfJob(0)}}); }

void ShareWorld::Advance(absl::Duration duration) {
  m_now = m_now + duration;
  for (const std::unique_ptr<WorkerModel>& model : m_workers) model->worker->ExpireLeases(m_now);
}

int ShareWorld::starts() const {
  int starts = 0;
  for (const std::unique_ptr<WorkerModel>& model : m_workers) starts += model->worker->starts();
  return starts;
}

std::string ShareWorld::Problem() const {
  if (!m_usage_problem.empty()) return m_usage_problem;
  std::map<TaskId, std::string> running;
  for (const std::unique_ptr<WorkerModel>& model : m_workers) {
    if (model->worker->repeated_starts() > 0) return "an attempt was started twice on " + model->id.value();
    for (const AttemptKey& key : model->worker->Running()) {
      const std::string place = absl::StrCat(model->id.value(), " attempt ", key.attempt);
      const auto [it, inserted] = running.emplace(key.task, place);
      if (!inserted) return absl::StrCat(key.task.value(), " runs on ", it->second, " and on ", place);
    }
  }
  return "";
}

}  // namespace berylgauge
