#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "clients/async_http_client.h"
#include "platform/http_keyed_log.h"
#include "platform/http_worker_port.h"
#include "platform/job_request.h"
#include "platform/operator_records.h"
#include "platform/platform_settings.h"
#include "platform/worker_heartbeat.h"
#include "transport/event_loop.h"

namespace berylgauge::platform {
namespace {

/// Replaces `field` in `text`, which has it once.
std::string With(std::string text, const std::string& field, const std::string& replacement) {
  const std::size_t at = text.find(field);
  REQUIRE(at != std::string::npos);
  return text.replace(at, field.size(), replacement);
}

std::string Nested(int levels) { return std::string(static_cast<std::size_t>(levels), '['); }

std::string NestedAndClosed(int levels) { return Nested(levels) + std::string(static_cast<std::size_t>(levels), ']'); }

constexpr int kManyLevels = 100'000;

struct ChangeRow {
  const char* field;
  std::string replacement;
  bool valid = false;
};

// Guards against a worker of enormous or negative capacity that draws all tasks or none, and against a time of start or
// a sequence number after which the worker's own heartbeats count as old.
TEST_CASE("a heartbeat with a value out of range names no worker", "[platform]") {
  const std::string valid =
      R"({"service":"s","zone":"z","labels":["a","r1"],"capacity":{"cpu":16000,"mem_mb":32768,"gpu":2},"remaining_ms":7,"state":"ready","born":1764900000000,"seq":4})";
  const ChangeRow row = GENERATE(
      ChangeRow{"16000", "0", true}, ChangeRow{"16000", "-1"}, ChangeRow{"16000", "1e300"}, ChangeRow{"16000", "1e400"},
      ChangeRow{"16000", "9223372036854775807"}, ChangeRow{"16000", "18446744073709551615"},
      ChangeRow{"16000", "99999999999999999999999"}, ChangeRow{"16000", "true"}, ChangeRow{"16000", "null"},
      ChangeRow{"16000", NestedAndClosed(kManyLevels)}, ChangeRow{"16000", Nested(kManyLevels)},
      ChangeRow{"32768", "-32768"}, ChangeRow{"32768", "1e300"}, ChangeRow{"\"gpu\":2", "\"gpu\":-2"},
      ChangeRow{"\"gpu\":2", "\"gpu\":1e19"}, ChangeRow{"\"gpu\":2", "\"gpu\":\"2\""},
      ChangeRow{"\"remaining_ms\":7", "\"remaining_ms\":1e300"},
      ChangeRow{"\"remaining_ms\":7", "\"remaining_ms\":7.5", true}, ChangeRow{"1764900000000", "9223372036854775807"},
      ChangeRow{"1764900000000", "1e300"}, ChangeRow{"1764900000000", "-5"},
      ChangeRow{"1764900000000", "\"1764900000000\""}, ChangeRow{"\"seq\":4", "\"seq\":-1"},
      ChangeRow{"\"seq\":4", "\"seq\":18446744073709551615"}, ChangeRow{"\"seq\":4", "\"seq\":1e300"},
      ChangeRow{"\"seq\":4", "\"seq\":4,\"seq\":\"x\""}, ChangeRow{"\"ready\"", "\"lost\""},
      ChangeRow{"\"ready\"", "{}"}, ChangeRow{"\"s\"", "\"\""}, ChangeRow{"\"s\"", "\"\xff\""}, ChangeRow{"\"s\"", "7"},
      ChangeRow{"\"r1\"", "7"}, ChangeRow{"[\"a\",\"r1\"]", "{}"}, ChangeRow{"[\"a\",\"r1\"]", "7"},
      ChangeRow{"{\"cpu\":16000,\"mem_mb\":32768,\"gpu\":2}", "[]"});
  CAPTURE(row.field, row.replacement.substr(0, 40));
  CHECK(DecodeHeartbeat("w1", With(valid, row.field, row.replacement)).has_value() == row.valid);
}

// Guards against lists with a run or an end of another number than the worker gave.
TEST_CASE("lists with a value out of range are refused", "[platform]") {
  const std::string valid =
      R"({"clock_ms":482113,"born":17,"running":[["a.0.1.17",21,"c",41,33]],"ended":[[58,"a.0.1.9",12,"done",""]]})";
  const ChangeRow row =
      GENERATE(ChangeRow{"482113", "482113", true}, ChangeRow{"482113", "1e300"}, ChangeRow{"482113", "-1"},
               ChangeRow{"482113", "9223372036854775807"}, ChangeRow{"17,", "1e300,"}, ChangeRow{"21,", "-1,"},
               ChangeRow{"21,", "4294967297,"}, ChangeRow{"21,", "1e300,"}, ChangeRow{"21,", "true,"},
               ChangeRow{"41", "99.5", true}, ChangeRow{"41", "1e300"}, ChangeRow{"41", "-1"},
               ChangeRow{"33", "12.5", true}, ChangeRow{"33", "1e300"}, ChangeRow{"33", "-1"}, ChangeRow{"58", "1e300"},
               ChangeRow{"58", "-1"}, ChangeRow{"58", "9223372036854775807"}, ChangeRow{"12", "4294967297"},
               ChangeRow{"\"done\"", "\"odd\""}, ChangeRow{"\"done\"", "7"}, ChangeRow{"\"c\"", "\"\xff\""},
               ChangeRow{"[[58", Nested(kManyLevels) + "[[58"}, ChangeRow{"58", NestedAndClosed(kManyLevels)});
  CAPTURE(row.field, row.replacement.substr(0, 40));
  CHECK(DecodeHold(With(valid, row.field, row.replacement)).has_value() == row.valid);
}

struct StartRow {
  int status;
  const char* body;
  bool valid;
};

// Guards against an agent that ends because of the type of one field in an answer.
TEST_CASE("an odd answer to a start is a failure and no exception", "[platform]") {
  const StartRow row =
      GENERATE(StartRow{409, R"({"reason":7})", false}, StartRow{409, R"({"reason":null})", false},
               StartRow{409, R"({"reason":["room"]})", false}, StartRow{409, "[", false}, StartRow{409, "\xff", false},
               StartRow{200, R"({"clock_ms":"x"})", true}, StartRow{200, R"({"clock_ms":1e300})", true},
               StartRow{200, R"({"clock_ms":18446744073709551615})", true});
  INFO(row.body);
  const auto answer = DecodeStart({.status = row.status, .headers = {}, .body = row.body});
  CHECK(answer.has_value() == row.valid);
  if (answer) CHECK(answer->clock_ms == 0);
}

// Guards against a reader that asks for the same page for ever because another writer left one odd key in it.
TEST_CASE("an odd key in a page does not hide the others", "[platform]") {
  const std::string key = GENERATE("odd", "", "\xff\xfe", "\xc3", "\xed\xa0\x80", R"(\u0000\")");
  const std::string page =
      R"({"items":[{"key":"a","value":"eA==","offset":1},{"key":")" + key +
      R"(","value":"gYGB","offset":4},{"key":"z","value":"eA==","offset":5}],"more":true,"end":6})";
  const auto decoded = DecodeLogNewest(page);
  REQUIRE(decoded.has_value());
  REQUIRE(decoded->records.size() == 3);
  CHECK(decoded->records[0].key == "a");
  CHECK(decoded->records[1].value == "\x81\x81\x81");
  CHECK(decoded->records[2].key == "z");
  CHECK(decoded->next_after == "z");
}

