#include "announcer.h"

#include <absl/random/random.h>

#include <chrono>
#include <limits>
#include <nlohmann/json.hpp>

namespace berylgauge {
namespace {

constexpr auto kInterval = std::chrono::seconds(1);
constexpr absl::Duration kTimeout = absl::Seconds(1);

std::int64_t NewIncarnation() {
  absl::BitGen random;
  return absl::Uniform<std::int64_t>(random, 1, std::numeric_limits<std::int64_t>::max());
}

}  // namespace

Announcer::Announcer(const AnnouncerOptions& options, EventRecord& record)
    : m_options(options), m_incarnation(NewIncarnation()), m_record(record) {}

Announcer::~Announcer() { End(); }

void Announcer::Start(const std::string& address) {
  m_address = address;
  if (!m_options.agent.empty()) m_thread = std::thread([this] { Run(); });
}

void Announcer::SetPaused(bool paused) {
  const std::lock_guard lock(m_mutex);
  m_paused = paused;
}

void Announcer::AnnounceLeaving() {
  if (!m_thread.joinable()) return;
  End();
  Announce(true);
}

void Announcer::Run() {
  std::unique_lock lock(m_mutex);
  while (!m_ended) {
    if (!m_paused) {
      lock.unlock();
      Announce(false);
      lock.lock();
    }
    m_changed.wait_for(lock, kInterval, [&] { return m_ended; });
  }
}

void Announcer::Announce(bool leaving) {
  const std::string body = nlohmann::json{
      {"service", m_options.service},
      {"address", m_address},
      {"slots", m_options.slots},
      {"incarnation", m_incarnation},
      {"leaving", leaving}}.dump();
  const HttpRequest request{.method = "POST",
                            .url = "http://" + m_options.agent + "/v1/endpoints",
                            .headers = {{"content-type", "application/json"}},
                            .body = body};
  const Result<HttpResponse> response = m_http.Call(request, kTimeout);
  nlohmann::json fields = {{"leaving", leaving}, {"status", response ? response->status : 0}};
  if (!response) fields["error"] = response.error().message;
  m_record.Add("announce", std::move(fields));
}

void Announcer::End() {
  {
    const std::lock_guard lock(m_mutex);
    m_ended = true;
    m_changed.notify_all();
  }
  if (m_thread.joinable()) m_thread.join();
}

}  // namespace berylgauge
