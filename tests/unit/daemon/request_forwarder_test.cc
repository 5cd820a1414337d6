#include "daemon/agent/request_forwarder.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <memory>

#include "base/metrics.h"
#include "daemon/agent/agent_core.h"
#include "router_harness.h"

namespace berylgauge {
namespace {

/// Counts the requests that reach the endpoint.
class CountingClient final : public EndpointClient {
 public:
  explicit CountingClient(std::atomic<int>& requests) : m_requests(requests) {}
  Result<EndpointResponse> Send(const EndpointRequest& /*request*/, absl::Duration /*timeout*/) override {
    m_requests.fetch_add(1);
    return EndpointResponse{.status = 200, .headers = {}, .body = "done"};
  }

 private:
  std::atomic<int>& m_requests;
};

// Guards against a request that runs after its entry gave it up, for example because the message was overtaken.
TEST_CASE("an agent refuses what was given up before it arrived", "[daemon][forwarder]") {
  const ManualClock clock;
  MetricsRegistry metrics;
  std::atomic<int> requests{0};
  constexpr Incarnation kAgent = 7;
  AgentCore core({.worker = WorkerId("worker-1")}, kAgent, clock.Now());
  core.Announce({.service = ServiceId("dispatch"), .address = "127.0.4.1:7430", .incarnation = 3, .slots = 2},
                clock.Now());
  RequestForwarder forwarder(
      core, clock, metrics, [&](const std::string&) { return std::make_unique<CountingClient>(requests); }, 1);
  const auto call = [&](StreamRequest message) {
    auto promise = std::make_shared<std::promise<StreamResponse>>();
    forwarder.Handle(std::move(message),
                     [promise](StreamResponse response) { promise->set_value(std::move(response)); });
    return promise->get_future().get();
  };
  const auto request_of = [&](const RequestId& id) {
    return EncodeForwardedRequest({.id = id,
                                   .agent_incarnation = kAgent,
                                   .service = ServiceId("dispatch"),
                                   .endpoint_address = "127.0.4.1:7430",
                                   .timeout = absl::Seconds(1),
                                   .request = {.method = "POST", .path = "/orders", .headers = {}, .body = "order"}});
  };
  const RequestId given_up = FormatRequestId({.entry_incarnation = 5, .number = 1});
  const RequestId other = FormatRequestId({.entry_incarnation = 5, .number = 2});
  CHECK(DecodeForwardedResponse(call(EncodeAbandonment(given_up)), given_up)->verdict == Verdict::kNotRun);
  CHECK(DecodeForwardedResponse(call(request_of(given_up)), given_up)->verdict == Verdict::kNotRun);
  CHECK(requests.load() == 0);
  CHECK(DecodeForwardedResponse(call(request_of(other)), other)->verdict == Verdict::kRan);
  CHECK(DecodeForwardedResponse(call(EncodeAbandonment(other)), other)->verdict != Verdict::kNotRun);
  CHECK(requests.load() == 1);
}

}  // namespace
}  // namespace berylgauge
