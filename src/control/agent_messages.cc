#include "control/agent_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_document.h"
#include "base/json_number.h"

namespace berylgauge::control {
namespace {

using nlohmann::json;
using workflow::ActiveRun;
using workflow::PastEnds;
using workflow::ReportedLateCall;
using workflow::RunEnd;
using workflow::RunEndKind;
using workflow::StartOrder;
using workflow::StartRefusal;
using workflow::StopOrder;
using workflow::WorkerCondition;
using workflow::WorkerLife;
using workflow::WorkerReport;

/// Version of the messages; processes of different versions refuse each other's.
constexpr int kFormat = 6;

/// 1/s; far above the spare rate of any serving task.
constexpr double kMaxLossPerCore = 3'600'000;

std::string Encode(json body) { return ToCbor(json::array({kFormat, std::move(body)})); }

/// Calls `read` with the body; any malformed content becomes a `kCorrupt` failure.
template <typename T, typename Read>
Result<T> Decode(std::string_view bytes, Read read) {
  return ReadCbor<T>(bytes, "message", [&](const json& document) -> Result<T> {
    if (document.at(0) != kFormat) return NotRun(FailureCode::kCorrupt, "message has an unknown format");
    return read(document.at(1));
  });
}

template <typename E>
E ReadEnum(const json& value, E last) {
  return static_cast<E>(ReadInteger<int>(value, 0, static_cast<int>(last)));
}

/// An amount, a number or a time, none of which is negative.
template <typename T>
T ReadCount(const json& value) {
  return ReadInteger<T>(value, 0);
}

json LifeToJson(const WorkerLife& life) { return json::array({life.worker, life.born}); }

WorkerLife LifeFromJson(const json& row) {
  return {.worker = row.at(0).get<std::string>(), .born = ReadCount<std::int64_t>(row.at(1))};
}

json EndsToJson(const std::vector<RunEnd>& ends) {
  json rows = json::array();
  for (const RunEnd& end : ends) {
    rows.push_back(json::array({end.number, end.task, end.run, static_cast<int>(end.kind), end.checkpoint}));
  }
  return rows;
}

std::vector<RunEnd> EndsFromJson(const json& rows) {
  std::vector<RunEnd> ends;
  for (const json& end : rows) {
    ends.push_back({.number = ReadCount<std::int64_t>(end.at(0)),
                    .task = end.at(1).get<std::string>(),
                    .run = ReadCount<int>(end.at(2)),
                    .kind = ReadEnum(end.at(3), RunEndKind::kAlone),
                    .checkpoint = end.at(4).get<std::string>()});
  }
  return ends;
}

json ReportToJson(const WorkerReport& report) {
  json runs = json::array();
  for (const ActiveRun& run : report.runs) {
    runs.push_back(json::array({run.task, run.run, run.checkpoint, run.percent, run.measured}));
  }
  json past_ends = json::array();
  for (const PastEnds& past : report.past_ends) {
    past_ends.push_back(json::array({LifeToJson(past.life), EndsToJson(past.ends)}));
  }
  json late_calls = json::array();
  for (const ReportedLateCall& call : report.late_calls) {
    late_calls.push_back(json::array({call.task, call.run, call.worker, call.age_ms}));
  }
  const Resources& capacity = report.capacity;
  return json::array({report.agent_incarnation,
                      LifeToJson(report.life),
                      static_cast<int>(report.condition),
                      report.service,
                      report.zone,
                      report.labels,
                      json::array({capacity.cpu_millis, capacity.memory_mb, capacity.accelerators}),
                      report.remaining_ms,
                      report.worker_clock_ms,
                      report.has_runs,
                      std::move(runs),
                      EndsToJson(report.ends),
                      report.rack,
                      LifeToJson(report.announced),
                      report.has_all_ends,
                      std::move(past_ends),
                      report.confirmed_ms,
                      std::move(late_calls),
                      report.calls_known_ms,
                      report.knows_former_calls,
                      report.is_announced_gone});
}

WorkerReport ReportFromJson(const json& row) {
  WorkerReport report;
  report.agent_incarnation = ReadCount<Incarnation>(row.at(0));
  report.life = LifeFromJson(row.at(1));
  report.condition = ReadEnum(row.at(2), WorkerCondition::kGone);
  row.at(3).get_to(report.service);
  row.at(4).get_to(report.zone);
  row.at(5).get_to(report.labels);
  report.capacity.cpu_millis = ReadCount<std::int64_t>(row.at(6).at(0));
  report.capacity.memory_mb = ReadCount<std::int64_t>(row.at(6).at(1));
  report.capacity.accelerators = ReadCount<std::int64_t>(row.at(6).at(2));
  report.remaining_ms = ReadCount<std::int64_t>(row.at(7));
  report.worker_clock_ms = ReadCount<std::int64_t>(row.at(8));
  row.at(9).get_to(report.has_runs);
  for (const json& run : row.at(10)) {
    report.runs.push_back({.task = run.at(0).get<std::string>(),
                           .run = ReadCount<int>(run.at(1)),
                           .checkpoint = run.at(2).get<std::string>(),
                           .percent = ReadCount<int>(run.at(3)),
                           .measured = ReadCount<std::int64_t>(run.at(4))});
  }
  report.ends = EndsFromJson(row.at(11));
  row.at(12).get_to(report.rack);
  report.announced = LifeFromJson(row.at(13));
  row.at(14).get_to(report.has_all_ends);
  for (const json& past : row.at(15)) {
    report.past_ends.push_back({.life = LifeFromJson(past.at(0)), .ends = EndsFromJson(past.at(1))});
  }
  report.confirmed_ms = ReadCount<std::int64_t>(row.at(16));
  for (const json& call : row.at(17)) {
    report.late_calls.push_back({.task = call.at(0).get<std::string>(),
                                 .run = ReadCount<int>(call.at(1)),
                                 .worker = call.at(2).get<std::string>(),
                                 .age_ms = ReadCount<std::int64_t>(call.at(3))});
  }
  report.calls_known_ms = ReadCount<std::int64_t>(row.at(18));
  row.at(19).get_to(report.knows_former_calls);
  row.at(20).get_to(report.is_announced_gone);
  return report;
}

}  // namespace

std::string EncodeWatchRequest(const WatchRequest& message) {
  json traits = json::array();
  for (const TaskTraits& t : message.traits)
    traits.push_back(json::array({t.task, t.fills_idle_cpu, t.tail_target_ms, t.image, t.demand_cpu}));
  json interference = json::array();
  for (const workflow::InterferenceEntry& entry : message.interference) {
    interference.push_back(json::array({entry.serving_image, entry.filling_image, entry.loss_per_core}));
  }
  return Encode(
      json::array({message.epoch, message.known_version, message.known_incarnation, message.wait_ms,
                   LifeToJson(message.life), message.lease_end_ms, message.acknowledged, std::move(traits),
                   std::move(interference), LifeToJson(message.fence.life), message.fence.token, message.notable}));
}

Result<WatchRequest> DecodeWatchRequest(std::string_view bytes) {
  return Decode<WatchRequest>(bytes, [](const json& row) {
    WatchRequest message;
    message.epoch = ReadCount<std::int64_t>(row.at(0));
    message.known_version = ReadCount<std::uint64_t>(row.at(1));
    message.known_incarnation = ReadCount<Incarnation>(row.at(2));
    message.wait_ms = ReadCount<int>(row.at(3));
    message.life = LifeFromJson(row.at(4));
    message.lease_end_ms = ReadCount<std::int64_t>(row.at(5));
    message.acknowledged = ReadCount<std::int64_t>(row.at(6));
    for (const json& t : row.at(7)) {
      message.traits.push_back({.task = t.at(0).get<std::string>(),
                                .fills_idle_cpu = t.at(1).get<bool>(),
                                .tail_target_ms = ReadCount<int>(t.at(2)),
                                .image = t.at(3).get<std::string>(),
                                .demand_cpu = ReadCount<std::int64_t>(t.at(4))});
    }
    for (const json& entry : row.at(8)) {
      message.interference.push_back({.serving_image = entry.at(0).get<std::string>(),
                                      .filling_image = entry.at(1).get<std::string>(),
                                      .loss_per_core = ReadFinite(entry.at(2), -kMaxLossPerCore, kMaxLossPerCore)});
    }
    message.fence = {.life = LifeFromJson(row.at(9)), .token = ReadCount<std::int64_t>(row.at(10))};
    message.notable = ReadCount<std::int64_t>(row.at(11));
    return message;
  });
}

std::string EncodeWatchAnswer(const WatchAnswer& message) {
  return Encode(json::array({message.version, ReportToJson(message.report)}));
}

Result<WatchAnswer> DecodeWatchAnswer(std::string_view bytes) {
  return Decode<WatchAnswer>(bytes, [](const json& row) {
    return WatchAnswer{.version = ReadCount<std::uint64_t>(row.at(0)), .report = ReportFromJson(row.at(1))};
  });
}

std::string EncodeOrdersRequest(const OrdersRequest& message) {
  json jobs = json::array();
  for (const JobStarts& job : message.jobs) {
    json starts = json::array();
    for (const StartOrder& start : job.starts) {
      starts.push_back(json::array({start.task, start.run, start.checkpoint, start.fills_idle_cpu, start.tail_target_ms,
                                    start.ticket, start.image, start.demand_cpu, start.was_sent}));
    }
    jobs.push_back(json::array({job.payload, std::move(starts)}));
  }
  json stops = json::array();
  for (const StopOrder& stop : message.stops) stops.push_back(json::array({stop.task, stop.run}));
  return Encode(
      json::array({message.epoch, LifeToJson(message.life), message.lease_end_ms, std::move(jobs), std::move(stops)}));
}

Result<OrdersRequest> DecodeOrdersRequest(std::string_view bytes) {
  return Decode<OrdersRequest>(bytes, [](const json& row) {
    OrdersRequest message;
    message.epoch = ReadCount<std::int64_t>(row.at(0));
    message.life = LifeFromJson(row.at(1));
    message.lease_end_ms = ReadCount<std::int64_t>(row.at(2));
    for (const json& job : row.at(3)) {
      JobStarts starts{.payload = job.at(0).get<std::string>(), .starts = {}};
      for (const json& start : job.at(1)) {
        StartOrder order;
        order.life = message.life;
        start.at(0).get_to(order.task);
        order.run = ReadCount<int>(start.at(1));
        start.at(2).get_to(order.checkpoint);
        start.at(3).get_to(order.fills_idle_cpu);
        order.tail_target_ms = ReadCount<int>(start.at(4));
        start.at(5).get_to(order.ticket);
        start.at(6).get_to(order.image);
        order.demand_cpu = ReadCount<std::int64_t>(start.at(7));
        start.at(8).get_to(order.was_sent);
        starts.starts.push_back(std::move(order));
      }
      message.jobs.push_back(std::move(starts));
    }
    for (const json& stop : row.at(4)) {
      message.stops.push_back({.agent = {},
                               .life = message.life,
                               .task = stop.at(0).get<std::string>(),
                               .run = ReadCount<int>(stop.at(1))});
    }
    return message;
  });
}

std::string EncodeOrdersAnswer(const OrdersAnswer& message) {
  json starts = json::array();
  for (const OrdersAnswer::Started& start : message.starts) {
    starts.push_back(json::array({start.task, start.run, static_cast<int>(start.answer.refusal), start.answer.clock_ms,
                                  start.answer.is_settled}));
  }
  json stops = json::array();
  for (const OrdersAnswer::Stopped& stop : message.stops) {
    stops.push_back(json::array({stop.task, stop.run, stop.end_listed}));
  }
  return Encode(json::array({message.is_worker_known, std::move(starts), std::move(stops)}));
}

Result<OrdersAnswer> DecodeOrdersAnswer(std::string_view bytes) {
  return Decode<OrdersAnswer>(bytes, [](const json& row) {
    OrdersAnswer message;
    row.at(0).get_to(message.is_worker_known);
    for (const json& start : row.at(1)) {
      message.starts.push_back({.task = start.at(0).get<std::string>(),
                                .run = ReadCount<int>(start.at(1)),
                                .answer = {.refusal = ReadEnum(start.at(2), StartRefusal::kStaleOwner),
                                           .clock_ms = ReadCount<std::int64_t>(start.at(3)),
                                           .is_settled = start.at(4).get<bool>()}});
    }
    for (const json& stop : row.at(2)) {
      message.stops.push_back({.task = stop.at(0).get<std::string>(),
                               .run = ReadCount<int>(stop.at(1)),
                               .end_listed = stop.at(2).get<bool>()});
    }
    return message;
  });
}

}  // namespace berylgauge::control
