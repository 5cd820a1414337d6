#include "control/agent_node.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace berylgauge::control {

using workflow::ActiveRun;
using workflow::LateCall;
using workflow::RunEnd;
using workflow::RunEndKind;
using workflow::StartAnswer;
using workflow::StartRefusal;
using workflow::WorkerCondition;
using workflow::WorkerLife;

namespace {

/// Lives of the worker of which ends are kept.
constexpr std::size_t kMaxPastLives = 4;

/// Traits of tasks that are not listed are kept for this time, in which a start is answered and a list follows.
constexpr absl::Duration kUnlistedTraitsKept = absl::Seconds(5);
/// Fewer of them are kept for longer, which saves the search for them.
constexpr std::size_t kSpareTraits = 64;

LateCall LateCallOf(const StartCall& call, MonotonicTime sent_at) {
  return {.task = call.task, .run = call.run, .agent = {}, .worker = call.life.worker, .sent_at = sent_at};
}

}  // namespace

/// The answers of one message of orders.
struct AgentNode::OrderBatch {
  OrdersAnswer answer;
  std::size_t pending = 0;
  OrdersReply reply;
};

struct AgentNode::StartAttempt {
  std::vector<std::shared_ptr<OrderBatch>> batches;  ///< more than one if the owner repeated the order meanwhile
  StartCall call;
  std::int64_t epoch = 0;
  MonotonicTime begun;
  bool is_unanswered = false;  ///< a call had no answer, or a former process may have made one
  bool abandoned = false;      ///< a stop was ordered, so no further call is made

  RunKey key() const { return {call.task, call.run}; }
};

struct AgentNode::StopAttempt {
  std::shared_ptr<OrderBatch> batch;
  StopCall call;
  std::int64_t epoch = 0;
};

AgentNode::AgentNode(EventLoop& loop, WorkerPort& worker, MetricsRegistry& metrics, const AgentNodeOptions& options)
    : m_loop(loop),
      m_worker(worker),
      m_options(options),
      m_begun_at(loop.Now()),
      m_alive(std::make_shared<bool>(true)),
      m_starts(metrics.GetCounter("berylgauge_agent_starts_total", "Starts that the worker accepted")),
      m_refused_starts(metrics.GetCounter("berylgauge_agent_refused_starts_total", "Starts that were refused")),
      m_ends(metrics.GetCounter("berylgauge_agent_ends_total", "Ends that the worker listed")),
      m_hold_failures(metrics.GetCounter("berylgauge_agent_hold_failures_total", "Lists that the worker did not give")),
      m_cut_lists(
          metrics.GetCounter("berylgauge_agent_cut_lists_total", "Lists that may not hold all ends of the worker")),
      m_pace_changes(metrics.GetCounter("berylgauge_agent_pace_changes_total", "Changes of the pace of a run")) {}

AgentNode::~AgentNode() {
  *m_alive = false;
  m_loop.CancelTimer(m_hold_timer);
  m_loop.CancelTimer(m_watch_timer);
  m_loop.CancelTimer(m_gone_timer);
}

// ---- The worker

void AgentNode::OnAnnouncement(const WorkerAnnouncement& announcement) {
  if (m_announcement) {
    const WorkerAnnouncement& present = *m_announcement;
    // A delayed message, unless the present life is over: then the time of day may have been set back before the
    // worker was started again, and its lists tell whether it is in that life.
    if (announcement.life.born < present.life.born && m_condition != WorkerCondition::kGone) return;
    if (announcement.life == present.life && announcement.sequence <= present.sequence) return;
  }
  if (!m_announcement || announcement.life != m_announcement->life) BeginLife(announcement);
  m_announcement = announcement;
  const bool was_leaving = std::exchange(m_is_leaving, false);
  m_refused_calls = 0;
  SetCondition(announcement.draining ? WorkerCondition::kDraining : WorkerCondition::kReady, "announcement");
  if (was_leaving) ScheduleHold(absl::ZeroDuration());
}

void AgentNode::BeginLife(const WorkerAnnouncement& announcement) {
  LogEvent(LogLevel::kInfo, "worker_life",
           {{"worker", announcement.life.worker}, {"born", announcement.life.born}, {"zone", announcement.zone}});
  KeepUnacknowledgedEnds();
  m_lists.reset();
  m_fencing_token = 0;
  m_is_confirmed = false;
  m_lease_end_ms = 0;
  m_acknowledged = 0;
  m_notable = 0;
  m_last_end = 0;
  m_refused_calls = 0;
  m_pending_starts.clear();
  m_pace = workflow::PaceController();
  m_condition = WorkerCondition::kGone;
  ++m_lives;
  m_holds_under_way = 0;
  m_hold_sent = false;  // a call to the former life may be without an answer for long
  ++m_hold_number;
}

