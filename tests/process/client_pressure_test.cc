#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "base/absl_string_view.h"
#include "process/cluster.h"
#include "process/crowd.h"
#include "process/flood.h"
#include "process/platform_cluster.h"
#include "process/process_usage.h"
#include "unit/transport/raw_peer.h"

namespace berylgauge {
namespace {

constexpr int kMemoryMb = 64;
constexpr std::int64_t kMemoryBytes = 64'000'000;
/// Connections that a listener with that memory may hold, and 60 for the process itself and its other peers.
constexpr int kDescriptorBound = 300;
constexpr int kConnections = 240;
constexpr int kFloodConnections = 800;
constexpr int kManySources = 200;
/// Of readiness, metrics, heartbeats and the system's own processes, which take 64 connections at a time or fewer.
constexpr int kSmallCrowd = 100;
constexpr int kLargeBodyBytes = 500'000;
constexpr std::chrono::milliseconds kFloodTime{3000};
/// Time for a listener to read what the operating system holds for it after the last byte was sent.
constexpr std::chrono::seconds kReadingTime{1};

constexpr const char* kOrdinaryJob = R"({"spec":"s","steps":[{"count":1,"cpu":500,"mem_mb":1}]})";

std::string JobPath(int number) { return absl::StrCat("/q/", absl::Hex(number, absl::kZeroPad16)); }

std::string UnfinishedJob(int number) {
  return absl::StrCat("POST ", JobPath(number), " HTTP/1.1\r\nHost: h.example\r\nContent-Length: ", kLargeBodyBytes,
                      "\r\n\r\n", std::string(kLargeBodyBytes - 1, 'x'));
}

/// A valid job of some 200 KB whose tasks no worker may run.
std::string LargeJob() {
  const std::string label(250, 'l');
  std::string body = R"({"spec":"s","steps":[)";
  for (int step = 0; step < 240; ++step) {
    absl::StrAppend(&body, step == 0 ? "" : ",", R"({"count":1,"cpu":1,"requires":")", label, R"(","affinity":")",
                    label, R"(","image":")", label, "\"}");
  }
  return body + "]}";
}

/// Steps that each have as many tasks as the system takes, for workers that do not exist.
std::string JobOfManyTasks(int steps) {
  std::string body = R"({"spec":"s","steps":[)";
  for (int step = 0; step < steps; ++step) {
    absl::StrAppend(&body, step == 0 ? "" : ",", R"({"count":4000,"cpu":1,"requires":"none"})");
  }
  return body + "]}";
}

void CheckUse(ChildProcess& process, std::int64_t peak_bytes) {
  CHECK(process.OwnEnd().empty());
  const int descriptors = OpenDescriptors(process);
  WARN("peak " << peak_bytes / 1'000'000 << " MB, " << descriptors << " descriptors");
  CHECK(peak_bytes > 0);
  CHECK(peak_bytes < kMemoryBytes);
  CHECK(descriptors < kDescriptorBound);
}

/// Checks that an entry answers an ordinary submission; it may be repeated, as clients do after a 503.
void CheckAnswersOrdinary(PlatformCluster& cluster, int entry) {
  const absl::Time limit = absl::Now() + absl::Seconds(20);
  int status = 0;
  while (status != 200 && absl::Now() < limit) {
    status = cluster.Call(entry, "POST", "/q/00000000000b0b0b", kOrdinaryJob).status;
    if (status != 200) absl::SleepFor(absl::Milliseconds(100));
  }
  CHECK(status == 200);
}

/// Submits jobs one after the other. Each must be accepted, or rejected with the time after which it may come again.
int SubmitAll(PlatformCluster& cluster, int entry, int jobs, const std::string& body) {
  int accepted = 0;
  for (int number = 1; number <= jobs; ++number) {
    const HttpResponse response = cluster.Call(entry, "POST", JobPath(number), body);
    CAPTURE(number, response.status, response.body);
    const bool is_rejected = response.status == 503 && !response.Header("retry-after").empty();
    REQUIRE((response.status == 200 || is_rejected));
    if (response.status == 200) ++accepted;
  }
  return accepted;
}

constexpr std::uint8_t kAcknowledge = 1;

/// Head of a POST over HTTP/2 to a path of at most 126 bytes.
std::string StreamHead(std::string_view path) {
  // Indexed :method POST and :scheme http, and literal :path and :authority.
  return absl::StrCat("\x83\x86\x04", std::string(1, static_cast<char>(path.size())), ToAbsl(path), "\x01\x01x");
}

std::string DataFrames(std::uint32_t id, std::string_view body) {
  constexpr std::size_t kFrameBytes = 16'000;
  std::string text;
  for (; !body.empty(); body.remove_prefix(std::min(kFrameBytes, body.size()))) {
    text += Frame(kDataFrame, 0, id, body.substr(0, kFrameBytes));
  }
  return text;
}

/// Opens streams of requests that stop just short of their end, over HTTP/2.
std::string UnfinishedStreams(int streams, std::size_t bytes_each) {
  std::string text(kClientPreface);
  text += Frame(kSettingsFrame, 0, 0, {});
  for (int i = 0; i < streams; ++i) {
    const std::uint32_t id = 2 * static_cast<std::uint32_t>(i) + 1;
    text += Frame(kHeadersFrame, kEndHeaders, id, StreamHead("/internal/client"));
    text += DataFrames(id, std::string(bytes_each, 'x'));
  }
  return text;
}

/// Sends 4 MB of unfinished requests on each of many connections, within the window of a stream and of a connection.
void FillInternalListener(Crowd& crowd) {
  const std::string bytes = UnfinishedStreams(4, 240'000);
  const std::size_t preface = kClientPreface.size() + 9;
  crowd.SendWhole(std::string_view(bytes).substr(0, preface));
  // The peer raises the window of a connection with its first frames.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  // The larger window of each stream counts once the peer's settings are acknowledged.
  crowd.SendWhole(Frame(kSettingsFrame, kAcknowledge, 0, {}));
  crowd.SendInTurns(std::string_view(bytes).substr(preface), 100'000);
  std::this_thread::sleep_for(kReadingTime);
}

// Each test guards against a process that its clients make exceed the memory of its host, end or hang, or that no
// longer answers others.

TEST_CASE("bytes that wait for a paused entry fit its memory") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  ChildProcess& entry = cluster.entry(0);
  entry.Pause();
  Flood flood(cluster.ClientListener(0), {.connections = kFloodConnections});
  flood.Send(UnfinishedJob(1), kFloodTime);
  const std::int64_t unread = UnreadBytes(cluster.EntryIp(0));
  CheckUse(entry, PeakBytes(entry) + unread);
  entry.Resume();
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(entry, PeakBytes(entry));
}

TEST_CASE("a flood of connections with large bodies fits the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  std::vector<std::unique_ptr<Flood>> floods;
  for (int i = 0; i < 3; ++i) {
    floods.push_back(
        std::make_unique<Flood>(cluster.ClientListener(0), FloodOptions{.connections = kFloodConnections}));
    floods.back()->Send(UnfinishedJob(1), kFloodTime);
  }
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("a flood from many addresses fits the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  Flood flood(cluster.ClientListener(0), {.connections = kFloodConnections, .sources = kManySources});
  flood.Send(UnfinishedJob(1), kFloodTime);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("many calls whose answers nobody reads fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  std::string calls;
  for (int i = 0; i < 3000; ++i) calls += "GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n";
  Flood flood(cluster.ClientListener(0), {.connections = kFloodConnections});
  flood.Send(calls, kFloodTime);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("crowds at all listeners at once fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  Flood clients(cluster.ClientListener(0), {.connections = kFloodConnections});
  Flood readiness(cluster.ReadinessListener(0), {.connections = kSmallCrowd});
  Flood metrics(cluster.MetricsListener(0), {.connections = kSmallCrowd});
  Crowd internal(cluster.EntryInternalListener(0), kSmallCrowd);
  readiness.Send(UnfinishedJob(1), kFloodTime);
  metrics.Send(UnfinishedJob(1), kFloodTime);
  clients.Send(UnfinishedJob(1), kFloodTime);
  FillInternalListener(internal);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("unfinished requests to the internal listener fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  Crowd crowd(cluster.EntryInternalListener(0), kSmallCrowd);
  FillInternalListener(crowd);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("requests with large heads to the internal listener fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  Crowd crowd(cluster.EntryInternalListener(0), kSmallCrowd);
  crowd.SendWhole(absl::StrCat(ToAbsl(kClientPreface), Frame(kSettingsFrame, 0, 0, {})));
  // A literal field "x" of 14,000 bytes: the length is 127 + 13,873 in the coding of integers with a prefix of 7 bits.
  const std::string head = absl::StrCat(StreamHead("/internal/client"), std::string("\x00\x01x", 3), "\x7f\xb1\x6c",
                                        std::string(14'000, 'x'));
  std::string streams;
  for (std::uint32_t i = 0; i < 128; ++i) streams += Frame(kHeadersFrame, kEndHeaders, 2 * i + 1, head);
  crowd.SendInTurns(streams, 100'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("unfinished requests to the internal listener fit the memory of an agent") {
  PlatformCluster cluster(1, 1, {.memory_mb = kMemoryMb});
  CheckAnswersOrdinary(cluster, 0);
  REQUIRE(cluster.WaitForState(0, "00000000000b0b0b", "done", absl::Seconds(20)));
  const UsageWatch watch(cluster.agent(0), cluster.AgentIp(0));
  Crowd crowd(cluster.AgentInternalListener(0), kSmallCrowd);
  FillInternalListener(crowd);
  CHECK(cluster.Call(0, "POST", JobPath(1), kOrdinaryJob).status == 200);
  CHECK(cluster.WaitForState(0, JobPath(1).substr(3), "done", absl::Seconds(20)));
  CheckUse(cluster.agent(0), watch.peak_bytes());
}

TEST_CASE("large jobs that are accepted fit the memory of both entries") {
  PlatformCluster cluster(2, 0, {.memory_mb = kMemoryMb});
  CHECK(SubmitAll(cluster, 0, 400, LargeJob()) > 0);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
  CheckUse(cluster.entry(1), PeakBytes(cluster.entry(1)));
  // Whichever owns the decisions, the other one takes them over with all that was accepted.
  cluster.entry(0).Kill();
  CheckAnswersOrdinary(cluster, 1);
  std::this_thread::sleep_for(std::chrono::seconds(5));
  CheckAnswersOrdinary(cluster, 1);
  CheckUse(cluster.entry(1), PeakBytes(cluster.entry(1)));
}

TEST_CASE("jobs that are refused for memory are not stored") {
  constexpr int kClients = 8;
  constexpr int kJobsOfClient = 60;
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  const std::string body = LargeJob();
  std::vector<std::vector<int>> refused(kClients);
  {
    std::vector<std::jthread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        for (int i = 0; i < kJobsOfClient; ++i) {
          const int job = 1 + client * kJobsOfClient + i;
          const int status = cluster.Call(0, "POST", JobPath(job), body).status;
          if (status != 200 && status != 504 && status != 0) refused[static_cast<std::size_t>(client)].push_back(job);
        }
      });
    }
  }
  for (const std::vector<int>& of_client : refused) {
    for (const int job : of_client) {
      CAPTURE(job);
      CHECK(cluster.Call(0, "GET", JobPath(job)).status == 410);
    }
  }
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("large jobs that come at once fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  const std::string body = LargeJob();
  const std::string head = absl::StrCat("Host: h.example\r\nContent-Length: ", body.size(), "\r\n\r\n");
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (int i = 0; i < 8; ++i) {
    crowds.push_back(std::make_unique<Crowd>(cluster.ClientListener(0), 50));
    crowds.back()->SendInTurns(absl::StrCat("POST ", JobPath(1 + i), " HTTP/1.1\r\n", head, body), 20'000);
  }
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("a job of very many tasks fits the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const HttpResponse response = cluster.Call(0, "POST", JobPath(1), JobOfManyTasks(100));
  CHECK((response.status == 200 || response.status == 400 || response.status == 503));
  CheckAnswersOrdinary(cluster, 0);
  std::this_thread::sleep_for(kReadingTime);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
}

TEST_CASE("many jobs of many tasks fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  CHECK(SubmitAll(cluster, 0, 100, JobOfManyTasks(1)) > 0);
  CheckAnswersOrdinary(cluster, 0);
  std::this_thread::sleep_for(kReadingTime);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
}

TEST_CASE("jobs with very many due occurrences fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const std::string body =
      R"({"spec":"s","repeats":1000000,"start_ms":1,"interval_ms":1,"steps":[{"count":1,"cpu":1,"requires":"none"}]})";
  CHECK(SubmitAll(cluster, 0, 100, body) > 0);
  CheckAnswersOrdinary(cluster, 0);
  std::this_thread::sleep_for(std::chrono::seconds(3));
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
  CheckAnswersOrdinary(cluster, 0);
}

/// Tests of 160 MB show what a small host of the platform accepts; the others need no such size.
constexpr int kSmallHostMb = 160;

TEST_CASE("many jobs that no worker may run do not hold up an entry") {
  constexpr int kClients = 8;
  constexpr int kJobsOfClient = 2000;
  PlatformCluster cluster(1, 1, {.memory_mb = kSmallHostMb});
  const std::string body = R"({"spec":"s","steps":[{"count":1,"cpu":1,"requires":"none"}]})";
  {
    std::vector<std::jthread> clients;
    for (int client = 0; client < kClients; ++client) {
      clients.emplace_back([&, client] {
        for (int i = 0; i < kJobsOfClient; ++i) {
          cluster.Call(0, "POST", JobPath(1 + client * kJobsOfClient + i), body);
        }
      });
    }
  }
  CheckAnswersOrdinary(cluster, 0);
  CHECK(cluster.WaitForState(0, "00000000000b0b0b", "done", absl::Seconds(20)));
  CHECK(cluster.entry(0).OwnEnd().empty());
  CHECK(PeakBytes(cluster.entry(0)) < kSmallHostMb * std::int64_t{1'000'000});
}

/// A whole request whose body is deeply nested, or would be if it ended.
std::string NestedRequest(std::string_view path, int depth) {
  return absl::StrCat("POST ", ToAbsl(path), " HTTP/1.1\r\nHost: h.example\r\nContent-Length: ", depth, "\r\n\r\n",
                      std::string(static_cast<std::size_t>(depth), '['));
}

TEST_CASE("deeply nested bodies fit the memory of an entry") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  Crowd crowd(cluster.ClientListener(0), kConnections);
  crowd.SendInTurns(NestedRequest(JobPath(1), kLargeBodyBytes), 50'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("deeply nested heartbeats fit the memory of an agent") {
  PlatformCluster cluster(1, 1, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.agent(0), cluster.AgentIp(0));
  Crowd crowd(cluster.HeartbeatListener(0), kSmallCrowd);
  crowd.SendInTurns(NestedRequest("/v1/instances/x/heartbeat", 2 * kLargeBodyBytes), 100'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrdinary(cluster, 0);
  CHECK(cluster.WaitForState(0, "00000000000b0b0b", "done", absl::Seconds(20)));
  CheckUse(cluster.agent(0), watch.peak_bytes());
}

TEST_CASE("an entry beside a crowd is stopped as planned") {
  PlatformCluster cluster(2, 0, {.memory_mb = kMemoryMb});
  Flood flood(cluster.ClientListener(0), {.connections = kFloodConnections});
  flood.Send(UnfinishedJob(1), kFloodTime);
  CHECK(cluster.entry(0).OwnEnd().empty());
  // An entry that does not end in time is killed and returns -1.
  CHECK(cluster.entry(0).Stop() >= 0);
  CheckAnswersOrdinary(cluster, 1);
}

TEST_CASE("an entry beside a crowd gets its store back") {
  PlatformCluster cluster(1, 0, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(0), cluster.EntryIp(0));
  cluster.store().process().Pause();
  Flood flood(cluster.ClientListener(0), {.connections = kFloodConnections});
  flood.Send(UnfinishedJob(1), kFloodTime);
  const std::string body = LargeJob();
  Crowd crowd(cluster.ClientListener(0), kConnections);
  crowd.SendInTurns(absl::StrCat("POST ", JobPath(1), " HTTP/1.1\r\nHost: h.example\r\nContent-Length: ", body.size(),
                                 "\r\n\r\n", body),
                    50'000);
  cluster.store().process().Resume();
  CheckAnswersOrdinary(cluster, 0);
  CheckUse(cluster.entry(0), watch.peak_bytes());
}

TEST_CASE("large jobs that are passed on fit the memory of both entries") {
  PlatformCluster cluster(2, 0, {.memory_mb = kMemoryMb});
  const UsageWatch first(cluster.entry(0), cluster.EntryIp(0));
  const UsageWatch second(cluster.entry(1), cluster.EntryIp(1));
  cluster.store().SetFaults({{"turned_away", "edge-0."}});
  const std::string body = LargeJob();
  const std::string head = absl::StrCat("Host: h.example\r\nContent-Length: ", body.size(), "\r\n\r\n");
  std::vector<std::unique_ptr<Crowd>> crowds;
  for (int i = 0; i < 8; ++i) {
    crowds.push_back(std::make_unique<Crowd>(cluster.ClientListener(0), 50));
    crowds.back()->SendInTurns(absl::StrCat("POST ", JobPath(1 + i), " HTTP/1.1\r\n", head, body), 20'000);
  }
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrdinary(cluster, 0);
  cluster.store().SetFaults({{"turned_away", ""}});
  CheckAnswersOrdinary(cluster, 1);
  CheckUse(cluster.entry(0), first.peak_bytes());
  CheckUse(cluster.entry(1), second.peak_bytes());
}

TEST_CASE("crowds beside both entries do not keep one from the ownership of the other") {
  PlatformCluster cluster(2, 1, {.memory_mb = kMemoryMb});
  const UsageWatch watch(cluster.entry(1), cluster.EntryIp(1));
  Flood first(cluster.ClientListener(0), {.connections = kFloodConnections});
  Flood second(cluster.ClientListener(1), {.connections = kFloodConnections});
  first.Send(UnfinishedJob(1), kFloodTime);
  second.Send(UnfinishedJob(1), kFloodTime);
  cluster.entry(0).Kill();
  CheckAnswersOrdinary(cluster, 1);
  CHECK(cluster.WaitForState(1, "00000000000b0b0b", "done", absl::Seconds(30)));
  CheckUse(cluster.entry(1), watch.peak_bytes());
}

/// An installation without the platform whose processes have little memory for requests.
ClusterOptions SmallInstallation() {
  ClusterOptions options{.entries = 1, .zones = 1};
  options.entry["request_memory_mb"] = 16;
  options.agent["request_memory_mb"] = 16;
  return options;
}

std::string UnfinishedOrder(std::string_view path) {
  return absl::StrCat("POST ", ToAbsl(path), " HTTP/1.1\r\nHost: h\r\nContent-Length: ", kLargeBodyBytes, "\r\n\r\n",
                      std::string(kLargeBodyBytes - 1, 'x'));
}

void CheckAnswersOrder(Cluster& cluster) {
  HttpClient http;
  const std::string url = "http://" + cluster.CallersListener(0) + "/dispatch/orders/one";
  Cluster::WaitFor("an ordinary order to be answered", absl::Seconds(20), [&] {
    const Result<HttpResponse> response =
        http.Call({.method = "POST", .url = url, .headers = {}, .body = "one"}, absl::Seconds(5));
    return response && response->status == 200 && response->body == "one";
  });
}

TEST_CASE("unfinished orders fit the memory of an entry of the plain installation") {
  Cluster cluster(SmallInstallation());
  Crowd callers(cluster.CallersListener(0), kConnections);
  callers.SendInTurns(UnfinishedOrder("/dispatch/orders/x"), 50'000);
  Crowd operators(cluster.OperatorsListener(0), kConnections);
  operators.SendInTurns(UnfinishedOrder("/v1/jobs"), 50'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrder(cluster);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
}

TEST_CASE("whole orders at once fit the memory of the plain installation") {
  Cluster cluster(SmallInstallation());
  Crowd callers(cluster.CallersListener(0), kConnections);
  callers.SendInTurns(UnfinishedOrder("/dispatch/orders/x"), 50'000);
  callers.SendWhole("x");
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrder(cluster);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
  CheckUse(cluster.agent(0), PeakBytes(cluster.agent(0)));
}

TEST_CASE("deeply nested bodies fit the memory of the plain installation") {
  Cluster cluster(SmallInstallation());
  Crowd operators(cluster.OperatorsListener(0), kConnections);
  operators.SendInTurns(NestedRequest("/v1/jobs", kLargeBodyBytes), 50'000);
  Crowd endpoints(cluster.EndpointsListener(0), kSmallCrowd);
  endpoints.SendInTurns(NestedRequest("/v1/endpoints", kLargeBodyBytes), 50'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrder(cluster);
  CheckUse(cluster.entry(0), PeakBytes(cluster.entry(0)));
  CheckUse(cluster.agent(0), PeakBytes(cluster.agent(0)));
}

TEST_CASE("a deeply nested message does not end an agent of the plain installation") {
  constexpr std::size_t kDepth = 200'000;
  Cluster cluster(SmallInstallation());
  Crowd crowd(cluster.AgentInternalListener(0), 1);
  crowd.SendWhole(absl::StrCat(ToAbsl(kClientPreface), Frame(kSettingsFrame, 0, 0, {})));
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  crowd.SendWhole(Frame(kSettingsFrame, kAcknowledge, 0, {}));
  // Each byte is a list of one element in CBOR.
  crowd.SendWhole(absl::StrCat(Frame(kHeadersFrame, kEndHeaders, 1, StreamHead("/internal/start")),
                               DataFrames(1, std::string(kDepth, '\x81')), Frame(kDataFrame, kEndStream, 1, {})));
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrder(cluster);
  CheckUse(cluster.agent(0), PeakBytes(cluster.agent(0)));
}

TEST_CASE("unfinished announcements fit the memory of an agent of the plain installation") {
  Cluster cluster(SmallInstallation());
  Crowd crowd(cluster.EndpointsListener(0), kSmallCrowd);
  crowd.SendInTurns(UnfinishedOrder("/v1/endpoints"), 50'000);
  std::this_thread::sleep_for(kReadingTime);
  CheckAnswersOrder(cluster);
  CheckUse(cluster.agent(0), PeakBytes(cluster.agent(0)));
}

}  // namespace
}  // namespace berylgauge
