#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <sstream>
#include <string>
#include <thread>

#include "process/crowd.h"
#include "process/platform_cluster.h"
#include "process/process_usage.h"

namespace berylgauge {
namespace {

constexpr int kMemoryMb = 64;
constexpr int kPeakBoundKb = 64 * 1024;
/// Connections of the crowd, and 60 for the process itself and its other peers.
constexpr int kDescriptorBound = 300;
constexpr int kConnections = 240;
/// The readiness and the agents' listeners take 64 connections at a time.
constexpr int kSmallCrowd = 100;
constexpr int kDeclaredBytes = 500'000;
constexpr int kSentBytes = 499'000;
constexpr int kOneByteChunks = 140'000;
/// Time for a listener to read what the operating system holds for it after the last byte was sent.
constexpr std::chrono::seconds kReadingTime{1};

std::string Head(const std::string& framing) {
  return "POST /q/00000000000000a1 HTTP/1.1\r\nHost: h.example\r\n" + framing + "\r\n\r\n";
}

std::string Declared(int bytes) { return Head("Content-Length: " + std::to_string(bytes)); }

std::string Chunked(int chunks, std::size_t chunk_bytes) {
  std::ostringstream text;
  text << Head("Transfer-Encoding: chunked");
  const std::string data(chunk_bytes, 'x');
  for (int i = 0; i < chunks; ++i) text << std::hex << chunk_bytes << "\r\n" << data << "\r\n";
  return text.str();
}

void CheckProcess(ChildProcess& process) {
  std::this_thread::sleep_for(kReadingTime);
  CHECK(process.OwnEnd().empty());
  const std::int64_t peak_kb = PeakBytes(process) / 1024;
  const int descriptors = OpenDescriptors(process);
  WARN("peak " << peak_kb << " kB, " << descriptors << " descriptors");
  CHECK(peak_kb > 0);
  CHECK(peak_kb < kPeakBoundKb);
  CHECK(descriptors < kDescriptorBound);
}

/// One entry whose client listener a crowd sends to. Checks the process and that an ordinary job is accepted while the
/// crowd is connected.
template <typename Attack>
void CheckEntryUnder(const Attack& attack) {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  Crowd crowd(cluster.ClientListener(0), kConnections);
  attack(crowd);
  CheckProcess(cluster.entry(0));
  CHECK(cluster.Call(0, "POST", "/q/00000000000000b1", R"({"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":1}]})")
            .status == 200);
  CheckProcess(cluster.entry(0));
}

// Each test guards against an entry or agent that its clients make exceed the memory of its host, or that no longer
// answers others.

TEST_CASE("large bodies that stall before their end fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) { crowd.SendWhole(Declared(kDeclaredBytes) + std::string(kSentBytes, 'x')); });
}

TEST_CASE("large bodies that arrive in pieces and stall fit the memory of an entry") {
  CheckEntryUnder(
      [](Crowd& crowd) { crowd.SendInTurns(Declared(kDeclaredBytes) + std::string(kSentBytes, 'x'), 20'000); });
}

TEST_CASE("bodies in large chunks that stall fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) { crowd.SendInTurns(Chunked(kSentBytes / 8192, 8192), 50'000); });
}

TEST_CASE("bodies in chunks of one byte that stall fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) { crowd.SendInTurns(Chunked(kOneByteChunks, 1), 60'000); });
}

TEST_CASE("chunked bodies over the limit fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) { crowd.SendInTurns(Chunked(16, 65536), 65536); });
}

TEST_CASE("bodies declared far over the limit fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) { crowd.SendWhole(Declared(100'000'000) + std::string(kSentBytes, 'x')); });
}

TEST_CASE("whole bodies of legal size at once fit the memory of an entry") {
  CheckEntryUnder([](Crowd& crowd) {
    // Valid JSON that takes many times its own size when it is decoded.
    std::string body = "[[]";
    while (body.size() < kSentBytes - 4) body += ",[]";
    crowd.SendInTurns(Declared(static_cast<int>(body.size()) + 1) + body, 50'000);
    crowd.SendWhole("]");
  });
}

TEST_CASE("large bodies to the readiness listener fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  Crowd crowd(cluster.ReadinessListener(0), kSmallCrowd);
  crowd.SendInTurns(Declared(1'000'000) + std::string(999'000, 'x'), 100'000);
  CheckProcess(cluster.entry(0));
  HttpClient http;
  const Result<HttpResponse> ready = http.Call(
      {.method = "GET", .url = "http://" + cluster.ReadinessListener(0) + "/v1/readyz", .headers = {}, .body = {}},
      absl::Seconds(10));
  REQUIRE(ready.has_value());
  CHECK(ready->status == 200);
}

TEST_CASE("large bodies to the heartbeat listener fit the memory of an agent") {
  PlatformCluster cluster(1, 1, {.memory_mb = kMemoryMb});
  Crowd crowd(cluster.HeartbeatListener(0), kSmallCrowd);
  crowd.SendInTurns(Declared(1'000'000) + std::string(999'000, 'x'), 100'000);
  CheckProcess(cluster.agent(0));
  HttpClient http;
  const Result<HttpResponse> answer = http.Call(
      {.method = "POST", .url = "http://" + cluster.HeartbeatListener(0) + "/v1/unknown", .headers = {}, .body = "{}"},
      absl::Seconds(10));
  REQUIRE(answer.has_value());
  CHECK(answer->status == 404);
}

}  // namespace
}  // namespace berylgauge