// What the store itself writes is not another writer's; without it, records would be lost unseen.
TEST_CASE("a page with a malformed item is refused whole", "[platform]") {
  const std::string item = GENERATE(R"({"key":"k","value":"!","offset":4})", R"({"key":"k","value":7,"offset":4})",
                                    R"({"value":"","offset":4})", R"({"key":7,"value":"","offset":4})",
                                    R"({"key":"k","value":"","offset":1e300})", R"({"key":"k","value":""})",
                                    R"({"key":"k","value":"","offset":-1})", "7", "null", "[[[]]]");
  INFO(item);
  CHECK(!DecodeLogNewest(R"({"items":[)" + item + R"(],"end":6})"));
}

// Guards against offsets that never match the end of the partition.
TEST_CASE("a page or a read whose end is out of range is refused", "[platform]") {
  const std::string end = GENERATE("1e300", "-1", "1e400", "18446744073709551615", "\"6\"", "null", "true");
  CHECK(!DecodeLogNewest(R"({"items":[],"end":)" + end + "}"));
  CHECK(!DecodeLogRead(std::string(16, '\xff'), 0));
}

// Guards against an agent that ends because a job of another writer has a text that is no UTF-8.
TEST_CASE("a start with any bytes is sent", "[platform]") {
  EventLoop loop;
  const std::string odd = "\xff\xfe";
  // The client is used, and destroyed, on the loop's thread.
  loop.RunSync([&] {
    AsyncHttpClient client(loop);
    HttpWorkerPort port(client, {.host = "127.0.0.1", .port = 1});
    CHECK_NOTHROW(port.Start({.life = {.worker = "w1", .born = 5},
                              .fencing_token = 1,
                              .task = odd,
                              .run = 1,
                              .payload = odd,
                              .checkpoint = odd,
                              .ticket = odd},
                             absl::Seconds(1), [](const Result<workflow::StartAnswer>&) {}));
    CHECK_NOTHROW(port.Stop({.life = {.worker = "w1", .born = 5}, .fencing_token = 1, .task = odd, .run = 1},
                            absl::Seconds(1), [](const Result<void>&) {}));
  });
}

