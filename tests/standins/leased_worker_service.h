#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "base/enum_names.h"
#include "clients/http_client.h"
#include "event_record.h"
#include "standin_service.h"

namespace berylgauge {

struct LeasedWorkerOptions {
  std::string id;
  std::string service = "dispatch";
  std::string zone = "zone-0";
  std::string agent;                ///< "IP:PORT" that takes the heartbeats
  std::int64_t work_ms = 300;       ///< run time of each task; one that lasts is at work after it
  std::int64_t hold_max_ms = 6000;  ///< longest lease
  std::int64_t clock_ms = 0;        ///< clock at the start of the first life
};

/// Calls that the worker takes.
enum class WorkerCall { kStart, kStop, kHold, kPace };

inline constexpr auto kWorkerCallNames = MakeEnumNames<WorkerCall>({
    {WorkerCall::kStart, "start"},
    {WorkerCall::kStop, "stop"},
    {WorkerCall::kHold, "hold"},
    {WorkerCall::kPace, "pace"},
});

struct LeasedWorkerFaults {
  bool draining = false;
  bool quiet = false;                   ///< no heartbeats
  std::set<WorkerCall> keep;            ///< kept without effect and answer until they are played
  std::set<WorkerCall> mute;            ///< carried out, without answer
  bool late_lists = false;              ///< answers that list an end are sent when the fault is over
  std::int64_t fail_runs_after_ms = 0;  ///< run time after which each run fails; 0: none fails
};

/// A worker of the platform: runs under one lease, with run numbers, fence tokens and a list of ends.
///
/// It can die and be born again under its id, or leave in a planned way, while the process goes on.
class LeasedWorkerService final : public StandinService {
 public:
  LeasedWorkerService(LeasedWorkerOptions options, EventRecord& record);
  ~LeasedWorkerService() override;

  StandinResponse Handle(const StandinRequest& request) override;
  StandinResponse HandleControl(const StandinRequest& request) override;
  void ReadFaults(JsonObjectReader& reader) override;
  void ApplyFaults() override;
  nlohmann::json Faults() const override;
  void Stop() override;

 private:
  struct Run {
    int number = 0;
    std::int64_t begun_ms = 0;
    bool lasts = false;  ///< runs until it is stopped
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    int run = 0;
    std::string how;
    bool lapsed = false;  ///< the lease has lapsed since
    bool listed = false;  ///< in the answer to a hold
  };
  /// What a life knows; the next one begins with nothing of it.
  struct Life {
    std::int64_t born = 0;
    std::int64_t clock_zero_ms = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, int> ended_runs;  ///< highest run stopped or ended, by task
    std::vector<End> ends;
    std::int64_t last_end = 0;
    std::int64_t lease_end_ms = 0;
    std::int64_t fence_token = 0;
    std::int64_t heartbeats = 0;
  };
  struct KeptCall {
    std::int64_t number = 0;
    WorkerCall call = WorkerCall::kStart;
    StandinRequest request;
  };

  std::int64_t ClockMs() const;
  void Update();
  void Finish(const std::string& task, const std::string& how);
  /// How a run ends now; nothing if it goes on.
  std::optional<std::string> EndOf(const Run& run) const;
  std::int64_t PercentOf(const Run& run) const;

  void Die();
  /// Says that it drains, then that it leaves, and ends; false if nobody takes the messages.
  bool Leave(std::unique_lock<std::mutex>& lock);
  void BeginLife(std::int64_t clock_ms);
  bool IsIn(std::int64_t born) const { return m_is_up && m_life.born == born; }

  /// Keeps the call and returns when its connection is to be closed.
  StandinResponse Keep(WorkerCall call, const StandinRequest& request, std::unique_lock<std::mutex>& lock);
  /// Carries out the kept calls of these kinds; returns their number.
  int PlayKept(const std::set<WorkerCall>& calls);
  StandinResponse CarryOut(WorkerCall call, const StandinRequest& request);
  StandinResponse Start(const nlohmann::json& body);
  StandinResponse StopRun(const nlohmann::json& body);
  StandinResponse Hold(const nlohmann::json& body);
  /// Waits for an end, and makes the answer to a hold that was accepted.
  StandinResponse AnswerHold(const StandinRequest& request, std::unique_lock<std::mutex>& lock);
  void NoteListed();
  StandinResponse Lists() const;
  StandinResponse Accepted() const;
  StandinResponse Refusal(int status, const std::string& reason) const;
  void ExtendLease(std::int64_t until_ms);

  void RunTimer();
  void SendHeartbeats();
  /// Sends a message about the worker to its agent; false without a 2xx answer.
  bool TellAgent(const std::string& message, const nlohmann::json& body, std::unique_lock<std::mutex>& lock);
  nlohmann::json MakeHeartbeat();

  const LeasedWorkerOptions m_options;
  EventRecord& m_record;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  Life m_life;
  bool m_is_up = true;
  bool m_is_leaving = false;
  bool m_is_telling = false;  ///< a message to the agent is under way
  std::vector<KeptCall> m_kept;
  std::int64_t m_last_kept = 0;
  LeasedWorkerFaults m_faults;
  LeasedWorkerFaults m_next_faults;  ///< read last
  bool m_stopped = false;
  HttpClient m_http;
  std::thread m_timer;
  std::thread m_heartbeats;
};

}  // namespace berylgauge
