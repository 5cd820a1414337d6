#include "keyed_log_service.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <chrono>
#include <string>
#include <utility>

namespace berylgauge {
namespace {

using control::AppendOutcome;
using control::KeyedRecord;

std::string QueryText(const StandinRequest& request, const std::string& key) {
  const auto found = request.query.find(key);
  return found == request.query.end() ? "" : found->second;
}

std::int64_t QueryNumber(const StandinRequest& request, const std::string& key, std::int64_t fallback) {
  std::int64_t number = fallback;
  return absl::SimpleAtoi(QueryText(request, key), &number) ? number : fallback;
}

control::LogPartition PartitionOf(const StandinRequest& request) {
  return {.topic = QueryText(request, "topic"), .number = static_cast<int>(QueryNumber(request, "part", 0))};
}

std::uint32_t ReadLength(const std::string& body, std::size_t at) {
  std::uint32_t length = 0;
  for (std::size_t i = 0; i < 4; ++i) length = (length << 8) | static_cast<unsigned char>(body[at + i]);
  return length;
}

void WriteNumber(std::string& out, std::uint64_t number, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>((number >> (8 * i)) & 0xff);
}

}  // namespace

StandinResponse KeyedLogService::Handle(const StandinRequest& request) {
  if (request.path == "/v1/log-append" && request.method == "POST") return Append(request);
  if (request.path == "/v1/log-read" && request.method == "GET") return Read(request);
  if (request.path == "/v1/log-newest" && request.method == "GET") return Newest(request);
  return StandinResponse::Error(404, "no such path: " + request.path);
}

StandinResponse KeyedLogService::HandleControl(const StandinRequest& request) {
  if (request.path != "/control/put") return StandinService::HandleControl(request);
  const nlohmann::json document = nlohmann::json::parse(request.body);
  const std::lock_guard lock(m_mutex);
  m_store.Append({.partition = {.topic = document.at("topic"), .number = 0},
                  .records = {{.key = document.at("key"), .value = document.at("value")}},
                  .producer = {.name = "operators", .epoch = ++m_puts, .sequence = 0}});
  m_changed.notify_all();
  return StandinResponse::Json(nlohmann::json::object());
}

StandinResponse KeyedLogService::Append(const StandinRequest& request) {
  control::AppendCall call{.partition = PartitionOf(request),
                           .records = {},
                           .producer = {.name = QueryText(request, "producer"),
                                        .epoch = QueryNumber(request, "epoch", 0),
                                        .sequence = QueryNumber(request, "seq", 0)}};
  if (request.query.contains("as_of")) call.expected_end = QueryNumber(request, "as_of", 0);
  for (std::size_t at = 0; at + 4 < request.body.size();) {
    const std::uint32_t length = ReadLength(request.body, at);
    const auto key_size = static_cast<unsigned char>(request.body[at + 4]);
    call.records.push_back({.key = request.body.substr(at + 5, key_size),
                            .value = request.body.substr(at + 5 + key_size, length - 1 - key_size)});
    at += 4 + length;
  }
  const std::lock_guard lock(m_mutex);
  if (!m_turned_away.empty() && call.producer.name.starts_with(m_turned_away)) {
    return StandinResponse::Error(500, "turned away");
  }
  const control::AppendAnswer answer = m_store.Append(call);
  m_changed.notify_all();
  switch (answer.outcome) {
    case AppendOutcome::kStored:
      return StandinResponse::Json({{"offset", answer.end}, {"end", answer.end}});
    case AppendOutcome::kFenced:
      return StandinResponse::Json({{"reason", "fenced"}}, 409);
    case AppendOutcome::kRejected:
      return StandinResponse::Error(400, answer.detail);
    case AppendOutcome::kMoved:
      return StandinResponse::Json({{"end", answer.end}}, 412);
    default:
      return StandinResponse::Json({{"reason", "seq"}}, 409);
  }
}

StandinResponse KeyedLogService::Read(const StandinRequest& request) {
  const control::LogPartition partition = PartitionOf(request);
  const std::int64_t from = QueryNumber(request, "from", 0);
  std::unique_lock lock(m_mutex);
  m_changed.wait_for(lock, std::chrono::milliseconds(QueryNumber(request, "wait_ms", 0)),
                     [&] { return m_stopped || m_store.Read(partition, from).end > from; });
  const control::LogReadAnswer answer = m_store.Read(partition, from);
  if (answer.expired) return StandinResponse::Json({{"first", answer.end}}, 410);
  std::string body;
  WriteNumber(body, static_cast<std::uint64_t>(answer.end), 8);
  WriteNumber(body, static_cast<std::uint64_t>(m_store.Get(partition).first), 8);
  for (const KeyedRecord& record : answer.records) {
    WriteNumber(body, 1 + record.key.size() + record.value.size(), 4);
    body += static_cast<char>(record.key.size());
    body += record.key + record.value;
  }
  return {.status = 200, .headers = {}, .body = std::move(body)};
}

StandinResponse KeyedLogService::Newest(const StandinRequest& request) {
  constexpr std::size_t kPageSize = 500;
  const std::lock_guard lock(m_mutex);
  const control::MemoryStore::Partition& content = m_store.Get(PartitionOf(request));
  nlohmann::json items = nlohmann::json::array();
  bool more = false;
  for (auto it = content.newest.upper_bound(QueryText(request, "after")); it != content.newest.end(); ++it) {
    if (items.size() == kPageSize) {
      more = true;
      break;
    }
    items.push_back(
        {{"key", it->first}, {"value", absl::Base64Escape(it->second.value)}, {"offset", it->second.offset}});
  }
  return StandinResponse::Json({{"items", std::move(items)}, {"more", more}, {"end", content.end()}});
}

void KeyedLogService::ReadFaults(JsonObjectReader& reader) {
  m_drop_history = reader.Boolean("drop_history", false);
  m_next_turned_away = reader.String("turned_away", {.default_value = m_turned_away, .min_length = 0});
}

void KeyedLogService::ApplyFaults() {
  const std::lock_guard lock(m_mutex);
  if (m_drop_history) m_store.DropHistory();
  m_turned_away = m_next_turned_away;
}

nlohmann::json KeyedLogService::Faults() const { return {{"turned_away", m_turned_away}}; }

void KeyedLogService::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace berylgauge
