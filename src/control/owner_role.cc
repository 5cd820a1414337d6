#include "control/owner_role.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/event_log.h"
#include "workflow/record_keys.h"

namespace berylgauge::control {

using workflow::Batch;
using workflow::PoolWorker;
using workflow::StartOrder;
using workflow::StopOrder;

namespace {

/// Pause before starts that may not be sent yet are looked at again.
constexpr absl::Duration kHeldStartsPause = absl::Milliseconds(50);

/// Size of the starts in a message beyond which the others go into the next one; a quarter of what a message may have.
constexpr std::size_t kMaxStartsBytes = std::size_t{1} << 20;
/// Of a start in a message beside its texts, rounded up.
constexpr std::size_t kStartBytes = 64;

std::size_t SizeOf(const StartOrder& start) {
  return kStartBytes + start.task.size() + start.checkpoint.size() + start.image.size() + start.ticket.size();
}

/// A message that is being put together.
struct StartsDraft {
  OrdersRequest request;
  std::size_t bytes = 0;
};

/// Whether the agent has decided the start. That another owner's call stood in its way says nothing of the run, as long
/// as this process is not deposed.
bool IsDecided(const OrdersAnswer& answer, const StartOrder& start) {
  return std::any_of(answer.starts.begin(), answer.starts.end(), [&](const OrdersAnswer::Started& one) {
    return one.task == start.task && one.run == start.run && one.answer.refusal != workflow::StartRefusal::kStaleOwner;
  });
}

bool IsDecided(const OrdersAnswer& answer, const StopOrder& stop) {
  return std::any_of(answer.stops.begin(), answer.stops.end(),
                     [&](const OrdersAnswer::Stopped& one) { return one.task == stop.task && one.run == stop.run; });
}

/// The orders of `request` that the answer leaves undecided.
OrdersRequest UndecidedBy(const OrdersAnswer& answer, const OrdersRequest& request) {
  OrdersRequest undecided{.life = request.life, .jobs = {}, .stops = {}};
  for (const JobStarts& job : request.jobs) {
    JobStarts starts{.payload = job.payload, .starts = {}};
    std::copy_if(job.starts.begin(), job.starts.end(), std::back_inserter(starts.starts),
                 [&](const StartOrder& start) { return !IsDecided(answer, start); });
    if (!starts.starts.empty()) undecided.jobs.push_back(std::move(starts));
  }
  std::copy_if(request.stops.begin(), request.stops.end(), std::back_inserter(undecided.stops),
               [&](const StopOrder& stop) { return !IsDecided(answer, stop); });
  return undecided;
}

}  // namespace

OwnerRole::OwnerRole(EventLoop& loop, const Clock& clock, std::unique_ptr<LogWriter> writer,
                     const workflow::JobIndex& index, OwnerRoleOptions options, Listener listener)
    : m_loop(loop),
      m_clock(clock),
      m_options(std::move(options)),
      m_listener(std::move(listener)),
      m_index(index),
      m_writer(std::move(writer)),
      m_fencing_tokens(m_options.record.epoch),
      m_claimed_at(loop.Now()),
      m_is_sole_recorded(m_options.record.is_sole),
      m_signed_at(loop.Now()),
      m_alive(std::make_shared<bool>(true)) {}

OwnerRole::~OwnerRole() {
  *m_alive = false;
  m_loop.CancelTimer(m_timer);
}

void OwnerRole::Begin() {
  const MonotonicTime now = m_loop.Now();
  m_scheduler = std::make_unique<workflow::Scheduler>(m_options.scheduler, now);
  m_scheduler->SetLimits(m_limits);
  m_index.ForEachJob(
      [&](const std::string& id, const workflow::JobIndex::Job& job) { m_scheduler->AddJob(id, job, now, UnixNow()); });
  LogEvent(LogLevel::kInfo, "owner_begins",
           {{"epoch", m_options.record.epoch},
            {"jobs", m_index.size()},
            {"placed", m_scheduler->PlacedTasks()},
            {"waiting", m_scheduler->WaitingTasks()}});
  Kick();
}

// ---- Events

void OwnerRole::OnSubmission(const std::string& job) {
  const workflow::JobIndex::Job* recorded = m_index.Find(job);
  if (m_scheduler == nullptr || recorded == nullptr) return;
  m_scheduler->AddJob(job, *recorded, m_loop.Now(), UnixNow());
  Kick();
}

void OwnerRole::OnCancellation(const std::string& job) {
  if (m_scheduler == nullptr) return;
  m_scheduler->CancelJob(job, m_loop.Now());
  const workflow::JobIndex::Job* recorded = m_index.Find(job);
  if (recorded != nullptr && recorded->definition.empty()) {
    m_scheduler->AddJob(job, *recorded, m_loop.Now(), UnixNow());
  }
  Kick();
}

void OwnerRole::OnSubmissionRemoved(const std::string& job) {
  if (m_scheduler == nullptr) return;
  m_scheduler->OnSubmissionRemoved(job);
  Kick();
}

void OwnerRole::OnSubmissionNotRemoved(const std::string& job) {
  if (m_scheduler != nullptr) m_scheduler->OnSubmissionNotRemoved(job, m_loop.Now());
}

void OwnerRole::SetLimits(workflow::PlacementLimits limits) {
  m_limits = std::move(limits);
  if (m_scheduler == nullptr) return;
  m_scheduler->SetLimits(m_limits);
  Kick();
}

void OwnerRole::HandOver(std::function<void()> done) {
  m_handed_over = std::move(done);
  m_handing_over = true;
  Kick();
}

void OwnerRole::SetMember(const std::string& host, const MemberRecord& member) {
  if (m_scheduler == nullptr || member.kind != MemberKind::kAgent) return;
  std::unique_ptr<AgentLink>& link = m_links[host];
  const bool is_linked =
      link != nullptr && link->options().address == member.address && link->options().port == member.port;
  if (is_linked) return;
  std::vector<OrdersRequest> unanswered;
  if (link != nullptr) {
    unanswered = link->TakeUnanswered();
    LogEvent(LogLevel::kInfo, "agent_moved",
             {{"host", host},
              {"former_address", link->options().address},
              {"former_port", link->options().port},
              {"address", member.address},
              {"port", member.port},
              {"unanswered", unanswered.size()}});
  }
  link = std::make_unique<AgentLink>(m_loop,
                                     AgentLinkOptions{.host = host, .address = member.address, .port = member.port},
                                     m_options.record.epoch, MakeLinkListener());
  link->Start();
  for (const OrdersRequest& request : unanswered) {
    OnOrdersFailure(host, request,
                    {.code = FailureCode::kUnavailable,
                     .verdict = Verdict::kMayHaveRun,
                     .message = "the agent has another address before it answered",
                     .field = {}});
  }
}

AgentLink::Listener OwnerRole::MakeLinkListener() {
  AgentLink::Listener listener;
  listener.on_prepare = [this](const std::string& host, bool with_traits, WatchRequest& request) {
    request.fence = m_fencing_tokens.GrantFor(host);
    const PoolWorker* worker = m_scheduler->FindWorker(host);
    if (worker == nullptr) return;
    request.life = worker->life;
    request.acknowledged = worker->ends_durable;
    request.notable = m_scheduler->NotableEnds(*worker, m_loop.Now());
    if (IsValid(m_loop.Now())) request.lease_end_ms = m_scheduler->LeaseEndFor(*worker);
    request.interference = m_scheduler->TakeInterferenceFor(host, m_loop.Now());
    if (!with_traits) return;
    for (const auto& [task, held] : worker->runs) {
      const workflow::StepDefinition& step = *task.step->definition;
      request.traits.push_back({.task = task.step->TaskNameOf(task.index),
                                .fills_idle_cpu = step.fills_idle_cpu,
                                .tail_target_ms = step.tail_target_ms,
                                .image = step.image,
                                .demand_cpu = step.demand.cpu_millis});
    }
  };
  listener.on_report = [this](const std::string& host, const workflow::WorkerReport& report) {
    m_fencing_tokens.OnAnnounced(host, report.announced);
    m_scheduler->OnReport(host, report, m_loop.Now());
    Kick();
  };
  listener.on_orders_answer = [this](const std::string& host, const OrdersRequest& request,
                                     const OrdersAnswer& answer) { OnOrdersAnswer(host, request, answer); };
  listener.on_orders_failure = [this](const std::string& host, const OrdersRequest& request, const Failure& failure) {
    OnOrdersFailure(host, request, failure);
  };
  // An append shows whether there is a newer owner in truth.
  listener.on_stale = [this] {
    m_signed_at = InfinitePast();
    Kick();
  };
  return listener;
}

// ---- The cycle

void OwnerRole::Kick() {
  if (m_run_deferred) return;
  m_run_deferred = true;
  m_loop.Defer([this, alive = m_alive] {
    if (!*alive) return;
    m_run_deferred = false;
    Run();
  });
}

void OwnerRole::Run() {
  if (m_deposed) return;
  const MonotonicTime now = m_loop.Now();
  if (m_scheduler != nullptr && !m_handing_over) {
    m_scheduler->Advance(now, UnixNow());
    SendStarts(m_scheduler->TakeRepeatedStarts());
    SendStops(m_scheduler->TakeStops());
    const std::vector<std::string> retired = m_scheduler->TakeRetiredJobs();
    if (!retired.empty()) m_listener.on_retired(retired);
  }
  if (!m_writer->is_busy()) {
    const Batch* batch = m_scheduler != nullptr ? m_scheduler->TakeBatch(now) : nullptr;
    if (batch != nullptr) {
      std::vector<KeyedRecord> records;
      for (const auto& [key, value] : batch->records) records.push_back({.key = key, .value = value});
      const workflow::OwnerRecord record = RecordAsOf(now);
      if (record.is_sole && !m_is_sole_recorded) {
        records.push_back({.key = std::string(workflow::kOwnerKey), .value = EncodeOwner(record)});
        m_is_sole_recorded = true;
      }
      Write(std::move(records), WriteKind::kBatch);
    } else if (m_handing_over) {
      workflow::OwnerRecord record = RecordAsOf(now);
      record.holder.clear();
      Write({{.key = std::string(workflow::kOwnerKey), .value = EncodeOwner(record)}}, WriteKind::kHandOver);
    } else if (now - m_signed_at >= m_options.sign_interval) {
      Write({{.key = std::string(workflow::kOwnerKey), .value = EncodeOwner(RecordAsOf(now))}}, WriteKind::kSignOfLife);
    }
  }
  const MonotonicTime next = m_scheduler != nullptr ? m_scheduler->NextDeadline(now) : InfiniteFuture();
  ScheduleRun(std::min(next, now + m_options.sign_interval));
}

void OwnerRole::ScheduleRun(MonotonicTime at) {
  m_loop.CancelTimer(m_timer);
  m_timer = m_loop.AddTimer(at, [this] { Run(); });
}

void OwnerRole::Write(std::vector<KeyedRecord> records, WriteKind kind) {
  m_signed_at = m_loop.Now();
  m_writer->Write(std::move(records), std::nullopt, std::nullopt,
                  [this, kind](const AppendAnswer& answer) { OnWritten(answer, kind); });
}

void OwnerRole::OnWritten(const AppendAnswer& answer, WriteKind kind) {
  if (answer.outcome != AppendOutcome::kStored) {
    LogEvent(LogLevel::kWarning, "owner_deposed",
             {{"epoch", m_options.record.epoch},
              {"outcome", kAppendOutcomeNames.NameOf(answer.outcome)},
              {"reason", answer.detail}});
    m_deposed = true;
    m_listener.on_deposed();
    return;
  }
  m_listener.on_stored(m_writer->records(), answer.end);
  if (kind == WriteKind::kHandOver) {
    // A further record would look like a sign of life to the entry that is about to claim.
    m_deposed = true;
    std::exchange(m_handed_over, nullptr)();
    return;
  }
  if (kind == WriteKind::kBatch) {
    Batch batch = m_scheduler->OnBatchDurable(m_loop.Now());
    SendStarts(std::move(batch.starts));
  }
  Kick();
}

workflow::OwnerRecord OwnerRole::RecordAsOf(MonotonicTime now) const {
  workflow::OwnerRecord record = m_options.record;
  record.is_sole = record.is_sole || now - m_claimed_at > m_options.scheduler.former_owner_grants;
  return record;
}

bool OwnerRole::IsValid(MonotonicTime now) const {
  return !m_deposed && !m_handing_over && now - m_writer->proven_at() <= m_options.validity;
}

bool OwnerRole::HasOldSubmissions(MonotonicTime now) const {
  return now - m_options.submissions_known_until() > m_options.submissions_age;
}

// ---- Orders

void OwnerRole::SendStarts(std::vector<StartOrder> starts) {
  if (m_handing_over) {
    // Nothing was sent; the next owner finds that they are not there.
    LogEvent(LogLevel::kInfo, "starts_left", {{"epoch", m_options.record.epoch}, {"starts", starts.size()}});
    return;
  }
  absl::flat_hash_map<std::string, StartsDraft> by_agent;
  for (StartOrder& start : starts) {
    const workflow::JobDefinition* job = m_scheduler->FindJob(start.job);
    if (job == nullptr) continue;
    StartsDraft& draft = by_agent[start.agent];
    if (draft.bytes >= kMaxStartsBytes) SendTo(start.agent, std::exchange(draft, {}).request);
    OrdersRequest& request = draft.request;
    request.life = start.life;
    draft.bytes += SizeOf(start);
    const auto same_job = std::find_if(request.jobs.begin(), request.jobs.end(),
                                       [&](const JobStarts& other) { return other.starts.front().job == start.job; });
    if (same_job != request.jobs.end()) {
      same_job->starts.push_back(std::move(start));
    } else {
      draft.bytes += job->payload.size();
      request.jobs.push_back({.payload = job->payload, .starts = {std::move(start)}});
    }
  }
  for (auto& [agent, draft] : by_agent) SendTo(agent, std::move(draft.request));
}

void OwnerRole::SendStops(std::vector<StopOrder> stops) {
  absl::flat_hash_map<std::string, OrdersRequest> by_agent;
  for (StopOrder& stop : stops) {
    const PoolWorker* worker = m_scheduler->FindWorker(stop.agent);
    if (worker == nullptr || worker->life != stop.life) {
      // The first lists of the present life decide its runs, and order this stop again if it is needed.
      LogEvent(LogLevel::kInfo, "stop_for_former_life",
               {{"task", stop.task}, {"run", stop.run}, {"worker", stop.life.worker}, {"born", stop.life.born}});
      continue;
    }
    OrdersRequest& request = by_agent[stop.agent];
    request.life = stop.life;
    request.stops.push_back(std::move(stop));
  }
  for (auto& [agent, request] : by_agent) SendTo(agent, std::move(request));
}

void OwnerRole::SendTo(const std::string& agent, OrdersRequest request) {
  const auto link = m_links.find(agent);
  const PoolWorker* worker = m_scheduler->FindWorker(agent);
  if (link == m_links.end() || worker == nullptr || worker->life != request.life) {
    // Whatever an earlier message did is shown by the lists of the present life.
    OnOrdersFailure(agent, request,
                    {.code = FailureCode::kExpired, .message = "the agent's worker has another life", .field = {}});
    return;
  }
  if (!IsValid(m_loop.Now()) && !request.jobs.empty()) {
    // Without a recent append this process may have a successor that waits for its last orders to end.
    OnOrdersFailure(agent, request,
                    {.code = FailureCode::kUnavailable, .message = "ownership is not proven", .field = {}});
    return;
  }
  if (!request.jobs.empty() && HasOldSubmissions(m_loop.Now())) {
    HoldStarts(agent, std::move(request));
    return;
  }
  if (!request.jobs.empty() && m_holding_starts) {
    m_holding_starts = false;
    LogEvent(LogLevel::kInfo, "starts_resumed", {{"epoch", m_options.record.epoch}, {"host", agent}});
  }
  request.lease_end_ms = request.jobs.empty() ? 0 : m_scheduler->LeaseEndFor(*worker);
  for (const JobStarts& job : request.jobs) {
    for (const StartOrder& start : job.starts) m_scheduler->OnStartSent(start, m_loop.Now());
  }
  link->second->SendOrders(std::move(request));
}

void OwnerRole::HoldStarts(const std::string& agent, OrdersRequest request) {
  if (!m_holding_starts) {
    m_holding_starts = true;
    LogEvent(LogLevel::kWarning, "starts_held",
             {{"epoch", m_options.record.epoch},
              {"host", agent},
              {"submissions_age_ms", absl::ToInt64Milliseconds(m_loop.Now() - m_options.submissions_known_until())}});
  }
  SendLater(agent, std::move(request), kHeldStartsPause);
}

void OwnerRole::SendLater(const std::string& agent, OrdersRequest request, absl::Duration pause) {
  m_loop.AddTimer(m_loop.Now() + pause, [this, agent, request = std::move(request), alive = m_alive] {
    if (*alive) SendWanted(agent, request);
  });
}

void OwnerRole::SendWanted(const std::string& agent, const OrdersRequest& request) {
  OrdersRequest wanted{.life = request.life, .jobs = {}, .stops = {}};
  for (const JobStarts& job : request.jobs) {
    JobStarts starts{.payload = job.payload, .starts = {}};
    for (const StartOrder& start : job.starts) {
      if (!m_scheduler->IsStarting(start)) continue;
      if (!start.was_sent && !m_scheduler->MaySend(start)) {
        m_scheduler->OnStartAnswer(start.task, start.run, request.life, {.refusal = workflow::StartRefusal::kLate},
                                   m_loop.Now());
        continue;
      }
      starts.starts.push_back(start);
    }
    if (!starts.starts.empty()) wanted.jobs.push_back(std::move(starts));
  }
  std::copy_if(request.stops.begin(), request.stops.end(), std::back_inserter(wanted.stops),
               [&](const StopOrder& stop) { return m_scheduler->IsStopping(stop); });
  Kick();
  if (!wanted.jobs.empty() || !wanted.stops.empty()) SendTo(agent, std::move(wanted));
}

void OwnerRole::OnOrdersAnswer(const std::string& agent, const OrdersRequest& request, const OrdersAnswer& answer) {
  const MonotonicTime now = m_loop.Now();
  if (!answer.is_worker_known) {
    // Proves only that this message had no effect; an earlier one may have reached the agent's former process.
    m_scheduler->OnWorkerUnknown(request.life);
    OnOrdersFailure(agent, request,
                    {.code = FailureCode::kUnavailable,
                     .verdict = Verdict::kNotRun,
                     .message = "the agent does not know its worker yet",
                     .field = {}});
    return;
  }
  for (const OrdersAnswer::Started& start : answer.starts) {
    m_scheduler->OnStartAnswer(start.task, start.run, request.life, start.answer, now);
  }
  for (const OrdersAnswer::Stopped& stop : answer.stops) {
    m_scheduler->OnStopAnswer(stop.task, stop.run, request.life, stop.end_listed, now);
  }
  Kick();
  const OrdersRequest undecided = UndecidedBy(answer, request);
  if (undecided.jobs.empty() && undecided.stops.empty()) return;
  OnOrdersFailure(agent, undecided,
                  {.code = FailureCode::kCorrupt,
                   .verdict = Verdict::kMayHaveRun,
                   .message = "the answer leaves orders undecided",
                   .field = {}});
}

void OwnerRole::OnOrdersFailure(const std::string& agent, const OrdersRequest& request, const Failure& failure) {
  LogEvent(LogLevel::kWarning, "orders_failed",
           {{"host", agent},
            {"worker", request.life.worker},
            {"jobs", request.jobs.size()},
            {"stops", request.stops.size()},
            {"verdict", kVerdictNames.NameOf(failure.verdict)},
            {"reason", failure.message}});
  OrdersRequest again{.life = request.life, .jobs = {}, .stops = {}};
  for (const JobStarts& job : request.jobs) {
    JobStarts repeated{.payload = job.payload, .starts = {}};
    for (const StartOrder& start : job.starts) {
      if (failure.verdict == Verdict::kNotRun && !start.was_sent) {
        m_scheduler->OnStartAnswer(start.task, start.run, request.life, {.refusal = workflow::StartRefusal::kLate},
                                   m_loop.Now());
      } else if (m_scheduler->IsStarting(start)) {
        repeated.starts.push_back(start);
        repeated.starts.back().was_sent = true;
      }
    }
    if (!repeated.starts.empty()) again.jobs.push_back(std::move(repeated));
  }
  for (const StopOrder& stop : request.stops) {
    if (m_scheduler->IsStopping(stop)) again.stops.push_back(stop);
  }
  Kick();
  if (again.jobs.empty() && again.stops.empty()) return;
  SendLater(agent, std::move(again), AgentLinkOptions{}.retry_pause);
}

std::int64_t OwnerRole::UnixNow() const { return absl::ToUnixMillis(m_clock.WallNow()); }

}  // namespace berylgauge::control
