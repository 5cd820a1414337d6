#include "endpoint_service.h"

#include <chrono>

namespace berylgauge {
namespace {

constexpr std::int64_t kMaxServiceMs = 600'000;
constexpr std::int64_t kMaxSlowFactor = 1'000'000;
constexpr std::int64_t kMaxTruncatedAnswers = 1'000'000'000;
constexpr const char* kIdHeader = "berylgauge-request-id";

std::string HeaderOf(const StandinRequest& request, const std::string& name) {
  for (const auto& [key, value] : request.headers) {
    if (key == name) return value;
  }
  return "";
}

}  // namespace

StandinResponse EndpointService::Handle(const StandinRequest& request) {
  nlohmann::json headers = nlohmann::json::array();
  for (const auto& [name, value] : request.headers) headers.push_back({name, value});
  const nlohmann::json description = {{"id", HeaderOf(request, kIdHeader)}, {"method", request.method},
                                      {"target", request.target},           {"headers", std::move(headers)},
                                      {"body_bytes", request.body.size()},  {"peer_port", request.peer_port}};
  if (!Run(description)) return {.closed = true};
  StandinResponse answer{.body = request.body};
  for (const char* name : {kIdHeader, "content-type"}) {
    if (const std::string value = HeaderOf(request, name); !value.empty()) answer.headers.emplace_back(name, value);
  }
  answer.truncated = TakeTruncatedAnswer();
  return answer;
}

bool EndpointService::Run(const nlohmann::json& description) {
  const nlohmann::json id = {{"id", description["id"]}};
  std::unique_lock lock(m_mutex);
  if (m_used_slots >= m_slots) m_record.Add("over-slots", id);
  m_changed.wait(lock, [&] { return m_stopped || (m_used_slots < m_slots && !m_faults.freeze); });
  if (!m_stopped) {
    ++m_used_slots;
    m_record.Add("request-start", description);
    m_changed.wait_for(lock, std::chrono::milliseconds(m_service_ms * m_faults.slow_factor), [&] { return m_stopped; });
    m_changed.wait(lock, [&] { return m_stopped || !m_faults.freeze; });
    if (!m_stopped) m_record.Add("request-end", id);
    --m_used_slots;
  }
  m_changed.notify_all();
  return !m_stopped;
}

bool EndpointService::TakeTruncatedAnswer() {
  const std::lock_guard lock(m_mutex);
  if (m_faults.truncate_answers == 0) return false;
  --m_faults.truncate_answers;
  return true;
}

StandinResponse EndpointService::HandleControl(const StandinRequest& request) {
  if (request.path != "/control/service-time" || request.method != "POST") {
    return StandinService::HandleControl(request);
  }
  const nlohmann::json document = nlohmann::json::parse(request.body, nullptr, false);
  if (document.is_discarded()) return StandinResponse::Error(400, "not JSON");
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const std::int64_t service_ms = reader.Integer("service_ms", {.max = kMaxServiceMs});
  reader.Finish();
  if (!errors.empty()) return StandinResponse::Error(400, errors.ToFailure().message);
  const std::lock_guard lock(m_mutex);
  m_service_ms = service_ms;
  return StandinResponse::Json({{"service_ms", service_ms}});
}

void EndpointService::ReadFaults(JsonObjectReader& reader) {
  const std::lock_guard lock(m_mutex);
  m_next_faults.freeze = reader.Boolean("freeze", m_faults.freeze);
  m_next_faults.slow_factor =
      reader.Integer("slow_factor", {.default_value = m_faults.slow_factor, .min = 1, .max = kMaxSlowFactor});
  m_next_faults.truncate_answers =
      reader.Integer("truncate_answers", {.default_value = m_faults.truncate_answers, .max = kMaxTruncatedAnswers});
}

void EndpointService::ApplyFaults() {
  const std::lock_guard lock(m_mutex);
  m_faults = m_next_faults;
  m_announcer.SetPaused(m_faults.freeze);
  m_changed.notify_all();
}

nlohmann::json EndpointService::Faults() const {
  const std::lock_guard lock(m_mutex);
  return {{"freeze", m_faults.freeze},
          {"slow_factor", m_faults.slow_factor},
          {"truncate_answers", m_faults.truncate_answers}};
}

void EndpointService::Stop() {
  const std::lock_guard lock(m_mutex);
  m_stopped = true;
  m_changed.notify_all();
}

}  // namespace berylgauge