void AgentNode::OnLeave(const WorkerLife& life) {
  if (!m_announcement || m_announcement->life.worker != life.worker) return;
  // A message that does not say when its life began may be a delayed one of a former life. A worker announces that it
  // drains before it leaves, so such a message counts if the present life has done so.
  const bool is_present = life.born == 0 ? m_announcement->draining : m_announcement->life.born == life.born;
  if (!is_present || m_condition == WorkerCondition::kGone) return;
  // Answers on other connections may arrive after this message and list what ended just before it.
  m_is_leaving = true;
  SetCondition(WorkerCondition::kDraining, "leave");
  EndLeave();
}

void AgentNode::EndLeave() {
  if (!m_is_leaving || m_holds_under_way > 0) return;
  // A worker that has left does not come back under its id, so nothing takes the calls for it.
  m_late_calls.RemoveOtherWorkers({}, {});
  SetCondition(WorkerCondition::kGone, "leave");
}

void AgentNode::SetCondition(WorkerCondition condition, const char* reason) {
  if (m_condition == condition) return;
  LogEvent(LogLevel::kInfo, "worker_condition",
           {{"worker", m_announcement ? m_announcement->life.worker : ""},
            {"from", workflow::kWorkerConditionNames.NameOf(m_condition)},
            {"to", workflow::kWorkerConditionNames.NameOf(condition)},
            {"reason", reason}});
  const bool returns = m_condition == WorkerCondition::kGone;
  m_condition = condition;
  NoteChange();
  if (returns) ScheduleHold(absl::ZeroDuration());
  m_gone_refused_at.reset();
  m_loop.CancelTimer(m_gone_timer);
  if (condition == WorkerCondition::kGone) CallGoneWorker();
}

void AgentNode::NoteChange() {
  ++m_version;
  if (!m_watch || m_flush_deferred) return;
  m_flush_deferred = true;
  m_loop.Defer([this, alive = m_alive] {
    if (!*alive) return;
    m_flush_deferred = false;
    FlushWatch();
  });
}

// ---- Lists and lease

void AgentNode::ScheduleHold(absl::Duration delay) {
  if (m_hold_sent) return;
  const MonotonicTime at = m_loop.Now() + delay;
  if (m_hold_timer.valid()) {
    if (m_hold_at <= at) return;
    m_loop.CancelTimer(m_hold_timer);
  }
  m_hold_at = at;
  m_hold_timer = m_loop.AddTimer(at, [this] {
    m_hold_timer = {};
    SendHold(true);
  });
}

HoldCall AgentNode::MakeHoldCall() const {
  HoldCall call{.life = m_announcement->life, .fencing_token = m_fencing_token, .lease_end_ms = {}};
  // Until the life has answered, it may be another one than the one that the numbers are about. An acknowledgement is
  // not repeated once it has had its effect, because the call may be carried out by the next life.
  if (!m_is_confirmed) return call;
  const std::int64_t notable = NotableEnds();
  const bool has_effect = m_lists && std::any_of(m_lists->ends.begin(), m_lists->ends.end(),
                                                 [&](const RunEnd& end) { return end.number <= notable; });
  if (has_effect) call.acknowledged = notable;
  if (m_lease_end_ms > 0) call.lease_end_ms = m_lease_end_ms;
  return call;
}

void AgentNode::SendHold(bool is_regular) {
  if (!m_announcement || m_condition == WorkerCondition::kGone || m_is_leaving || m_fencing_token == 0) return;
  HoldCall call = MakeHoldCall();
  if (is_regular) {
    m_hold_sent = true;
    ++m_hold_number;
    if (!HasEndsToNote() && m_is_confirmed && m_lists) {
      call.wait = IsPacing() ? m_options.paced_hold_wait : m_options.hold_wait;
    }
  }
  CallHold(call, [this, call, sent_at = m_loop.Now(), number = is_regular ? m_hold_number : 0](
                     Result<HoldAnswer> answer) { OnHold(std::move(answer), call, sent_at, number); });
}

void AgentNode::CallHold(const HoldCall& call, absl::AnyInvocable<void(Result<HoldAnswer>)> callback) {
  ++m_holds_under_way;
  m_worker.Hold(
      call, call.wait + m_options.call_timeout,
      [this, lives = m_lives, callback = std::move(callback), alive = m_alive](Result<HoldAnswer> answer) mutable {
        if (!*alive) return;
        if (lives == m_lives) --m_holds_under_way;
        callback(std::move(answer));
        EndLeave();
      });
}

void AgentNode::OnHold(Result<HoldAnswer> answer, const HoldCall& call, MonotonicTime sent_at, std::uint64_t number) {
  const WorkerLife& life = call.life;
  const bool is_regular = number != 0;
  if (is_regular && number == m_hold_number) m_hold_sent = false;
  if (!IsPresent(life)) {
    if (answer && answer->born == life.born) KeepPastLists(std::move(*answer), life);
    return;
  }
  if (!answer) {
    OnHoldFailure(answer.error());
    return;
  }
  m_refused_calls = 0;
  if (answer->born != life.born) {
    OnOtherLife(*answer);
    return;
  }
  TakeLists(std::move(*answer));
  if (call.fencing_token == m_fencing_token && m_fence_epoch == m_epoch) ConfirmLife();
  if (m_is_confirmed && m_lists->has_all_ends) ForgetLateCalls(sent_at);
  if (is_regular) ScheduleHold(HasEndsToNote() ? m_options.pending_pause : absl::ZeroDuration());
}