// Guards against a configuration that is used although one of its numbers was cut down to another one.
TEST_CASE("a configuration with a value out of range is refused", "[platform]") {
  const std::string valid =
      R"({"version":7,"routes":[{"host":"h","path_prefix":"/a/","service":"s","priority":3,"attempts":2,"stretch":1.5,"target_latency_ms":44,"advice":{"valid_ms":66}}]})";
  const ChangeRow row = GENERATE(
      ChangeRow{"7", "8", true}, ChangeRow{"7", "1e300"}, ChangeRow{"7", "-1"}, ChangeRow{"7", "18446744073709551615"},
      ChangeRow{"7", "\"7\""}, ChangeRow{"3", "1e300"}, ChangeRow{"3", "4294967296"},
      ChangeRow{"\"attempts\":2", "\"attempts\":-1"}, ChangeRow{"\"attempts\":2", "\"attempts\":4294967297"},
      ChangeRow{"1.5", "-1"}, ChangeRow{"1.5", "1e300"}, ChangeRow{"44", "1e300"}, ChangeRow{"44", "-1"},
      ChangeRow{"66", "1e300"}, ChangeRow{"\"s\"", "7"}, ChangeRow{"\"s\"", "\"\xff\""},
      ChangeRow{"\"s\"", NestedAndClosed(kManyLevels)}, ChangeRow{"\"s\"", Nested(kManyLevels)},
      ChangeRow{"[{", "[7,{"});
  CAPTURE(row.field, row.replacement.substr(0, 40));
  CHECK(OperatorRecords().Decode("config", With(valid, row.field, row.replacement)).has_value() == row.valid);
}

// Guards against a process that ends, or calls another port, because of the settings that it reads again.
TEST_CASE("settings with a value out of range are refused", "[platform]") {
  const std::string valid =
      R"({"node":"e1","ip":"10.0.0.1","zone":"z","listen":{"front":"10.0.0.1:81","ready":"10.0.0.1:82"},"port_range":[700,900],"platform":{"addr":"10.0.0.2:5000"},"bounds":{"grace_s":6.5}})";
  const ChangeRow row =
      GENERATE(ChangeRow{"700", "65535", true}, ChangeRow{"700", "0"}, ChangeRow{"700", "-1"},
               ChangeRow{"700", "65536"}, ChangeRow{"700", "4294967377"}, ChangeRow{"700", "18446744073709551615"},
               ChangeRow{"700", "1e300"}, ChangeRow{"5000", "0"}, ChangeRow{"5000", "-1"}, ChangeRow{"5000", "65536"},
               ChangeRow{"5000", "1000000000"}, ChangeRow{"5000", "99999999999999999999"}, ChangeRow{"81", "65536"},
               ChangeRow{"82", "-82"}, ChangeRow{"\"e1\"", "7"}, ChangeRow{"\"10.0.0.1\"", "[]"},
               ChangeRow{"\"z\"", "{}"}, ChangeRow{"6.5", "1e300"}, ChangeRow{"6.5", "-1"},
               ChangeRow{"6.5", NestedAndClosed(kManyLevels), true}, ChangeRow{"6.5", Nested(kManyLevels)});
  CAPTURE(row.field, row.replacement.substr(0, 40));
  CHECK(ParsePlatformSettings(With(valid, row.field, row.replacement)).has_value() == row.valid);
}

