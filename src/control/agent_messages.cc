#include "control/agent_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_document.h"

namespace berylgauge::control {
namespace {

using nlohmann::json;
using workflow::ActiveRun;
using workflow::RunEnd;
using workflow::RunEndKind;
using workflow::StartOrder;
using workflow::StartRefusal;
using workflow::StopOrder;
using workflow::WorkerCondition;
using workflow::WorkerLife;
using workflow::WorkerReport;

/// Version of the messages; processes of different versions refuse each other's.
constexpr int kFormat = 2;

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
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last))
    throw json::other_error::create(502, "unknown enum value", nullptr);
  return static_cast<E>(number);
}

json LifeToJson(const WorkerLife& life) { return json::array({life.worker, life.born}); }

WorkerLife LifeFromJson(const json& row) {
  return {.worker = row.at(0).get<std::string>(), .born = row.at(1).get<std::int64_t>()};
}

json ReportToJson(const WorkerReport& report) {
  json runs = json::array();
  for (const ActiveRun& run : report.runs) {
    runs.push_back(json::array({run.task, run.run, run.checkpoint, run.percent, run.measured}));
  }
  json ends = json::array();
  for (const RunEnd& end : report.ends) {
    ends.push_back(json::array({end.number, end.task, end.run, static_cast<int>(end.kind), end.checkpoint}));
  }
  const Resources& capacity = report.capacity;
  return json::array(
      {report.agent_incarnation, LifeToJson(report.life), static_cast<int>(report.condition), report.service,
       report.zone, report.labels, json::array({capacity.cpu_millis, capacity.memory_mb, capacity.accelerators}),
       report.remaining_ms, report.worker_clock_ms, report.has_runs, std::move(runs), std::move(ends), report.rack});
}

WorkerReport ReportFromJson(const json& row) {
  WorkerReport report;
  row.at(0).get_to(report.agent_incarnation);
  report.life = LifeFromJson(row.at(1));
  report.condition = ReadEnum(row.at(2), WorkerCondition::kGone);
  row.at(3).get_to(report.service);
  row.at(4).get_to(report.zone);
  row.at(5).get_to(report.labels);
  row.at(6).at(0).get_to(report.capacity.cpu_millis);
  row.at(6).at(1).get_to(report.capacity.memory_mb);
  row.at(6).at(2).get_to(report.capacity.accelerators);
  row.at(7).get_to(report.remaining_ms);
  row.at(8).get_to(report.worker_clock_ms);
  row.at(9).get_to(report.has_runs);
  for (const json& run : row.at(10)) {
    report.runs.push_back({.task = run.at(0).get<std::string>(),
                           .run = run.at(1).get<int>(),
                           .checkpoint = run.at(2).get<std::string>(),
                           .percent = run.at(3).get<int>(),
                           .measured = run.at(4).get<std::int64_t>()});
  }
  for (const json& end : row.at(11)) {
    report.ends.push_back({.number = end.at(0).get<std::int64_t>(),
                           .task = end.at(1).get<std::string>(),
                           .run = end.at(2).get<int>(),
                           .kind = ReadEnum(end.at(3), RunEndKind::kAlone),
                           .checkpoint = end.at(4).get<std::string>()});
  }
  row.at(12).get_to(report.rack);
  return report;
}

}  // namespace

std::string EncodeWatchRequest(const WatchRequest& message) {
  json traits = json::array();
  for (const TaskTraits& t : message.traits)
    traits.push_back(json::array({t.task, t.fills_idle_cpu, t.tail_target_ms, t.image, t.demand_cpu}));
  json interference = json::array();
  for (const workflow::InterferenceEntry& entry : message.interference) {
    interference.push_back(json::array({entry.serving_image, entry.filling_image, entry.ms_per_core}));
  }
  return Encode(json::array({message.epoch, message.known_version, message.known_incarnation, message.wait_ms,
                             LifeToJson(message.life), message.lease_end_ms, message.acknowledged, std::move(traits),
                             std::move(interference)}));
}

Result<WatchRequest> DecodeWatchRequest(std::string_view bytes) {
  return Decode<WatchRequest>(bytes, [](const json& row) {
    WatchRequest message;
    row.at(0).get_to(message.epoch);
    row.at(1).get_to(message.known_version);
    row.at(2).get_to(message.known_incarnation);
    row.at(3).get_to(message.wait_ms);
    message.life = LifeFromJson(row.at(4));
    row.at(5).get_to(message.lease_end_ms);
    row.at(6).get_to(message.acknowledged);
    for (const json& t : row.at(7)) {
      message.traits.push_back({.task = t.at(0).get<std::string>(),
                                .fills_idle_cpu = t.at(1).get<bool>(),
                                .tail_target_ms = t.at(2).get<int>(),
                                .image = t.at(3).get<std::string>(),
                                .demand_cpu = t.at(4).get<std::int64_t>()});
    }
    for (const json& entry : row.at(8)) {
      message.interference.push_back({.serving_image = entry.at(0).get<std::string>(),
                                      .filling_image = entry.at(1).get<std::string>(),
                                      .ms_per_core = entry.at(2).get<double>()});
    }
    return message;
  });
}

std::string EncodeWatchAnswer(const WatchAnswer& message) {
  return Encode(json::array({message.version, ReportToJson(message.report)}));
}

Result<WatchAnswer> DecodeWatchAnswer(std::string_view bytes) {
  return Decode<WatchAnswer>(bytes, [](const json& row) {
    return WatchAnswer{.version = row.at(0).get<std::uint64_t>(), .report = ReportFromJson(row.at(1))};
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
    row.at(0).get_to(message.epoch);
    message.life = LifeFromJson(row.at(1));
    row.at(2).get_to(message.lease_end_ms);
    for (const json& job : row.at(3)) {
      JobStarts starts{.payload = job.at(0).get<std::string>(), .starts = {}};
      for (const json& start : job.at(1)) {
        StartOrder order;
        order.life = message.life;
        start.at(0).get_to(order.task);
        start.at(1).get_to(order.run);
        start.at(2).get_to(order.checkpoint);
        start.at(3).get_to(order.fills_idle_cpu);
        start.at(4).get_to(order.tail_target_ms);
        start.at(5).get_to(order.ticket);
        start.at(6).get_to(order.image);
        start.at(7).get_to(order.demand_cpu);
        start.at(8).get_to(order.was_sent);
        starts.starts.push_back(std::move(order));
      }
      message.jobs.push_back(std::move(starts));
    }
    for (const json& stop : row.at(4)) {
      message.stops.push_back(
          {.agent = {}, .life = message.life, .task = stop.at(0).get<std::string>(), .run = stop.at(1).get<int>()});
    }
    return message;
  });
}

std::string EncodeOrdersAnswer(const OrdersAnswer& message) {
  json starts = json::array();
  for (const OrdersAnswer::Started& start : message.starts) {
    starts.push_back(
        json::array({start.task, start.run, static_cast<int>(start.answer.refusal), start.answer.clock_ms}));
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
                                .run = start.at(1).get<int>(),
                                .answer = {.refusal = ReadEnum(start.at(2), StartRefusal::kStaleOwner),
                                           .clock_ms = start.at(3).get<std::int64_t>()}});
    }
    for (const json& stop : row.at(2)) {
      message.stops.push_back(
          {.task = stop.at(0).get<std::string>(), .run = stop.at(1).get<int>(), .end_listed = stop.at(2).get<bool>()});
    }
    return message;
  });
}

}  // namespace berylgauge::control