void AgentNode::ForgetLateCalls(MonotonicTime answered_call_sent_at) {
  const MonotonicTime too_late = answered_call_sent_at - m_options.late_call_limit;
  m_late_calls.RemoveSentUntil(too_late);
  m_late_calls.RemoveOtherWorkers({}, m_announcement->life.worker);
  m_knows_former_calls = m_knows_former_calls || m_begun_at <= too_late;
}

void AgentNode::CallGoneWorker() {
  const bool is_needed = !m_late_calls.empty() || !m_knows_former_calls;
  if (m_condition != WorkerCondition::kGone || !m_announcement || !is_needed) return;
  // Without an effect, because another life may answer.
  const HoldCall call{.life = m_announcement->life, .fencing_token = m_fencing_token, .lease_end_ms = {}};
  m_worker.Hold(call, m_options.call_timeout,
                [this, lives = m_lives, sent_at = m_loop.Now(), alive = m_alive](const Result<HoldAnswer>& answer) {
                  if (*alive && lives == m_lives) OnGoneWorker(answer, sent_at);
                });
}

void AgentNode::OnGoneWorker(const Result<HoldAnswer>& answer, MonotonicTime sent_at) {
  if (m_condition != WorkerCondition::kGone || !m_announcement) return;
  const bool is_refused = !answer && answer.error().code == FailureCode::kConnectionRefused;
  const std::optional<MonotonicTime> refused_before =
      std::exchange(m_gone_refused_at, is_refused ? std::optional(sent_at) : std::nullopt);
  if (is_refused && refused_before) {
    const std::size_t known = m_late_calls.size();
    ForgetLateCalls(*refused_before);
    if (m_late_calls.size() < known) NoteChange();
  }
  m_loop.CancelTimer(m_gone_timer);
  m_gone_timer = m_loop.AddTimer(m_loop.Now() + m_options.gone_pause, [this] { CallGoneWorker(); });
}

void AgentNode::KeepPastLists(HoldAnswer answer, const WorkerLife& life) {
  LogPastLists(answer, life);
  if (m_announcement && m_announcement->life == life) {
    TakeLists(std::move(answer));
  } else {
    KeepPastEnds(life, answer.ends);
  }
}

void AgentNode::KeepUnacknowledgedEnds() {
  if (!m_announcement || !m_lists) return;
  std::vector<RunEnd> ends;
  std::copy_if(m_lists->ends.begin(), m_lists->ends.end(), std::back_inserter(ends),
               [&](const RunEnd& end) { return end.number > m_acknowledged; });
  KeepPastEnds(m_announcement->life, std::move(ends));
}

void AgentNode::KeepPastEnds(const WorkerLife& life, std::vector<RunEnd> ends) {
  if (ends.empty()) return;
  m_past_ends.push_back({.kept_until = m_loop.Now() + m_options.past_ends_kept, .past = {life, std::move(ends)}});
  if (m_past_ends.size() > kMaxPastLives) m_past_ends.erase(m_past_ends.begin());
  NoteChange();
}

std::vector<workflow::PastEnds> AgentNode::PastEndsToReport() {
  std::erase_if(m_past_ends, [&](const KeptEnds& kept) { return kept.kept_until <= m_loop.Now(); });
  std::vector<workflow::PastEnds> ends;
  for (const KeptEnds& kept : m_past_ends) ends.push_back(kept.past);
  // A worker that has gone answers no further call, so its life is never confirmed to a new owner.
  const bool is_over = !IsWorkerKnown() && m_condition == WorkerCondition::kGone;
  if (is_over && m_lists && !m_lists->ends.empty()) ends.push_back({m_announcement->life, m_lists->ends});
  return ends;
}

void AgentNode::LogPastLists(const HoldAnswer& answer, const WorkerLife& life) const {
  const auto unread =
      std::count_if(answer.ends.begin(), answer.ends.end(), [&](const RunEnd& end) { return end.number > m_last_end; });
  LogEvent(LogLevel::kInfo, "past_lists",
           {{"worker", life.worker},
            {"born", life.born},
            {"condition", workflow::kWorkerConditionNames.NameOf(m_condition)},
            {"announced_born", m_announcement ? m_announcement->life.born : 0},
            {"ends", answer.ends.size()},
            {"unread", unread}});
}

