#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/metrics.h"
#include "daemon/entry/agent_clients.h"
#include "daemon/entry/idempotency_claims.h"
#include "daemon/entry/request_router.h"
#include "daemon/entry/worker_directory.h"
#include "daemon/messages/request_messages.h"
#include "transport/stream_client.h"

namespace berylgauge {

/// A clock that the test moves.
class ManualClock final : public Clock {
 public:
  MonotonicTime Now() const override { return m_now; }
  absl::Time WallNow() const override { return absl::UnixEpoch(); }
  void Advance(absl::Duration duration) { m_now = m_now + duration; }

 private:
  MonotonicTime m_now{absl::Hours(1)};
};

/// Claims as the test decides them.
class FakeClaims final : public IdempotencyClaims {
 public:
  void Claim(const ClaimRequest& request, Callback callback) override {
    claims.push_back(request);
    callbacks.push_back(std::move(callback));
  }
  void Finish(const KeyOutcome& outcome) override { outcomes.push_back(outcome); }
  void Release(const ClaimKey& /*key*/, const RequestId& request) override { releases.push_back(request); }

  std::vector<ClaimRequest> claims;
  std::vector<Callback> callbacks;
  std::vector<KeyOutcome> outcomes;
  std::vector<RequestId> releases;
};

/// A message to an agent that the test has not answered.
struct SentMessage {
  StreamRequest message;
  StreamClient::Callback callback;
};

/// A router with agents and a log that exist in the test only.
class RouterHarness {
 public:
  /// One endpoint of the service "dispatch" for each number of slots.
  explicit RouterHarness(const std::vector<int>& slots, RequestRouterOptions options = {.incarnation = 5});
  ~RouterHarness();

  /// Sends a caller's request; its answer appears in `answers` under the returned number.
  int Send(const std::string& method, std::vector<std::pair<std::string, std::string>> headers = {},
           const std::string& body = "order", const std::string& target = "/dispatch/orders");

  /// Reports that an agent was heard now.
  void Heartbeat(std::size_t worker, int slots);

  /// Answers the oldest message that carries a request.
  void AnswerRan(int status = 201, const std::string& body = "done");
  void AnswerNotRun(const std::string& reason = "no-slot");
  void AnswerMayHaveRun(const std::string& reason);

  /// Breaks the connection to the agent of the oldest request.
  void AnswerBroken();

  /// The oldest request at an agent; the test fails without one.
  ForwardedRequest Front() const;

  std::size_t AtAgents() const { return messages.size(); }
  bool IsAnswered(int number) const { return answers.contains(number); }
  std::string HeaderOf(int number, const std::string& name) const;

  ManualClock clock;
  MetricsRegistry metrics;
  FakeClaims claims;
  std::deque<SentMessage> messages;   ///< requests, oldest first
  std::vector<StreamRequest> others;  ///< other messages to agents
  std::map<int, WebResponse> answers;
  std::unique_ptr<WorkerDirectory> workers;
  std::unique_ptr<AgentClients> agents;
  std::unique_ptr<RequestRouter> router;

 private:
  void Answer(const ForwardedResponse& response);

  std::uint64_t m_sequence = 0;
  int m_next_number = 0;
};

}  // namespace berylgauge