// Guards against a job that asks for another number than its client wrote, or that costs the process its memory.
TEST_CASE("a job's body with a value out of range is refused", "[platform]") {
  const std::string valid =
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"target_ms":80,"may_miss":1},{"after":[0]}],"repeats":3,"start_ms":11,"interval_ms":22})";
  const ChangeRow row =
      GENERATE(ChangeRow{"80", "2147483647", true}, ChangeRow{"80", "2147483648"}, ChangeRow{"80", "4294967296"},
               ChangeRow{"80", "1e300"}, ChangeRow{"80", "18446744073709551615"},
               ChangeRow{"500", "18446744073709551615"}, ChangeRow{"500", "-1"}, ChangeRow{"500", "1e400"},
               ChangeRow{"[0]", "[18446744073709551615]"}, ChangeRow{"[0]", "[1e300]"}, ChangeRow{"[0]", "{\"a\":0}"},
               ChangeRow{"[0]", "7"}, ChangeRow{"\"x\"", NestedAndClosed(kManyLevels)},
               ChangeRow{"\"x\"", Nested(kManyLevels)}, ChangeRow{"\"x\"", "\"\xff\""});
  CAPTURE(row.field, row.replacement.substr(0, 40));
  CHECK(DecodeJobRequest(With(valid, row.field, row.replacement), "00000000000000a1", {}).has_value() == row.valid);
}

/// A worker that answers one connection after the other, each call for its lists after a pause. It closes the first
/// connections after their answer.
class SlowWorker {
 public:
  static constexpr int kClosedConnections = 3;
  static constexpr absl::Duration kPause = absl::Milliseconds(400);

  SlowWorker() : m_socket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(m_socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(listen(m_socket, 16) == 0);
    REQUIRE(getsockname(m_socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { Run(); });
  }
  ~SlowWorker() {
    shutdown(m_socket, SHUT_RDWR);
    m_thread.join();
    close(m_socket);
  }
  SlowWorker(const SlowWorker&) = delete;
  SlowWorker& operator=(const SlowWorker&) = delete;

  HostPort address() const { return {.host = "127.0.0.1", .port = m_port}; }
  int starts() const { return m_starts; }

 private:
  void Run() {
    for (int number = 1;; ++number) {
      const int connection = accept(m_socket, nullptr, nullptr);
      if (connection < 0) return;
      Serve(connection, number <= kClosedConnections);
      close(connection);
    }
  }

  void Serve(int connection, bool is_closed) {
    std::array<char, 4096> buffer{};  // each request of this test arrives as a whole
    for (;;) {
      const ssize_t size = read(connection, buffer.data(), buffer.size());
      if (size <= 0) return;
      std::string body = R"({"clock_ms":1})";
      if (std::string_view(buffer.data(), static_cast<std::size_t>(size)).starts_with("POST /v1/hold")) {
        absl::SleepFor(kPause);
        body = R"({"clock_ms":1,"born":5,"running":[],"ended":[]})";
      } else {
        ++m_starts;
      }
      const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
                                 (is_closed ? "Connection: close\r\n\r\n" : "\r\n") + body;
      if (send(connection, answer.data(), answer.size(), MSG_NOSIGNAL) < 0 || is_closed) return;
    }
  }

  const int m_socket;
  int m_port = 0;
  std::atomic<int> m_starts{0};
  std::thread m_thread;
};

// Guards against a start that reaches the worker long after its order: the owner counts on an agent that gives a start
// up 1.5 s after it, and on a call that is sent or has failed within its time limit (issue 46).
TEST_CASE("a call is not sent after its time limit", "[platform]") {
  SlowWorker worker;
  EventLoop loop;
  std::unique_ptr<AsyncHttpClient> client;
  std::unique_ptr<HttpWorkerPort> port;
  std::atomic<bool> is_over = false;
  const absl::Time begun = absl::Now();
  loop.RunSync([&] {
    client = std::make_unique<AsyncHttpClient>(loop);
    port = std::make_unique<HttpWorkerPort>(*client, worker.address());
    port->Start({.life = {.worker = "w1", .born = 5},
                 .fencing_token = 1,
                 .task = "a0.0.0.0",
                 .run = 1,
                 .payload = "{}",
                 .lease_end_ms = 4500},
                absl::Milliseconds(600), [&](const Result<workflow::StartAnswer>&) { is_over = true; });
  });
  while (!is_over && absl::Now() - begun < absl::Seconds(10)) absl::SleepFor(absl::Milliseconds(5));
  CHECK(absl::Now() - begun < absl::Milliseconds(1200));
  CHECK(worker.starts() == 0);
  loop.RunSync([&] {
    port.reset();
    client.reset();
  });
}

}  // namespace
}  // namespace berylgauge::platform