void AgentNode::SetFence(const FencingTokens::Grant& fence) {
  const bool is_new = m_announcement && fence.life == m_announcement->life && fence.token > m_fencing_token;
  if (!is_new) return;
  m_fencing_token = fence.token;
  m_fence_epoch = m_epoch;
  m_is_confirmed = false;
  if (m_hold_sent) {
    SendHold(false);
  } else {
    ScheduleHold(absl::ZeroDuration());
  }
}

void AgentNode::ConfirmLife() {
  if (m_is_confirmed) return;
  m_is_confirmed = true;
  const WorkerLife& life = m_announcement->life;
  LogEvent(LogLevel::kInfo, "worker_confirmed",
           {{"worker", life.worker},
            {"born", life.born},
            {"token", m_fencing_token},
            {"clock_ms", m_lists->clock_ms},
            {"runs", m_lists->runs.size()},
            {"ends", m_lists->ends.size()}});
  if (m_confirmed_life != life) m_confirmed_at = m_loop.Now();
  m_confirmed_life = life;
  m_runs_sent_at = InfinitePast();  // the owner compares the whole list with its records
  NoteChange();
}

void AgentNode::OnOtherLife(const HoldAnswer& answer) {
  // The worker was started again; its announcement follows. What it carried out of the calls for its former life is not
  // known before it has answered with a token of its own.
  LogEvent(LogLevel::kWarning, "worker_other_life",
           {{"worker", m_announcement->life.worker},
            {"born", answer.born},
            {"expected", m_announcement->life.born},
            {"acknowledged", m_acknowledged},
            {"lease_end_ms", m_lease_end_ms},
            {"clock_ms", answer.clock_ms},
            {"runs", answer.runs.size()},
            {"ends", answer.ends.size()},
            {"first_end", answer.ends.empty() ? 0 : answer.ends.front().number}});
  m_is_confirmed = false;
  SetCondition(WorkerCondition::kGone, "other-life");
  ForgetUnconfirmedAnnouncement();
}

void AgentNode::OnOtherWorker() {
  SetCondition(WorkerCondition::kGone, "other-worker");
  ForgetUnconfirmedAnnouncement();
}

void AgentNode::ForgetUnconfirmedAnnouncement() {
  // An announcement that the worker has never confirmed may come from another writer. Kept, it would make the worker's
  // own look like late ones of a former life.
  if (!m_lists) m_announcement.reset();
}

void AgentNode::OnHoldFailure(const Failure& failure) {
  m_hold_failures.Add();
  if (failure.code == FailureCode::kExpired) {
    OnOtherWorker();
    return;
  }
  m_refused_calls = failure.code == FailureCode::kConnectionRefused ? m_refused_calls + 1 : 0;
  if (m_refused_calls >= m_options.refused_calls) {
    SetCondition(WorkerCondition::kGone, "connection-refused");
    return;
  }
  ScheduleHold(m_options.retry_pause);
}

void AgentNode::TakeLists(HoldAnswer answer) {
  if (m_lists && answer.clock_ms < m_lists->clock_ms) return;  // overtaken by a newer answer
  const bool is_first = !m_lists;
  LogSkippedEnds(answer);
  if (!answer.has_all_ends) LogCutEnds(answer);
  std::int64_t last_end = m_last_end;
  for (const RunEnd& end : answer.ends) last_end = std::max(last_end, end.number);
  m_lists = std::move(answer);
  if (last_end > m_last_end) m_ends.Add(static_cast<std::uint64_t>(last_end - m_last_end));
  const bool has_news = is_first || last_end > m_last_end;
  m_last_end = last_end;
  if (has_news) NoteChange();
  Pace();
}

void AgentNode::LogSkippedEnds(const HoldAnswer& answer) const {
  if (answer.ends.empty()) return;
  const std::int64_t known = std::max(m_last_end, m_acknowledged);
  const auto first = std::min_element(answer.ends.begin(), answer.ends.end(),
                                      [](const RunEnd& a, const RunEnd& b) { return a.number < b.number; });
  if (first->number <= known + 1) return;
  LogEvent(LogLevel::kWarning, "ends_skipped",
           {{"worker", m_announcement->life.worker},
            {"born", m_announcement->life.born},
            {"known", known},
            {"first_end", first->number}});
}

void AgentNode::LogCutEnds(const HoldAnswer& answer) const {
  m_cut_lists.Add();
  LogEvent(LogLevel::kWarning, "ends_cut",
           {{"worker", m_announcement->life.worker},
            {"born", m_announcement->life.born},
            {"ends", answer.ends.size()},
            {"first_end", answer.ends.front().number},
            {"last_end", answer.ends.back().number},
            {"acknowledged", m_acknowledged}});
}

std::int64_t AgentNode::NotableEnds() const {
  if (!m_lists || m_late_calls.empty()) return m_notable;
  std::int64_t notable = m_notable;
  const MonotonicTime too_late = m_loop.Now() - m_options.late_call_limit;
  for (const RunEnd& end : m_lists->ends) {
    const bool is_held = end.kind == RunEndKind::kDone && m_late_calls.HasAny(end.task, too_late);
    if (is_held) notable = std::min(notable, end.number - 1);
  }
  return notable;
}

