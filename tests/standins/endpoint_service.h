#pragma once

#include <condition_variable>
#include <mutex>

#include "announcer.h"
#include "event_record.h"
#include "standin_service.h"

namespace berylgauge {

struct EndpointFaults {
  bool freeze = false;                ///< requests make no progress and nothing is announced
  std::int64_t slow_factor = 1;       ///< multiplies the service time
  std::int64_t truncate_answers = 0;  ///< number of answers that end after half of the body
};

struct EndpointServiceOptions {
  std::int64_t service_ms = 0;
  std::int64_t slots = 1;
};

/// Answers each request with its own body.
class EndpointService final : public StandinService {
 public:
  EndpointService(const EndpointServiceOptions& options, Announcer& announcer, EventRecord& record)
      : m_service_ms(options.service_ms), m_slots(options.slots), m_announcer(announcer), m_record(record) {}

  StandinResponse Handle(const StandinRequest& request) override;
  StandinResponse HandleControl(const StandinRequest& request) override;
  void ReadFaults(JsonObjectReader& reader) override;
  void ApplyFaults() override;
  nlohmann::json Faults() const override;
  void Drain() override { m_announcer.AnnounceLeaving(); }
  bool FinishesRequests() const override { return true; }
  void Stop() override;

 private:
  /// Waits for a slot, for the service time and for the end of a freeze. False if the stand-in was stopped.
  bool Run(const nlohmann::json& description);
  bool TakeTruncatedAnswer();

  std::int64_t m_service_ms;
  const std::int64_t m_slots;
  Announcer& m_announcer;
  EventRecord& m_record;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  EndpointFaults m_faults;
  EndpointFaults m_next_faults;
  std::int64_t m_used_slots = 0;
  bool m_stopped = false;
};

}  // namespace berylgauge
