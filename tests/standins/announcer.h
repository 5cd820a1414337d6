#pragma once

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>

#include "clients/http_client.h"
#include "event_record.h"

namespace berylgauge {

struct AnnouncerOptions {
  std::string agent;  ///< "IP:PORT"; empty means that nothing is announced
  std::string service;
  int slots = 1;
};

/// Announces an endpoint to its agent every second.
class Announcer {
 public:
  Announcer(const AnnouncerOptions& options, EventRecord& record);
  ~Announcer();
  Announcer(const Announcer&) = delete;
  Announcer& operator=(const Announcer&) = delete;

  /// Begins to announce `address` ("IP:PORT").
  void Start(const std::string& address);

  /// While paused, nothing is announced.
  void SetPaused(bool paused);

  /// Announces once that the endpoint is leaving and ends the announcements.
  void AnnounceLeaving();

 private:
  void Run();
  void Announce(bool leaving);
  void End();

  const AnnouncerOptions m_options;
  const std::int64_t m_incarnation;
  EventRecord& m_record;
  HttpClient m_http;
  std::string m_address;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  bool m_paused = false;
  bool m_ended = false;
  std::thread m_thread;
};

}  // namespace berylgauge