bool AgentNode::HasEndsToNote() const { return m_lists && !m_lists->ends.empty() && m_last_end > NotableEnds(); }

// ---- The owner

bool AgentNode::AdoptEpoch(std::int64_t epoch) {
  if (epoch < m_epoch) return false;
  if (epoch == m_epoch) return true;
  LogEvent(LogLevel::kInfo, "owner_adopted", {{"epoch", epoch}, {"former", m_epoch}});
  m_epoch = epoch;
  m_is_confirmed = false;  // the lists must show everything that the former owner's calls did
  return true;
}

void AgentNode::OnWatch(const WatchRequest& request, WatchReply reply) {
  if (!AdoptEpoch(request.epoch)) {
    reply(std::nullopt);
    return;
  }
  m_watched_at = m_loop.Now();
  SetFence(request.fence);
  if (m_announcement && request.life == m_announcement->life) {
    m_lease_end_ms = std::max(m_lease_end_ms, request.lease_end_ms);
    m_acknowledged = std::max(m_acknowledged, request.acknowledged);
    if (request.notable > m_notable) {
      m_notable = request.notable;
      ScheduleHold(absl::ZeroDuration());
    }
    for (const workflow::InterferenceEntry& entry : request.interference) m_interference.Set(entry);
  }
  // Sent once to a new agent, which may not know its worker yet; they belong to the tasks, whatever life they run in.
  for (const TaskTraits& traits : request.traits) {
    m_traits[traits.task] = {.traits = traits, .told_at = m_loop.Now()};
  }
  if (m_watch) FlushWatch();  // the owner gave the former one up
  m_watch = request;
  m_watch_reply = std::move(reply);
  const bool has_news = request.known_version != m_version || request.known_incarnation != m_options.incarnation;
  if (has_news) {
    FlushWatch();
    return;
  }
  m_watch_timer = m_loop.AddTimer(m_loop.Now() + absl::Milliseconds(request.wait_ms), [this] { FlushWatch(); });
}

void AgentNode::FlushWatch() {
  if (!m_watch) return;
  m_loop.CancelTimer(m_watch_timer);
  const WatchRequest request = *std::exchange(m_watch, std::nullopt);
  WatchReply reply = std::move(m_watch_reply);
  reply(MakeWatchAnswer(request));
}

WatchAnswer AgentNode::MakeWatchAnswer(const WatchRequest& request) {
  WatchAnswer answer{.version = m_version, .report = {}};
  workflow::WorkerReport& report = answer.report;
  report.agent_incarnation = m_options.incarnation;
  report.past_ends = PastEndsToReport();
  report.late_calls = ReportedLateCalls();
  report.knows_former_calls = m_knows_former_calls;
  report.calls_known_ms = absl::ToInt64Milliseconds(m_loop.Now() - m_begun_at);
  if (m_announcement) {
    report.announced = m_announcement->life;
    report.is_announced_gone = m_condition == WorkerCondition::kGone;
  }
  if (!IsWorkerKnown()) return answer;
  report.life = m_announcement->life;
  report.condition = m_condition;
  report.service = m_announcement->service;
  report.zone = m_announcement->zone;
  report.labels = m_announcement->labels;
  report.rack = m_announcement->rack;
  report.capacity = m_announcement->capacity;
  report.remaining_ms = m_announcement->remaining_ms;
  report.worker_clock_ms = m_lists->clock_ms;
  report.confirmed_ms = absl::ToInt64Milliseconds(m_loop.Now() - m_confirmed_at);
  const std::int64_t acknowledged = request.life == report.life ? request.acknowledged : 0;
  for (const RunEnd& end : m_lists->ends) {
    if (end.number > acknowledged) report.ends.push_back(end);
  }
  report.has_all_ends = m_lists->has_all_ends;
  const bool is_first = request.known_version == 0 || request.known_incarnation != m_options.incarnation;
  if (!is_first && m_loop.Now() - m_runs_sent_at < m_options.runs_interval) return answer;
  m_runs_sent_at = m_loop.Now();
  report.has_runs = true;
  report.runs = m_lists->runs;
  return answer;
}

