#include "log_service.h"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <chrono>
#include <optional>

namespace berylgauge {
namespace {

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr std::int64_t kMaxRecordsPerRead = 10'000;
constexpr std::int64_t kMaxWaitMs = 300'000;

/// Name in "/v1/streams/NAME/records"; empty if the path is another one.
std::string StreamNameOf(std::string_view path) {
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix)) return "";
  if (path.size() <= kPrefix.size() + kSuffix.size()) return "";
  return std::string(path.substr(kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size()));
}

std::optional<std::int64_t> NumberOf(const StandinRequest& request, const std::string& key, std::int64_t min,
                                     std::int64_t max) {
  const auto it = request.query.find(key);
  std::int64_t number = 0;
  if (it == request.query.end() || !absl::SimpleAtoi(it->second, &number)) return std::nullopt;
  if (number < min || number > max) return std::nullopt;
  return number;
}

}  // namespace

StandinResponse LogService::Handle(const StandinRequest& request) {
  if (request.method == "GET" && request.path.starts_with(kPrefix) && !request.path.ends_with(kSuffix)) {
    return Bounds(request.path.substr(kPrefix.size()));
  }
  const std::string name = StreamNameOf(request.path);
  if (name.empty()) return StandinResponse::Error(404, "no such path: " + request.path);
  if (request.method == "POST") return Append(name, request.body);
  if (request.method == "GET") return Read(name, request);
  return StandinResponse::Error(405, "method must be GET or POST");
}

StandinResponse LogService::Append(const std::string& name, const std::string& payload) {
  const std::lock_guard lock(m_mutex);
  Stream& stream = m_streams[name];
  const std::int64_t offset = stream.NextOffset();
  stream.records.push_back({.time_ms = MonotonicMillis(), .payload = payload});
  RemoveExpired(stream);
  m_record.Add("append", {{"stream", name}, {"offset", offset}, {"payload", absl::Base64Escape(payload)}});
  m_changed.notify_all();
  return StandinResponse::Json({{"offset", offset}});
}

StandinResponse LogService::Read(const std::string& name, const StandinRequest& request) {
  const auto from = NumberOf(request, "from", 0, INT64_MAX);
  const auto max = NumberOf(request, "max", 1, kMaxRecordsPerRead);
  const auto wait_ms = NumberOf(request, "wait_ms", 0, kMaxWaitMs);
  if (!from || !max || !wait_ms) return StandinResponse::Error(400, "from, max and wait_ms are required");
  std::unique_lock lock(m_mutex);
  ++m_waiting_reads;
  m_changed.wait_for(lock, std::chrono::milliseconds(*wait_ms), [&] {
    const auto it = m_streams.find(name);
    return m_stopped || (it != m_streams.end() && it->second.NextOffset() > *from);
  });
  --m_waiting_reads;
  const auto it = m_streams.find(name);
  if (it == m_streams.end()) {
    return StandinResponse::Json({{"first_offset", 0}, {"next_offset", 0}, {"records", nlohmann::json::array()}});
  }
  Stream& stream = it->second;
  RemoveExpired(stream);
  nlohmann::json page = {{"first_offset", stream.first_offset}, {"next_offset", stream.NextOffset()}};
  if (*from < stream.first_offset) return StandinResponse::Json(page, 410);
  nlohmann::json records = nlohmann::json::array();
  const std::int64_t end = *from >= stream.NextOffset() ? *from : std::min(stream.NextOffset(), *from + *max);
  for (std::int64_t offset = *from; offset < end; ++offset) {
    const StoredRecord& stored = stream.records[static_cast<std::size_t>(offset - stream.first_offset)];
    records.push_back({{"offset", offset}, {"payload", absl::Base64Escape(stored.payload)}});
  }
  page["records"] = std::move(records);
  return StandinResponse::Json(page);
}

StandinResponse LogService::Bounds(const std::string& name) {
  const std::lock_guard lock(m_mutex);
  const auto it = m_streams.find(name);
  if (it == m_streams.end()) return StandinResponse::Json({{"first_offset", 0}, {"next_offset", 0}});
  RemoveExpired(it->second);
  return StandinResponse::Json({{"first_offset", it->second.first_offset}, {"next_offset", it->second.NextOffset()}});
}

StandinResponse LogService::HandleControl(const StandinRequest& request) {
  if (request.path == "/control/retention" && request.method == "POST") return SetRetention(request);
  if (request.path == "/control/waiting-reads") {
    const std::lock_guard lock(m_mutex);
    return StandinResponse::Json({{"waiting_reads", m_waiting_reads}});
  }
  return StandinService::HandleControl(request);
}

StandinResponse LogService::SetRetention(const StandinRequest& request) {
  const nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
  if (document.is_discarded()) return StandinResponse::Error(400, "not JSON");
  const std::lock_guard lock(m_mutex);
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const LogRetention retention{
      .max_records = reader.Integer("max_records", {.default_value = m_retention.max_records}),
      .max_age_ms = reader.Integer("max_age_ms", {.default_value = m_retention.max_age_ms}),
  };
  reader.Finish();
  if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
  m_retention = retention;
  return StandinResponse::Json({{"max_records", retention.max_records}, {"max_age_ms", retention.max_age_ms}});
}

void LogService::RemoveExpired(Stream& stream) const {
  const std::int64_t now_ms = MonotonicMillis();
  const auto is_expired = [&] {
    if (stream.records.empty()) return false;
    if (m_retention.max_records > 0 && static_cast<std::int64_t>(stream.records.size()) > m_retention.max_records) {
      return true;
    }
    return m_retention.max_age_ms > 0 && now_ms - stream.records.front().time_ms > m_retention.max_age_ms;
  };
  while (is_expired()) {
    stream.records.pop_front();
    ++stream.first_offset;
  }
}

void LogService::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace berylgauge
