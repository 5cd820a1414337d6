#include "router_harness.h"

#include <stdexcept>

namespace berylgauge {
namespace {

/// Keeps each message for the test.
class HeldClient final : public StreamClient {
 public:
  explicit HeldClient(RouterHarness& harness) : m_harness(harness) {}

  void Send(StreamRequest request, absl::Duration /*timeout*/, Callback callback) override {
    if (AbandonedRequestOf(request).empty()) {
      m_harness.messages.push_back({.message = std::move(request), .callback = std::move(callback)});
    } else {
      m_harness.others.push_back(std::move(request));
      callback(StreamResponse{.status = 204, .headers = {}, .body = {}});
    }
  }

 private:
  RouterHarness& m_harness;
};

}  // namespace

RouterHarness::RouterHarness(const std::vector<int>& slots, RequestRouterOptions options) {
  workers = std::make_unique<WorkerDirectory>(
      WorkerRegistry::Options{.own_region = "ie-west"},
      RoutingTable::Options{.own_availability_zone = AvailabilityZoneId("galway-yard"), .own_region = "ie-west"});
  agents = std::make_unique<AgentClients>([this](const std::string&) { return std::make_unique<HeldClient>(*this); });
  router = std::make_unique<RequestRouter>(options, clock, *workers, *agents, claims, metrics);
  for (std::size_t i = 0; i < slots.size(); ++i) Heartbeat(i, slots[i]);
}

RouterHarness::~RouterHarness() = default;

void RouterHarness::Heartbeat(std::size_t worker, int slots) {
  const std::string number = std::to_string(worker + 1);
  workers->Apply({.worker = WorkerId("worker-" + number),
                  .rack = RackId("r1"),
                  .availability_zone = AvailabilityZoneId("galway-yard"),
                  .region = "ie-west",
                  .incarnation = 7,
                  .sequence = ++m_sequence,
                  .boot_id = "b",
                  .address = "127.0.2." + number + ":7411",
                  .endpoints = {{.service = ServiceId("dispatch"),
                                 .address = "127.0.4." + number + ":7430",
                                 .incarnation = 3,
                                 .slots = slots}}},
                 clock.Now());
}

int RouterHarness::Send(const std::string& method, std::vector<std::pair<std::string, std::string>> headers,
                        const std::string& body, const std::string& target) {
  const int number = m_next_number++;
  router->Handle({.method = method,
                  .path = target,
                  .query = {},
                  .target = target,
                  .headers = std::move(headers),
                  .body = body,
                  .peer = "127.0.0.9"},
                 [this, number](WebResponse response) { answers[number] = std::move(response); });
  return number;
}

ForwardedRequest RouterHarness::Front() const {
  if (messages.empty()) throw std::runtime_error("no request is at an agent");
  Result<ForwardedRequest> request = DecodeForwardedRequest(messages.front().message);
  if (!request) throw std::runtime_error(request.error().message);
  return std::move(*request);
}

void RouterHarness::Answer(const ForwardedResponse& response) {
  const StreamClient::Callback callback = std::move(messages.front().callback);
  messages.pop_front();
  callback(EncodeForwardedResponse(response));
}

void RouterHarness::AnswerRan(int status, const std::string& body) {
  Answer({.id = Front().id,
          .verdict = Verdict::kRan,
          .reason = {},
          .response = {.status = status, .headers = {{"content-type", "text/plain"}}, .body = body}});
}

void RouterHarness::AnswerNotRun(const std::string& reason) {
  Answer({.id = Front().id, .verdict = Verdict::kNotRun, .reason = reason, .response = {}});
}

void RouterHarness::AnswerMayHaveRun(const std::string& reason) {
  Answer({.id = Front().id, .verdict = Verdict::kMayHaveRun, .reason = reason, .response = {}});
}

void RouterHarness::AnswerBroken() {
  const StreamClient::Callback callback = std::move(messages.front().callback);
  messages.pop_front();
  callback(MayHaveRun(FailureCode::kUnavailable, "the connection broke"));
}

std::string RouterHarness::HeaderOf(int number, const std::string& name) const {
  for (const auto& [key, value] : answers.at(number).headers) {
    if (key == name) return value;
  }
  return {};
}

}  // namespace berylgauge