void AgentNode::OnOrders(const OrdersRequest& request, OrdersReply reply) {
  if (!AdoptEpoch(request.epoch)) {
    reply(std::nullopt);
    return;
  }
  if (!IsWorkerKnown()) {
    LogEvent(LogLevel::kInfo, "orders_deferred",
             {{"worker", request.life.worker}, {"jobs", request.jobs.size()}, {"stops", request.stops.size()}});
    reply(OrdersAnswer{.is_worker_known = false, .starts = {}, .stops = {}});
    return;
  }
  auto batch = std::make_shared<OrderBatch>();
  batch->reply = std::move(reply);
  const bool is_present = IsPresent(request.life);
  if (is_present) m_lease_end_ms = std::max(m_lease_end_ms, request.lease_end_ms);
  std::vector<std::shared_ptr<StartAttempt>> starts;
  for (const JobStarts& job : request.jobs) {
    for (const workflow::StartOrder& order : job.starts) {
      auto attempt = std::make_shared<StartAttempt>();
      attempt->batches.push_back(batch);
      attempt->epoch = request.epoch;
      attempt->begun = m_loop.Now();
      attempt->call = {.life = request.life,
                       .task = order.task,
                       .run = order.run,
                       .payload = job.payload,
                       .checkpoint = order.checkpoint,
                       .ticket = order.ticket,
                       .lease_end_ms = request.lease_end_ms};
      // A former process of this agent may have made the call, before this one began.
      attempt->is_unanswered = order.was_sent || m_late_calls.HasUnstopped(order.task, order.run);
      const bool may_be_former = order.was_sent && !m_knows_former_calls;
      if (may_be_former) m_late_calls.Add(LateCallOf(attempt->call, m_begun_at));
      m_traits[order.task] = {.traits = {.task = order.task,
                                         .fills_idle_cpu = order.fills_idle_cpu,
                                         .tail_target_ms = order.tail_target_ms,
                                         .image = order.image,
                                         .demand_cpu = order.demand_cpu},
                              .told_at = m_loop.Now()};
      starts.push_back(std::move(attempt));
    }
  }
  batch->pending = starts.size() + request.stops.size() + 1;
  for (std::shared_ptr<StartAttempt>& attempt : starts) {
    if (!is_present) {
      FinishStart(*attempt, {.refusal = ReasonToGiveUp(*attempt)});
    } else if (const std::shared_ptr<StartAttempt> pending = m_pending_starts[attempt->key()].lock()) {
      pending->batches.push_back(batch);
    } else if (m_condition != WorkerCondition::kReady) {
      FinishStart(*attempt, {.refusal = attempt->is_unanswered ? StartRefusal::kEnded : StartRefusal::kDraining});
    } else {
      m_pending_starts[attempt->key()] = attempt;
      TryStart(std::move(attempt));
    }
  }
  for (const workflow::StopOrder& order : request.stops) {
    auto attempt = std::make_shared<StopAttempt>();
    attempt->batch = batch;
    attempt->epoch = request.epoch;
    attempt->call = {.life = request.life, .task = order.task, .run = order.run};
    if (is_present) {
      AbandonStart({order.task, order.run});
      TryStop(std::move(attempt));
    } else {
      // Whether the next life carries the run's start out is shown by its lists.
      batch->answer.stops.push_back({.task = order.task, .run = order.run, .end_listed = true});
      FinishOne(*batch);
    }
  }
  FinishOne(*batch);
}

void AgentNode::FinishOne(OrderBatch& batch) {
  if (--batch.pending > 0) return;
  batch.reply(batch.answer);
}

// ---- Starts and stops

bool AgentNode::IsPresent(const workflow::WorkerLife& life) const {
  return m_announcement && m_announcement->life == life && m_condition != WorkerCondition::kGone;
}

bool AgentNode::IsOver(const workflow::WorkerLife& life, std::int64_t epoch) const {
  return !IsPresent(life) || epoch < m_epoch;
}

std::vector<workflow::ReportedLateCall> AgentNode::ReportedLateCalls() const {
  std::vector<workflow::ReportedLateCall> reported;
  for (const LateCall& call : m_late_calls.CallsIf([](const LateCall&) { return true; })) {
    reported.push_back({.task = call.task,
                        .run = call.run,
                        .worker = call.worker,
                        .age_ms = absl::ToInt64Milliseconds(m_loop.Now() - call.sent_at)});
  }
  return reported;
}

StartRefusal AgentNode::ReasonToGiveUp(const StartAttempt& attempt) const {
  StartRefusal reason = StartRefusal::kNone;
  if (!IsPresent(attempt.call.life)) {
    reason = StartRefusal::kOtherLife;
  } else if (attempt.epoch < m_epoch) {
    reason = StartRefusal::kStaleOwner;  // the successor settles the run
  } else if (attempt.abandoned) {
    reason = StartRefusal::kWithdrawn;
  } else if (m_loop.Now() - attempt.begun > m_options.start_limit) {
    reason = StartRefusal::kUnreached;
  }
  if (reason == StartRefusal::kNone || !attempt.is_unanswered) return reason;
  return reason == StartRefusal::kUnreached ? StartRefusal::kUnanswered : StartRefusal::kEnded;
}

void AgentNode::TryStart(std::shared_ptr<StartAttempt> attempt) {
  const StartRefusal reason = ReasonToGiveUp(*attempt);
  if (reason != StartRefusal::kNone) {
    FinishStart(*attempt, {.refusal = reason});
    return;
  }
  StartCall& call = attempt->call;
  call.fencing_token = m_fencing_token;  // the life may have got a higher one since the order
  m_late_calls.Add(LateCallOf(call, m_loop.Now()));
  m_worker.Start(call, m_options.call_timeout, [this, attempt, alive = m_alive](Result<StartAnswer> answer) {
    if (*alive) OnStart(attempt, std::move(answer));
  });
}

