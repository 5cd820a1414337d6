// Sends HTTP/1.1 requests to one or several listeners and prints their latencies and losses as one line of JSON.
#include <arpa/inet.h>
#include <docopt.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace berylgauge {
namespace {

constexpr const char* kUsage = R"(Sends requests to HTTP listeners and measures.

Usage:
  request_load --target=IP:PORT... [--ready=IP:PORT...] [--path=PATH] [--method=NAME] [--connections=N] [--rate=N]
               [--seconds=N] [--skip-ms=N] [--seed=N] [--body-bytes=N] [--timeout-ms=N] [--keys]

Options:
  --target=IP:PORT  Listener, in 127.0.0.0/8; the connections are divided among all of them.
  --ready=IP:PORT   Listener whose /readyz is asked every 100 ms; one for each target, in the same order. A target that is
                    not ready gets no new request, as from a load balancer.
  --path=PATH       Path of the requests [default: /dispatch/orders].
  --method=NAME     Method [default: POST].
  --connections=N   Connections in total, 1 to 2000 [default: 100].
  --rate=N          Requests a second at random times (open loop); 0 sends on each connection as soon as the former
                    request was answered (closed loop) [default: 0].
  --seconds=N       Duration, 1 to 120 [default: 5].
  --skip-ms=N       Requests that arrive earlier than this are not part of the percentiles [default: 0].
  --seed=N          Seed of the arrivals [default: 1].
  --body-bytes=N    Size of each body [default: 64].
  --timeout-ms=N    A request without an answer after this time is lost [default: 15000].
  --keys            Gives each request an Idempotency-Key of its own.
)";

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;

struct LoadOptions {
  std::vector<std::string> targets;
  std::vector<std::string> ready;
  std::string path;
  std::string method;
  std::size_t connections = 0;
  double rate = 0;
  std::chrono::seconds duration{0};
  std::chrono::milliseconds skip{0};
  std::chrono::milliseconds timeout{0};
  std::uint64_t seed = 0;
  std::size_t body_bytes = 0;
  bool has_keys = false;
};

sockaddr_in ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string host = text.substr(0, colon);
  if (colon == std::string::npos || inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 ||
      !host.starts_with("127.")) {
    throw std::runtime_error("not an address in 127.0.0.0/8: " + text);
  }
  address.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
  return address;
}

/// Tells which targets accept requests, by asking their /readyz.
class ReadyPoller {
 public:
  explicit ReadyPoller(const std::vector<std::string>& addresses) : m_ready(addresses.size()) {
    for (const std::string& address : addresses) m_addresses.push_back(ParseAddress(address));
    Poll();
    if (!m_addresses.empty()) m_thread = std::thread([this] { Run(); });
  }
  ~ReadyPoller() {
    m_stopping.store(true);
    if (m_thread.joinable()) m_thread.join();
  }

  bool IsReady(std::size_t target) const { return m_addresses.empty() || m_ready[target].load(); }

 private:
  void Run() {
    while (!m_stopping.load()) {
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
      Poll();
    }
  }

  void Poll() {
    for (std::size_t i = 0; i < m_addresses.size(); ++i) m_ready[i].store(Ask(m_addresses[i]));
  }

  static bool Ask(const sockaddr_in& address) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{.tv_sec = 1, .tv_usec = 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    const std::string request = "GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    std::array<char, 64> answer{};
    const bool is_sent = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                         send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
    const ssize_t size = is_sent ? recv(fd, answer.data(), answer.size(), 0) : 0;
    close(fd);
    return size > 0 && std::string(answer.data(), static_cast<std::size_t>(size)).starts_with("HTTP/1.1 200");
  }

  std::vector<sockaddr_in> m_addresses;
  std::vector<std::atomic<bool>> m_ready;
  std::atomic<bool> m_stopping{false};
  std::thread m_thread;
};

/// What became of the requests.
struct Tally {
  std::vector<double> latencies_ms;  ///< of complete answers below 500, by time of arrival
  std::map<std::string, int> results;
  int answered = 0;
  int lost = 0;  ///< no complete answer, or one of 500 and above
};

