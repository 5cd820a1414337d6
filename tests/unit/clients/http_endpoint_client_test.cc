#include "clients/http_endpoint_client.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <rapidcheck.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <set>
#include <thread>

#include "clients/hop_by_hop_headers.h"
#include "support/raw_server.h"
#include "support/standin.h"

namespace berylgauge {
namespace {

constexpr absl::Duration kTimeout = absl::Seconds(20);
constexpr absl::Duration kShortTimeout = absl::Milliseconds(200);
constexpr const char* kIdHeader = "berylgauge-request-id";

EndpointRequest Request(const std::string& id, const std::string& body = "body", const std::string& method = "POST") {
  return {.method = method, .path = "/orders", .headers = {{kIdHeader, id}}, .body = body};
}

std::string HeaderOf(const HeaderList& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return "";
}

/// An endpoint with its client.
struct EndpointFixture {
  explicit EndpointFixture(const std::vector<std::string>& arguments = {}) : endpoint("standin_endpoint", arguments) {}

  Standin endpoint;
  HttpClient http;
  HttpEndpointClient client{http, endpoint.Address()};
};

struct HopByHopCase {
  const char* name;
  HeaderList headers;
  HeaderList kept;
};

// Guards against headers of one connection that change the meaning of the next one.
TEST_CASE("hop-by-hop headers are removed", "[endpoint]") {
  const auto test = GENERATE(values<HopByHopCase>({
      {"none", {{"a", "1"}, {"content-length", "3"}}, {{"a", "1"}, {"content-length", "3"}}},
      {"fixed ones",
       {{"connection", "close"},
        {"keep-alive", "5"},
        {"te", "trailers"},
        {"trailer", "x"},
        {"upgrade", "h2c"},
        {"transfer-encoding", "chunked"},
        {"proxy-authorization", "x"},
        {"proxy-authenticate", "x"},
        {"proxy-connection", "x"},
        {"a", "1"}},
       {{"a", "1"}}},
      {"named ones",
       {{"x-a", "1"}, {"connection", "X-A , close"}, {"x-b", "2"}, {"connection", "x-c"}, {"x-c", "3"}},
       {{"x-b", "2"}}},
      {"repeats stay in order", {{"a", "1"}, {"b", "2"}, {"a", "3"}}, {{"a", "1"}, {"b", "2"}, {"a", "3"}}},
  }));
  INFO(test.name);
  CHECK(WithoutHopByHopHeaders(test.headers) == test.kept);
}

// Guards against requests that arrive changed and answers that are changed on the way back.
TEST_CASE("method, path, headers and body pass through unchanged", "[endpoint]") {
  const auto method = GENERATE(as<std::string>{}, "GET", "POST", "PUT", "PATCH", "DELETE");
  CAPTURE(method);
  EndpointFixture fixture;
  const bool has_body = method != "GET";
  const EndpointRequest request{.method = method,
                                .path = "/a/../b//c%2f?x=%20&x=2",
                                .headers = {{"host", "pools.example"},
                                            {kIdHeader, "r-1"},
                                            {"content-type", "text/plain"},
                                            {"x-a", "1"},
                                            {"x-a", "2"},
                                            {"connection", "x-hop"},
                                            {"x-hop", "1"},
                                            {"expect", "100-continue"},
                                            {"content-length", "999"}},
                                .body = has_body ? "some body" : ""};
  const auto response = fixture.client.Send(request, kTimeout);
  REQUIRE(response.has_value());
  CHECK(response->status == 200);
  CHECK(response->body == request.body);
  CHECK(HeaderOf(response->headers, kIdHeader) == "r-1");
  CHECK(HeaderOf(response->headers, "content-type") == "text/plain");
  const auto starts = fixture.endpoint.Events("request-start");
  REQUIRE(starts.size() == 1);
  CHECK(starts[0]["method"] == method);
  CHECK(starts[0]["target"] == request.path);
  HeaderList received = starts[0]["headers"].get<HeaderList>();
  std::erase_if(received, [](const auto& header) { return header.first == "content-length"; });
  std::stable_sort(received.begin(), received.end());
  HeaderList expected = {
      {kIdHeader, "r-1"}, {"content-type", "text/plain"}, {"host", "pools.example"}, {"x-a", "1"}, {"x-a", "2"}};
  CHECK(received == expected);
}

// Guards against bodies that are cut or changed, such as at a zero byte.
TEST_CASE("any body comes back as it was sent", "[endpoint]") {
  EndpointFixture fixture;
  CHECK(rc::check("any bytes", [&](const std::string& body) {
    const auto response = fixture.client.Send(Request("r", body), kTimeout);
    RC_ASSERT(response.has_value());
    RC_ASSERT(response->body == body);
  }));
  const std::string large(std::size_t{4} << 20, 'x');
  const auto response = fixture.client.Send(Request("large", large), kTimeout);
  REQUIRE(response.has_value());
  CHECK(response->body == large);
}

struct EndpointFault {
  const char* name;
  nlohmann::json faults;
  FailureCode code;
  std::size_t run;  ///< requests that the endpoint runs
};

// Guards against `not run` for a request that ran or may still run, and against a truncated answer taken for a whole
// one.
TEST_CASE("verdicts of a request under faults", "[endpoint]") {
  const auto test = GENERATE(values<EndpointFault>({
      {"no answer", {{"outage", "silent"}}, FailureCode::kDeadlineExceeded, 0},
      {"answer lost", {{"lose_answers", 1}}, FailureCode::kUnavailable, 1},
      {"answer truncated", {{"truncate_answers", 1}}, FailureCode::kCorrupt, 1},
      {"frozen", {{"freeze", true}}, FailureCode::kDeadlineExceeded, 1},
      {"slow", {{"slow_factor", 1000}}, FailureCode::kDeadlineExceeded, 1},
      {"delayed", {{"delay_ms", 600}}, FailureCode::kDeadlineExceeded, 1},
  }));
  INFO(test.name);
  EndpointFixture fixture({"--service-ms=1"});
  fixture.endpoint.SetFaults(test.faults);
  const auto response = fixture.client.Send(Request("r-1"), kShortTimeout);
  REQUIRE_FALSE(response.has_value());
  CHECK(kFailureCodeNames.NameOf(response.error().code) == kFailureCodeNames.NameOf(test.code));
  CHECK(response.error().verdict == Verdict::kMayHaveRun);
  fixture.endpoint.SetFaults({{"outage", "none"}, {"freeze", false}});
  if (test.run > 0) fixture.endpoint.WaitForEvents("request-end", test.run);
  CHECK(fixture.endpoint.Events("request-start").size() == test.run);
  fixture.endpoint.SetFaults({{"delay_ms", 0}, {"slow_factor", 1}, {"lose_answers", 0}, {"truncate_answers", 0}});
  const auto next = fixture.client.Send(Request("r-2"), kTimeout);
  REQUIRE(next.has_value());
  CHECK(next->body == "body");
}

// Guards against an error status of the endpoint being taken for a failure of the connection.
TEST_CASE("an error status is an answer", "[endpoint]") {
  EndpointFixture fixture;
  fixture.endpoint.SetFaults({{"outage", "unavailable"}});
  const auto response = fixture.client.Send(Request("r-1"), kTimeout);
  REQUIRE(response.has_value());
  CHECK(response->status == 503);
}

// Guards against a request that runs twice: libcurl sends it again by itself when a connection that was used before is
// closed without an answer.
TEST_CASE("a request on a reused connection is sent once", "[endpoint]") {
  const auto method = GENERATE(as<std::string>{}, "GET", "POST", "DELETE");
  CAPTURE(method);
  EndpointFixture fixture;
  const std::string body = method == "POST" ? "body" : "";
  REQUIRE(fixture.client.Send(Request("r-1", body, method), kTimeout).has_value());
  fixture.endpoint.SetFaults({{"lose_answers", 1}});
  const auto lost = fixture.client.Send(Request("r-2", body, method), kTimeout);
  REQUIRE_FALSE(lost.has_value());
  CHECK(lost.error().verdict == Verdict::kMayHaveRun);
  const auto starts = fixture.endpoint.Events("request-start");
  REQUIRE(starts.size() == 2);
  CHECK(starts[0]["peer_port"] == starts[1]["peer_port"]);
  CHECK(fixture.client.Send(Request("r-3", body, method), kTimeout).has_value());
}

// Guards against a new connection for each request on the path of callers' requests.
TEST_CASE("connections are kept open and reused", "[endpoint]") {
  constexpr int kRequests = 50;
  EndpointFixture fixture;
  for (int i = 0; i < kRequests; ++i) {
    REQUIRE(fixture.client.Send(Request(std::to_string(i)), kTimeout).has_value());
  }
  std::set<int> ports;
  for (const auto& start : fixture.endpoint.Events("request-start")) ports.insert(start["peer_port"].get<int>());
  CHECK(ports.size() == 1);
  CHECK(fixture.http.IdleConnections() == 1);
}

// Guards against a request that fails because an idle connection was closed when the endpoint was replaced.
TEST_CASE("a connection that was closed while idle is not used", "[endpoint]") {
  EndpointFixture fixture;
  REQUIRE(fixture.client.Send(Request("r-1"), kTimeout).has_value());
  const std::string port = absl::StrCat("--port=", fixture.endpoint.process().port());
  CHECK(fixture.endpoint.process().Stop() == 0);
  const auto refused = fixture.client.Send(Request("r-2"), kTimeout);
  REQUIRE_FALSE(refused.has_value());
  CHECK(refused.error().verdict == Verdict::kNotRun);
  Standin replacement("standin_endpoint", {port});
  REQUIRE(fixture.client.Send(Request("r-3"), kTimeout).has_value());
  CHECK(replacement.Events("request-start").size() == 1);
}

// Guards against `not run` for requests of a process that is paused but accepts connections, and that runs them later.
TEST_CASE("requests to a paused endpoint may have run", "[endpoint]") {
  EndpointFixture fixture;
  REQUIRE(fixture.client.Send(Request("r-1"), kTimeout).has_value());
  fixture.endpoint.process().Pause();
  const auto response = fixture.client.Send(Request("r-2"), kShortTimeout);
  fixture.endpoint.process().Resume();
  REQUIRE_FALSE(response.has_value());
  CHECK(response.error().verdict == Verdict::kMayHaveRun);
  CHECK(fixture.endpoint.WaitForEvents("request-start", 2)[1]["id"] == "r-2");
}

// Guards against an answer that reaches the caller of another request.
TEST_CASE("answers to 16 threads belong to their requests", "[endpoint]") {
  constexpr int kThreads = 16;
  constexpr int kRequests = 100;
  EndpointFixture fixture({"--slots=16"});
  std::atomic<int> matching = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kRequests; ++i) {
        const std::string id = absl::StrCat(t, "-", i);
        const auto response = fixture.client.Send(Request(id, "body of " + id), kTimeout);
        if (response && response->body == "body of " + id && HeaderOf(response->headers, kIdHeader) == id) ++matching;
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  CHECK(matching == kThreads * kRequests);
  std::set<int> ports;
  for (const auto& start : fixture.endpoint.Events("request-start")) ports.insert(start["peer_port"].get<int>());
  CHECK(ports.size() <= kThreads);
}

// Guards against requests that a planned stop of the stand-in would interrupt.
TEST_CASE("an endpoint finishes what is under way before it stops", "[endpoint]") {
  RawServer agent("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
  EndpointFixture fixture({"--service-ms=500", "--agent=" + agent.Address()});
  fixture.endpoint.WaitForEvents("announce", 1);
  Result<EndpointResponse> response;
  std::thread caller([&] { response = fixture.client.Send(Request("r-1"), kTimeout); });
  fixture.endpoint.WaitForEvents("request-start", 1);
  CHECK(fixture.endpoint.process().Stop() == 0);
  caller.join();
  REQUIRE(response.has_value());
  CHECK(response->body == "body");
  const auto announcements = agent.Requests();
  REQUIRE(announcements.size() >= 2);
  CHECK(absl::StrContains(announcements.front(), "POST /v1/endpoints HTTP/1.1"));
  CHECK(absl::StrContains(announcements.front(), R"("leaving":false)"));
  CHECK(absl::StrContains(announcements.front(), "\"address\":\"" + fixture.endpoint.Address() + "\""));
  CHECK(absl::StrContains(announcements.back(), R"("leaving":true)"));
}

// Guards against a path that changes the address of the request.
TEST_CASE("a path that does not begin with a slash is not sent", "[endpoint]") {
  EndpointFixture fixture;
  for (const char* path : {"", "orders", ".example/", "@127.0.0.1/", "/a b", "/a\r\nx: y"}) {
    CAPTURE(path);
    const auto response = fixture.client.Send({.method = "GET", .path = path}, kTimeout);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().code == FailureCode::kInvalidArgument);
    CHECK(response.error().verdict == Verdict::kNotRun);
  }
  CHECK(fixture.endpoint.Events("request-start").empty());
}

}  // namespace
}  // namespace berylgauge