void AgentNode::OnStart(std::shared_ptr<StartAttempt> attempt, Result<StartAnswer> answer) {
  if (!IsPresent(attempt->call.life)) LogStartForFormerLife(*attempt, answer);
  // The life got a higher token while the call was under way.
  const bool is_old_token = answer && answer->refusal == StartRefusal::kStaleOwner && attempt->epoch == m_epoch;
  if (!answer && answer.error().verdict == Verdict::kMayHaveRun) attempt->is_unanswered = true;
  if (!attempt->is_unanswered) m_late_calls.Remove(attempt->call.task, attempt->call.run);
  if (answer && !is_old_token) {
    // After a call without an answer a refusal is not final: that call may still be carried out. The owner orders a
    // stop, which settles it.
    const bool is_refusal = answer->refusal != StartRefusal::kNone;
    if (is_refusal && attempt->is_unanswered) answer->refusal = StartRefusal::kEnded;
    FinishStart(*attempt, *answer);
    return;
  }
  const StartRefusal reason = ReasonToGiveUp(*attempt);
  if (reason != StartRefusal::kNone) {
    FinishStart(*attempt, {.refusal = reason});
    return;
  }
  m_loop.AddTimer(m_loop.Now() + m_options.retry_pause, [this, attempt, alive = m_alive] {
    if (*alive) TryStart(attempt);
  });
}

void AgentNode::LogStartForFormerLife(const StartAttempt& attempt, const Result<StartAnswer>& answer) const {
  LogEvent(LogLevel::kWarning, "start_for_former_life",
           {{"task", attempt.call.task},
            {"run", attempt.call.run},
            {"worker", attempt.call.life.worker},
            {"born", attempt.call.life.born},
            {"outcome", answer ? workflow::kStartRefusalNames.NameOf(answer->refusal)
                               : kVerdictNames.NameOf(answer.error().verdict)}});
}

void AgentNode::AbandonStart(const RunKey& run) {
  const auto found = m_pending_starts.find(run);
  if (found == m_pending_starts.end()) return;
  if (const std::shared_ptr<StartAttempt> attempt = found->second.lock()) attempt->abandoned = true;
}

void AgentNode::FinishStart(StartAttempt& attempt, StartAnswer answer) {
  const bool accepted = answer.refusal == StartRefusal::kNone;
  const bool unanswered = attempt.is_unanswered;
  // The next life may have given the answer, which does not name one.
  answer.is_settled = accepted && !unanswered && IsPresent(attempt.call.life);
  m_pending_starts.erase(attempt.key());
  if (accepted) PaceStarted(attempt.call, answer.is_settled);
  (accepted ? m_starts : m_refused_starts).Add();
  LogEvent(accepted ? LogLevel::kInfo : LogLevel::kWarning, "start",
           {{"task", attempt.call.task},
            {"run", attempt.call.run},
            {"epoch", attempt.epoch},
            {"worker", attempt.call.life.worker},
            {"born", attempt.call.life.born},
            {"clock_ms", answer.clock_ms},
            {"lease_end_ms", attempt.call.lease_end_ms},
            {"refusal", workflow::kStartRefusalNames.NameOf(answer.refusal)},
            {"unanswered", unanswered},
            {"ms", absl::ToInt64Milliseconds(m_loop.Now() - attempt.begun)}});
  for (const std::shared_ptr<OrderBatch>& batch : attempt.batches) {
    batch->answer.starts.push_back({.task = attempt.call.task, .run = attempt.call.run, .answer = answer});
    FinishOne(*batch);
  }
}

void AgentNode::TryStop(std::shared_ptr<StopAttempt> attempt) {
  if (IsOver(attempt->call.life, attempt->epoch)) {
    ResolveStop(attempt);
    return;
  }
  attempt->call.fencing_token = m_fencing_token;
  m_worker.Stop(attempt->call, m_options.call_timeout, [this, attempt, alive = m_alive](Result<void> answer) {
    if (!*alive) return;
    if (answer) m_late_calls.NoteStopped(attempt->call.task, attempt->call.run);
    if (answer || IsOver(attempt->call.life, attempt->epoch)) {
      ResolveStop(attempt);
      return;
    }
    m_loop.AddTimer(m_loop.Now() + m_options.retry_pause, [this, attempt, alive] {
      if (*alive) TryStop(attempt);
    });
  });
}

