#include "played_agent.h"

#include <utility>

#include "transport/make_stream_server.h"

namespace berylgauge::control {
namespace {

/// Time for which a watch is held; answers without news at this rate keep the worker's clock young.
constexpr absl::Duration kWatchPause = absl::Milliseconds(20);

/// Between the readings of the worker's clock by two processes of the agent.
constexpr std::int64_t kIncarnationStepMs = 1'000'000;

}  // namespace

PlayedAgent::PlayedAgent(EventLoop& loop, Incarnation incarnation)
    : m_loop(loop),
      m_incarnation(incarnation),
      m_clock_ms(static_cast<std::int64_t>(incarnation) * kIncarnationStepMs),
      m_server(MakeStreamServer({}).value()) {
  m_port =
      m_server
          ->Start("127.0.0.1", 0,
                  [this](StreamRequest request, StreamServer::Responder respond) {
                    m_loop.Post([this, alive = m_alive, request = std::move(request), respond = std::move(respond)] {
                      if (*alive) Handle(request, respond);
                    });
                  })
          .value();
}

PlayedAgent::~PlayedAgent() {
  m_server->Stop();
  m_loop.RunSync([this] { *m_alive = false; });
}

void PlayedAgent::EndDone(const std::string& task) {
  const int run = m_runs.at(task);
  m_runs.erase(task);
  m_ends.push_back({.number = static_cast<std::int64_t>(m_ends.size()) + 1,
                    .task = task,
                    .run = run,
                    .kind = workflow::RunEndKind::kDone});
}

void PlayedAgent::Handle(const StreamRequest& request, const StreamServer::Responder& respond) {
  if (request.path == kOrdersPath) {
    const OrdersRequest orders = *DecodeOrdersRequest(request.body);
    for (const JobStarts& job : orders.jobs) m_orders.insert(m_orders.end(), job.starts.begin(), job.starts.end());
    if (keeps_orders) {
      m_kept.push_back(respond);
    } else if (failed_orders > 0) {
      --failed_orders;
      respond({.status = 500, .headers = {}, .body = {}});
    } else if (refuses_orders) {
      respond({.status = kStatusStaleOwner, .headers = {}, .body = {}});
    } else {
      respond({.status = 200, .headers = {}, .body = EncodeOrdersAnswer(CarryOut(orders))});
    }
    return;
  }
  m_loop.AddTimer(m_loop.Now() + kWatchPause, [this, alive = m_alive, body = request.body, respond] {
    if (!*alive) return;
    const WatchAnswer answer = MakeWatchAnswer(*DecodeWatchRequest(body));
    respond({.status = 200, .headers = {}, .body = EncodeWatchAnswer(answer)});
  });
}

WatchAnswer PlayedAgent::MakeWatchAnswer(const WatchRequest& request) {
  WatchAnswer answer{.version = request.known_version + 1, .report = {}};
  workflow::WorkerReport& report = answer.report;
  report.agent_incarnation = m_incarnation;
  report.life = m_life;
  report.service = std::string("s");
  report.capacity = {.cpu_millis = 16000, .memory_mb = 64000};
  report.worker_clock_ms = ++m_clock_ms;
  report.has_runs = true;
  for (const auto& [task, run] : m_runs) report.runs.push_back({.task = task, .run = run, .checkpoint = {}});
  report.ends = m_ends;
  return answer;
}

OrdersAnswer PlayedAgent::CarryOut(const OrdersRequest& request) {
  OrdersAnswer answer;
  for (const JobStarts& job : request.jobs) {
    for (const workflow::StartOrder& start : job.starts) {
      if (stale_starts > 0) {
        --stale_starts;
        answer.starts.push_back(
            {.task = start.task, .run = start.run, .answer = {.refusal = workflow::StartRefusal::kStaleOwner}});
        continue;
      }
      if (omitted_starts > 0) {
        --omitted_starts;
        continue;
      }
      m_starts[start.task] = start.run;
      m_runs[start.task] = start.run;
      answer.starts.push_back({.task = start.task, .run = start.run, .answer = {.clock_ms = ++m_clock_ms}});
    }
  }
  for (const workflow::StopOrder& stop : request.stops) {
    ++m_stops;
    m_runs.erase(stop.task);
    answer.stops.push_back({.task = stop.task, .run = stop.run, .end_listed = false});
  }
  return answer;
}

}  // namespace berylgauge::control