/// One connection that carries one request at a time.
struct Connection {
  int fd = -1;
  std::size_t target = 0;
  bool is_connecting = false;
  bool is_busy = false;
  TimePoint arrival;
  TimePoint sent;
  std::string out;
  std::size_t written = 0;
  std::string in;
};

/// Runs the load on one thread.
class LoadRun {
 public:
  explicit LoadRun(const LoadOptions& options)
      : m_options(options), m_poller(options.ready), m_random(options.seed), m_epoll(epoll_create1(EPOLL_CLOEXEC)) {
    for (const std::string& target : options.targets) m_targets.push_back(ParseAddress(target));
    m_connections.resize(options.connections);
    for (std::size_t i = 0; i < m_connections.size(); ++i) {
      m_connections[i].target = i % m_targets.size();
      Open(m_connections[i]);
    }
  }
  ~LoadRun() {
    for (Connection& connection : m_connections) Close(connection);
    close(m_epoll);
  }
  LoadRun(const LoadRun&) = delete;
  LoadRun& operator=(const LoadRun&) = delete;

  Tally Run() {
    // The connections are made before the first request, so that its latency does not contain all of them.
    RunUntil(Clock::now() + std::chrono::milliseconds(300));
    m_begin = Clock::now();
    m_end = m_begin + m_options.duration;
    m_is_sending = true;
    m_next_arrival = m_begin;
    RunUntil(m_end);
    m_is_sending = false;
    const TimePoint limit = Clock::now() + m_options.timeout;
    while (Clock::now() < limit && (!m_waiting.empty() || AnyBusy())) RunUntil(Clock::now() + kSweep);
    for (Connection& connection : m_connections) {
      if (connection.is_busy) Lose(connection, "no-answer");
    }
    m_tally.lost += static_cast<int>(m_waiting.size());
    if (!m_waiting.empty()) m_tally.results["never-sent"] = static_cast<int>(m_waiting.size());
    return std::move(m_tally);
  }

 private:
  static constexpr std::chrono::milliseconds kSweep{20};

  bool AnyBusy() const {
    return std::any_of(m_connections.begin(), m_connections.end(), [](const Connection& c) { return c.is_busy; });
  }