void AgentNode::ResolveStop(std::shared_ptr<StopAttempt> attempt) {
  if (m_is_leaving || IsOver(attempt->call.life, attempt->epoch)) {
    FinishStop(*attempt, true);  // the lists of the next life, or those that its next owner gets, show the run
    return;
  }
  CallHold(MakeHoldCall(), [this, attempt](Result<HoldAnswer> answer) {
    const StopCall& call = attempt->call;
    if (answer && answer->born != call.life.born && IsPresent(call.life)) OnOtherLife(*answer);
    if (IsOver(call.life, attempt->epoch)) {
      if (answer && answer->born == call.life.born) KeepPastLists(std::move(*answer), call.life);
      FinishStop(*attempt, true);
      return;
    }
    bool is_running = false;
    bool end_listed = false;
    if (answer) {
      // The end may stand behind those that are listed.
      end_listed = !answer->has_all_ends;
      is_running = std::any_of(answer->runs.begin(), answer->runs.end(),
                               [&](const ActiveRun& run) { return run.task == call.task && run.run == call.run; });
      end_listed = end_listed || std::any_of(answer->ends.begin(), answer->ends.end(), [&](const RunEnd& end) {
                     return end.task == call.task && end.run == call.run;
                   });
      TakeLists(std::move(*answer));
    }
    if (!answer || is_running) {
      m_loop.AddTimer(m_loop.Now() + m_options.retry_pause, [this, attempt, alive = m_alive] {
        if (*alive) ResolveStop(attempt);
      });
      return;
    }
    FinishStop(*attempt, end_listed);
  });
}

void AgentNode::FinishStop(StopAttempt& attempt, bool end_listed) {
  const StopCall& call = attempt.call;
  LogEvent(LogLevel::kInfo, "stop",
           {{"task", call.task}, {"run", call.run}, {"epoch", attempt.epoch}, {"end_listed", end_listed}});
  attempt.batch->answer.stops.push_back({.task = call.task, .run = call.run, .end_listed = end_listed});
  FinishOne(*attempt.batch);
}

// ---- Pace

bool AgentNode::IsPacing() const {
  bool fills = false;
  bool serves = false;
  for (const ActiveRun& run : m_lists->runs) {
    const auto traits = m_traits.find(run.task);
    if (traits == m_traits.end()) continue;
    fills = fills || traits->second.traits.fills_idle_cpu;
    serves = serves || traits->second.traits.tail_target_ms > 0;
  }
  return fills && serves;
}

std::vector<workflow::MeasuredRun> AgentNode::MeasuredRuns() const {
  std::vector<workflow::MeasuredRun> runs;
  for (const ActiveRun& run : m_lists->runs) {
    const auto found = m_traits.find(run.task);
    if (found == m_traits.end()) continue;
    const TaskTraits& traits = found->second.traits;
    runs.push_back({.task = run.task,
                    .run = run.run,
                    .image = traits.image,
                    .fills_idle_cpu = traits.fills_idle_cpu,
                    .tail_target_ms = traits.tail_target_ms,
                    .measured = run.measured,
                    .demand_cpu = traits.demand_cpu});
  }
  return runs;
}

void AgentNode::Pace() {
  if (m_traits.size() > 2 * m_lists->runs.size() + kSpareTraits) {
    absl::flat_hash_set<std::string> present;
    for (const ActiveRun& run : m_lists->runs) present.insert(run.task);
    absl::erase_if(m_traits, [&](const auto& entry) {
      return !present.contains(entry.first) && m_loop.Now() - entry.second.told_at > kUnlistedTraitsKept;
    });
  }
  for (const workflow::PaceChange& change : m_pace.Decide(MeasuredRuns(), m_interference, m_loop.Now())) {
    SendPace(change);
  }
}

void AgentNode::PaceStarted(const StartCall& call, bool is_settled) {
  const auto found = m_traits.find(call.task);
  if (found == m_traits.end() || !m_lists || !IsPresent(call.life)) return;
  const TaskTraits& traits = found->second.traits;
  if (!traits.fills_idle_cpu) return;
  const workflow::MeasuredRun filler{.task = call.task,
                                     .run = call.run,
                                     .image = traits.image,
                                     .fills_idle_cpu = true,
                                     .demand_cpu = traits.demand_cpu};
  const workflow::PaceChange change = m_pace.DecideStart(filler, MeasuredRuns(), m_interference);
  // A run that was there before may have another pace than a new one.
  if (change.percent < 100 || !is_settled) SendPace(change);
}

void AgentNode::SendPace(const workflow::PaceChange& change) {
  m_pace_changes.Add();
  LogEvent(LogLevel::kInfo, "pace", {{"task", change.task}, {"run", change.run}, {"percent", change.percent}});
  const PaceCall call{.life = m_announcement->life,
                      .fencing_token = m_fencing_token,
                      .task = change.task,
                      .run = change.run,
                      .percent = change.percent};
  m_worker.Pace(call, m_options.call_timeout, [this, task = change.task, alive = m_alive](Result<void> answer) {
    if (*alive && !answer) m_pace.ForgetChange(task);
  });
}

}  // namespace berylgauge::control