  void RunUntil(TimePoint end) {
    std::array<epoll_event, 256> events{};
    TimePoint next_sweep = Clock::now();
    while (Clock::now() < end) {
      if (m_is_sending) Generate();
      const TimePoint now = Clock::now();
      if (now >= next_sweep) {
        Sweep(now);
        next_sweep = now + kSweep;
      }
      timespec wait{.tv_sec = 0, .tv_nsec = 200'000};
      const int count = epoll_pwait2(m_epoll, events.data(), static_cast<int>(events.size()), &wait, nullptr);
      for (int i = 0; i < count; ++i)
        OnEvent(*static_cast<Connection*>(events[static_cast<std::size_t>(i)].data.ptr),
                events[static_cast<std::size_t>(i)].events);
    }
  }

  void Generate() {
    const TimePoint now = Clock::now();
    if (m_options.rate > 0) {
      std::exponential_distribution<double> gap(m_options.rate);
      while (m_next_arrival <= now) {
        m_waiting.push_back(m_next_arrival);
        m_next_arrival += std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap(m_random)));
      }
      Dispatch();
      return;
    }
    for (Connection& connection : m_connections) {
      if (IsIdle(connection)) Send(connection, now);
    }
  }

  bool IsIdle(const Connection& connection) const {
    return connection.fd >= 0 && !connection.is_connecting && !connection.is_busy &&
           m_poller.IsReady(connection.target);
  }

  /// Sends waiting requests on idle connections, in turns so that the load is spread.
  void Dispatch() {
    for (std::size_t tries = 0; !m_waiting.empty() && tries < m_connections.size(); ++tries) {
      Connection& connection = m_connections[m_turn++ % m_connections.size()];
      if (!IsIdle(connection)) continue;
      const TimePoint arrival = m_waiting.front();
      m_waiting.pop_front();
      Send(connection, arrival);
    }
  }

  void Sweep(TimePoint now) {
    for (Connection& connection : m_connections) {
      if (connection.is_busy && now - connection.sent > m_options.timeout) Lose(connection, "timeout");
      const bool is_unusable = connection.fd >= 0 && !connection.is_busy && !m_poller.IsReady(connection.target);
      if (is_unusable) Close(connection);
      if (connection.fd < 0) Reopen(connection);
    }
    if (!m_is_sending) Dispatch();
  }

  /// A load balancer moves to another ready target.
  void Reopen(Connection& connection) {
    for (std::size_t i = 0; i < m_targets.size() && !m_poller.IsReady(connection.target); ++i) {
      connection.target = (connection.target + 1) % m_targets.size();
    }
    if (m_poller.IsReady(connection.target)) Open(connection);
  }

  void Open(Connection& connection) {
    connection.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (connection.fd < 0) throw std::runtime_error("no socket");
    const int one = 1;
    setsockopt(connection.fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    const sockaddr_in& address = m_targets[connection.target];
    const int result = connect(connection.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
      Close(connection);
      return;
    }
    connection.is_connecting = true;
    epoll_event event{.events = EPOLLIN | EPOLLOUT | EPOLLRDHUP, .data = {.ptr = &connection}};
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, connection.fd, &event);
  }

  static void Close(Connection& connection) {
    if (connection.fd >= 0) close(connection.fd);
    connection.fd = -1;
    connection.is_connecting = false;
    connection.is_busy = false;
    connection.in.clear();
    connection.out.clear();
  }

  void Watch(Connection& connection, bool for_write) const {
    epoll_event event{.events = EPOLLIN | EPOLLRDHUP | (for_write ? EPOLLOUT : 0U), .data = {.ptr = &connection}};
    epoll_ctl(m_epoll, EPOLL_CTL_MOD, connection.fd, &event);
  }

  void Send(Connection& connection, TimePoint arrival) {
    connection.is_busy = true;
    connection.arrival = arrival;
    connection.sent = Clock::now();
    connection.in.clear();
    connection.written = 0;
    connection.out = m_options.method + " " + m_options.path + " HTTP/1.1\r\nHost: load\r\n";
    if (m_options.has_keys) connection.out += "Idempotency-Key: load-" + std::to_string(m_random()) + "\r\n";
    connection.out += "Content-Length: " + std::to_string(m_options.body_bytes) + "\r\n\r\n";
    connection.out.append(m_options.body_bytes, 'x');
    Write(connection);
  }

  void Write(Connection& connection) {
    while (connection.written < connection.out.size()) {
      const ssize_t size = send(connection.fd, connection.out.data() + connection.written,
                                connection.out.size() - connection.written, MSG_NOSIGNAL);
      if (size < 0 && errno == EAGAIN) {
        Watch(connection, true);
        return;
      }
      if (size < 0) {
        Lose(connection, "broken");
        return;
      }
      connection.written += static_cast<std::size_t>(size);
    }
  }

  void Lose(Connection& connection, const std::string& how) {
    ++m_tally.lost;
    ++m_tally.results[how];
    Close(connection);
  }

  void OnEvent(Connection& connection, std::uint32_t events) {
    if (connection.fd < 0) return;
    if (connection.is_connecting) {
      if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        Close(connection);
        return;
      }
      connection.is_connecting = false;
      Watch(connection, false);
      return;
    }
    if ((events & EPOLLOUT) != 0 && connection.is_busy) {
      Watch(connection, false);
      Write(connection);
      if (connection.fd < 0) return;
    }
    if ((events & ~static_cast<std::uint32_t>(EPOLLOUT)) != 0) Read(connection);
  }

  void Read(Connection& connection) {
    std::array<char, 16384> buffer{};
    for (;;) {
      const ssize_t size = recv(connection.fd, buffer.data(), buffer.size(), 0);
      if (size < 0 && errno == EAGAIN) return;
      if (size <= 0) {
        if (connection.is_busy) {
          Lose(connection, "broken");
        } else {
          Close(connection);
        }
        return;
      }
      connection.in.append(buffer.data(), static_cast<std::size_t>(size));
      if (TakeAnswer(connection)) return;
    }
  }

  /// Completes the request if its answer is whole; true if nothing more is to be read.
  bool TakeAnswer(Connection& connection) {
    const std::size_t head = connection.in.find("\r\n\r\n");
    if (head == std::string::npos || !connection.is_busy) return false;
    std::string header = connection.in.substr(0, head);
    std::transform(header.begin(), header.end(), header.begin(), [](unsigned char c) { return std::tolower(c); });
    const std::size_t length = header.find("\r\ncontent-length:");
    const std::size_t body = length == std::string::npos ? 0 : std::strtoul(header.c_str() + length + 17, nullptr, 10);
    if (connection.in.size() < head + 4 + body) return false;
    const int status = std::atoi(header.c_str() + 9);
    Complete(connection, status);
    const bool is_closing = header.find("\r\nconnection: close") != std::string::npos;
    connection.is_busy = false;
    connection.in.clear();
    if (is_closing) Close(connection);
    return is_closing;
  }

  void Complete(const Connection& connection, int status) {
    ++m_tally.answered;
    ++m_tally.results[std::to_string(status)];
    if (status >= 500) {
      ++m_tally.lost;
      return;
    }
    if (connection.arrival < m_begin + m_options.skip) return;
    m_tally.latencies_ms.push_back(
        std::chrono::duration<double, std::milli>(Clock::now() - connection.arrival).count());
  }

  const LoadOptions& m_options;
  ReadyPoller m_poller;
  std::mt19937_64 m_random;
  const int m_epoll;
  std::vector<sockaddr_in> m_targets;
  std::vector<Connection> m_connections;
  std::deque<TimePoint> m_waiting;  ///< arrivals without a connection
  std::size_t m_turn = 0;
  bool m_is_sending = false;
  TimePoint m_begin;
  TimePoint m_end;
  TimePoint m_next_arrival;
  Tally m_tally;
};

double Percentile(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

LoadOptions OptionsOf(int argc, char** argv) {
  const auto arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  LoadOptions options;
  options.targets = arguments.at("--target").asStringList();
  if (arguments.at("--ready")) options.ready = arguments.at("--ready").asStringList();
  if (!options.ready.empty() && options.ready.size() != options.targets.size()) {
    throw std::runtime_error("--ready must be given once for each target or not at all");
  }
  options.path = arguments.at("--path").asString();
  options.method = arguments.at("--method").asString();
  options.connections = static_cast<std::size_t>(std::clamp(arguments.at("--connections").asLong(), 1L, 2000L));
  options.rate = static_cast<double>(arguments.at("--rate").asLong());
  options.duration = std::chrono::seconds(std::clamp(arguments.at("--seconds").asLong(), 1L, 120L));
  options.skip = std::chrono::milliseconds(arguments.at("--skip-ms").asLong());
  options.timeout = std::chrono::milliseconds(std::clamp(arguments.at("--timeout-ms").asLong(), 1L, 60'000L));
  options.seed = static_cast<std::uint64_t>(arguments.at("--seed").asLong());
  options.body_bytes = static_cast<std::size_t>(std::clamp(arguments.at("--body-bytes").asLong(), 0L, 1'000'000L));
  options.has_keys = arguments.at("--keys").asBool();
  return options;
}

int Main(int argc, char** argv) {
  const LoadOptions options = OptionsOf(argc, argv);
  Tally tally = LoadRun(options).Run();
  std::sort(tally.latencies_ms.begin(), tally.latencies_ms.end());
  const nlohmann::json line = {{"answered", tally.answered},
                               {"lost", tally.lost},
                               {"per_second", tally.answered / static_cast<double>(options.duration.count())},
                               {"p50_ms", Percentile(tally.latencies_ms, 0.5)},
                               {"p99_ms", Percentile(tally.latencies_ms, 0.99)},
                               {"p999_ms", Percentile(tally.latencies_ms, 0.999)},
                               {"max_ms", tally.latencies_ms.empty() ? 0 : tally.latencies_ms.back()},
                               {"results", tally.results}};
  std::printf("%s\n", line.dump().c_str());
  return 0;
}

}  // namespace
}  // namespace berylgauge

int main(int argc, char** argv) {
  try {
    return berylgauge::Main(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "request_load: %s\n", error.what());
    return 1;
  }
}
