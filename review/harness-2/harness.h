// Stand-ins of the shared platform (store, workers, clients) and control of the daemon's processes, for the cases of
// this review. Everything listens on addresses in 127.0.0.0/8. What the platform's pages leave open is done as a sound
// store, worker or client would.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point kBegin = Clock::now();

/// Milliseconds since the program began.
inline std::int64_t Now() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kBegin).count();
}
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
      .count();
}
inline void Sleep(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

/// The record of a case: one line of JSON for each event.
class Record {
 public:
  explicit Record(const std::string& path) : m_out(path) {}
  void Add(const std::string& kind, json fields = json::object()) {
    const std::lock_guard lock(m_mutex);
    json line = {{"ms", Now()}, {"kind", kind}};
    line.update(fields);
    m_out << line.dump(-1, ' ', false, json::error_handler_t::replace) << "\n" << std::flush;
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_out;
};

struct Request {
  std::string method, path, query, body;
  std::map<std::string, std::string> headers;
  std::string Param(const std::string& name) const {
    std::stringstream in(query);
    for (std::string part; std::getline(in, part, '&');) {
      if (part.rfind(name + "=", 0) != 0) continue;
      std::string out;
      for (std::size_t i = name.size() + 1; i < part.size(); ++i) {
        if (part[i] == '%' && i + 2 < part.size()) {
          out += static_cast<char>(std::stoi(part.substr(i + 1, 2), nullptr, 16));
          i += 2;
        } else {
          out += part[i];
        }
      }
      return out;
    }
    return {};
  }
};
struct Response {
  int status = 0;  ///< 0 from a server: close the connection without an answer; from a client: no answer
  std::string body;
};

inline sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// A connection that carries HTTP/1.1 messages.
class Connection {
 public:
  explicit Connection(int fd, bool owns = true) : m_fd(fd), m_owns(owns) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }
  ~Connection() {
    if (m_owns) close(m_fd);
  }
  int fd() const { return m_fd; }

  bool Write(const std::string& text) const {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t count = send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (count <= 0) return false;
      sent += static_cast<std::size_t>(count);
    }
    return true;
  }

  /// Reads a message; the first line is returned, headers have names in lower case.
  bool Read(std::string& first, std::map<std::string, std::string>& headers, std::string& body) {
    std::size_t end = 0;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
      if (!More()) return false;
    }
    std::stringstream head(m_buffer.substr(0, end));
    m_buffer.erase(0, end + 4);
    std::getline(head, first);
    if (!first.empty() && first.back() == '\r') first.pop_back();
    headers.clear();
    for (std::string line; std::getline(head, line);) {
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) continue;
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(c));
      headers[name] = line.substr(std::min(line.size(), line.find_first_not_of(' ', colon + 1)));
    }
    const std::size_t length = headers.contains("content-length") ? std::stoul(headers["content-length"]) : 0;
    while (m_buffer.size() < length) {
      if (!More()) return false;
    }
    body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return true;
  }

 private:
  bool More() {
    char data[65536];
    const ssize_t count = recv(m_fd, data, sizeof(data), 0);
    if (count <= 0) return false;
    m_buffer.append(data, static_cast<std::size_t>(count));
    return true;
  }

  const int m_fd;
  const bool m_owns;
  std::string m_buffer;
};

/// An HTTP/1.1 server with a thread for each connection. It lives as long as the program.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(const std::string& ip, int port, Handler handler) : m_handler(std::move(handler)) {
    const int fd = m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = AddressOf(ip, port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || listen(fd, 256) != 0) {
      throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port));
    }
    std::thread([this, fd] {
      for (;;) {
        const int client = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
          if (m_stopped) return;
          continue;
        }
        std::thread([this, client] { Serve(client); }).detach();
      }
    }).detach();
  }
  /// From now on the port refuses connections, and those that are open are closed.
  void Stop() {
    m_stopped = true;
    shutdown(m_listener, SHUT_RDWR);
    close(m_listener);
    const std::lock_guard lock(m_mutex);
    for (const int fd : m_open) shutdown(fd, SHUT_RDWR);
  }

 private:
  void Serve(int fd) {
    {
      const std::lock_guard lock(m_mutex);
      m_open.insert(fd);
    }
    ServeOpen(fd);
    const std::lock_guard lock(m_mutex);
    m_open.erase(fd);
    close(fd);
  }
  void ServeOpen(int fd) {
    Connection connection(fd, false);
    std::string first;
    Request request;
    while (connection.Read(first, request.headers, request.body)) {
      std::stringstream line(first);
      std::string target;
      line >> request.method >> target;
      const std::size_t mark = target.find('?');
      request.path = target.substr(0, mark);
      request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
      const Response response = m_handler(request);
      if (response.status == 0) return;
      if (!connection.Write("HTTP/1.1 " + std::to_string(response.status) + " x\r\nContent-Length: " +
                            std::to_string(response.body.size()) + "\r\nContent-Type: application/json\r\n\r\n" +
                            response.body)) {
        return;
      }
    }
  }
  const Handler m_handler;
  int m_listener = -1;
  std::atomic<bool> m_stopped = false;
  std::mutex m_mutex;
  std::set<int> m_open;
};

/// A client's connection. Nothing is repeated.
class Client {
 public:
  Client(std::string ip, int port) : m_ip(std::move(ip)), m_port(port) {}

  bool Connect() {
    m_connection.reset();
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = AddressOf(m_ip, m_port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
      close(fd);
      return false;
    }
    m_connection = std::make_unique<Connection>(fd);
    return true;
  }
  bool IsOpen() const { return m_connection != nullptr; }

  /// Sends a request on the open connection, or on a new one.
  Response Call(const std::string& method, const std::string& path, const std::string& body = {},
                const std::string& headers = {}, int timeout_ms = 4000) {
    if (!m_connection && !Connect()) return {};
    const timeval limit{.tv_sec = timeout_ms / 1000, .tv_usec = (timeout_ms % 1000) * 1000};
    setsockopt(m_connection->fd(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    std::string first;
    std::map<std::string, std::string> answer_headers;
    Response response;
    const bool done = m_connection->Write(method + " " + path + " HTTP/1.1\r\nContent-Length: " +
                                          std::to_string(body.size()) + "\r\n" + (headers.find("Host:") == std::string::npos ? "Host: h\r\n" : "") + headers + "\r\n" + body) &&
                      m_connection->Read(first, answer_headers, response.body);
    if (!done) {
      m_connection.reset();
      return {};
    }
    response.status = std::stoi(first.substr(9, 3));
    if (answer_headers["connection"] == "close") m_connection.reset();
    return response;
  }

 private:
  const std::string m_ip;
  const int m_port;
  std::unique_ptr<Connection> m_connection;
};

inline std::string Base64(const std::string& in) {
  static const char* kDigits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    std::uint32_t value = 0;
    for (std::size_t k = 0; k < 3; ++k) value = value << 8 | (i + k < in.size() ? static_cast<unsigned char>(in[i + k]) : 0U);
    for (std::size_t k = 0; k < 4; ++k) out += i + k > in.size() ? '=' : kDigits[value >> (18 - 6 * k) & 63];
  }
  return out;
}

/// As in the settings.
inline constexpr std::size_t kRecordBytes = 262144, kCallBytes = 2097152;

/// The platform's store: log-append, log-read and log-newest of keyed topics.
class Store {
 public:
  /// Reading calls get no answer.
  std::atomic<bool> reads_are_down = false;
  /// What happens to a writing call: the answer comes after `answer_ms`; without `answered` it is lost, and the call is
  /// carried out after `late_ms`.
  struct Fate {
    int answer_ms = 4;
    bool answered = true;
    int late_ms = 0;
    bool down = false;  ///< no effect and no answer
  };
  std::function<Fate(const Request&)> fate = [](const Request&) { return Fate{}; };
  /// Delay of the answers to reading calls.
  std::function<int(const Request&)> read_delay = [](const Request&) { return 4; };

  Store(const std::string& ip, int port) : m_server(ip, port, [this](const Request& r) { return Handle(r); }) {}

  void Put(const std::string& topic, const std::string& key, const std::string& value) {
    const std::lock_guard lock(m_mutex);
    Add(m_parts[{topic, "0"}], static_cast<char>(key.size()) + key + value);
  }
  /// Newest value of a key; empty if there is none.
  std::string Newest(const std::string& topic, const std::string& part, const std::string& key) {
    const std::lock_guard lock(m_mutex);
    Partition& p = m_parts[{topic, part}];
    const auto found = p.newest.find(key);
    return found == p.newest.end() ? "" : found->second.second;
  }

 private:
  struct Producer {
    std::int64_t epoch = 0, next = 0;
    bool any = false;
    std::deque<std::pair<std::int64_t, Response>> answers;
  };
  struct Partition {
    std::vector<std::string> records;
    std::map<std::string, std::pair<std::int64_t, std::string>> newest;
    std::map<std::string, Producer> producers;
  };

  void Add(Partition& p, const std::string& content) {
    if (content.empty()) return;
    const std::size_t size = static_cast<unsigned char>(content[0]);
    const std::string key = content.substr(1, size);
    const std::string value = content.substr(1 + size);
    if (value.empty()) {
      p.newest.erase(key);
    } else {
      p.newest[key] = {static_cast<std::int64_t>(p.records.size()), value};
    }
    p.records.push_back(content);
    m_changed.notify_all();
  }

  static std::uint64_t BigEndian(const std::string& text) {
    std::uint64_t value = 0;
    for (const char c : text) value = value << 8 | static_cast<unsigned char>(c);
    return value;
  }
  static std::string Encode(std::uint64_t value, int bytes) {
    std::string out;
    for (int i = bytes - 1; i >= 0; --i) out += static_cast<char>(value >> (8 * i) & 255);
    return out;
  }

  Response Append(const Request& request) {
    const std::lock_guard lock(m_mutex);
    Partition& p = m_parts[{request.Param("topic"), request.Param("part")}];
    const std::string name = request.Param("producer");
    Producer* producer = nullptr;
    const std::int64_t epoch = name.empty() ? 0 : std::stoll(request.Param("epoch"));
    const std::int64_t sequence = name.empty() ? 0 : std::stoll(request.Param("seq"));
    if (!name.empty()) {
      producer = &p.producers[name];
      if (epoch < producer->epoch) return {409, R"({"reason":"fenced"})"};
      if (epoch == producer->epoch && producer->any) {
        for (const auto& [known, answer] : producer->answers) {
          if (known == sequence) return answer;
        }
        if (sequence != producer->next) {
          return {409, json{{"reason", "seq"}, {"expected", producer->next}}.dump()};
        }
      }
    }
    const std::string as_of = request.Param("as_of");
    const auto end = static_cast<std::int64_t>(p.records.size());
    if (request.body.size() > kCallBytes) return {400, R"({"error":"call_bytes"})"};
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      const std::uint64_t size = BigEndian(request.body.substr(at, 4));
      if (size > kRecordBytes) return {400, R"({"error":"record_bytes"})"};
      at += 4 + size;
    }
    if (!as_of.empty() && std::stoll(as_of) != end) return {412, json{{"end", end}}.dump()};
    for (std::size_t at = 0; at + 4 <= request.body.size();) {
      const std::uint64_t size = BigEndian(request.body.substr(at, 4));
      Add(p, request.body.substr(at + 4, size));
      at += 4 + size;
    }
    const Response answer{200, json{{"offset", end}, {"end", p.records.size()}}.dump()};
    if (producer != nullptr) {
      if (epoch > producer->epoch || !producer->any) producer->answers.clear();
      producer->epoch = epoch;
      producer->any = true;
      producer->next = sequence + 1;
      producer->answers.emplace_back(sequence, answer);
      if (producer->answers.size() > 5) producer->answers.pop_front();
    }
    return answer;
  }

  Response Handle(const Request& request) {
    if (request.path == "/v1/log-append") {
      const Fate now = fate(request);
      if (now.down) {
        Sleep(20'000);
        return {};
      }
      if (!now.answered) {
        if (now.late_ms > 0) {
          std::thread([this, request, late = now.late_ms] {
            Sleep(late);
            Append(request);
          }).detach();
        } else {
          Append(request);
        }
        Sleep(20'000);  // a connection on which an answer is lost returns nothing further
        return {};
      }
      const Response answer = Append(request);
      Sleep(now.answer_ms);
      return answer;
    }
    if (reads_are_down) {
      Sleep(20'000);
      return {};
    }
    if (request.path == "/v1/log-read") return Read(request);
    if (request.path == "/v1/log-newest") return Newest(request);
    return {404, "{}"};
  }

  Response Read(const Request& request) {
    const auto from = static_cast<std::size_t>(std::stoll(request.Param("from")));
    const std::string wait = request.Param("wait_ms");
    std::string body;
    {
      std::unique_lock lock(m_mutex);
      Partition& p = m_parts[{request.Param("topic"), request.Param("part")}];
      m_changed.wait_for(lock, std::chrono::milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                         [&] { return p.records.size() > from; });
      body = Encode(p.records.size(), 8) + Encode(0, 8);
      for (std::size_t i = from; i < p.records.size() && body.size() < 1'000'000; ++i) {
        body += Encode(p.records[i].size(), 4) + p.records[i];
      }
    }
    Sleep(read_delay(request));
    return {200, body};
  }

  Response Newest(const Request& request) {
    json items = json::array();
    json answer;
    {
      const std::lock_guard lock(m_mutex);
      Partition& p = m_parts[{request.Param("topic"), request.Param("part")}];
      bool more = false;
      for (auto it = p.newest.upper_bound(request.Param("after")); it != p.newest.end(); ++it) {
        if (items.size() == 500) {
          more = true;
          break;
        }
        items.push_back({{"key", it->first}, {"value", Base64(it->second.second)}, {"offset", it->second.first}});
      }
      answer = {{"items", items}, {"more", more}, {"end", p.records.size()}};
    }
    Sleep(read_delay(request));
    return {200, answer.dump()};
  }

  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::pair<std::string, std::string>, Partition> m_parts;
  Server m_server;
};

/// A worker: one life that never crashes.
class Worker {
 public:
  struct Start {
    std::int64_t ms;
    std::string task;
    int run;
    std::vector<std::string> labels;  ///< of the life that carried it out
  };
  /// Kind and rack; set before a life begins.
  std::vector<std::string> labels = {"a", "r1"};
  /// Run time of a task that does not last.
  int work_ms = 300;
  /// Called before a call is answered; false: carried out, not answered.
  std::function<bool(const Request&)> answers = [](const Request&) { return true; };
  std::atomic<bool> beats = true;
  std::atomic<bool> draining = false;
  std::atomic<bool> dark = false;
  /// Length of the checkpoints of tasks whose spec has the word "saves"; they exist from `save_ms` of work on.
  std::size_t checkpoint_bytes = 16;
  int save_ms = 1000;

  Worker(Record& record, std::string id, const std::string& ip, int port, std::string agent_ip, int agent_port,
         std::string zone, int hold_max_ms = 6000)
      : m_record(record),
        m_id(std::move(id)),
        m_zone(std::move(zone)),
        m_hold_max_ms(hold_max_ms),
        m_agent_ip(agent_ip),
        m_agent_port(agent_port),
        m_address(ip + ":" + std::to_string(port)),
        m_server(ip, port, [this](const Request& r) { return Handle(r); }) {
    std::thread([this] {
      for (;; Sleep(5)) Tick();
    }).detach();
    std::thread([this, agent_ip, agent_port] {
      for (;;) {
        const bool was_draining = draining;
        const bool did_beat = beats;
        if (beats) Beat(agent_ip, agent_port, ++m_sequence);
        for (int i = 0; i < 150 && was_draining == draining && did_beat == beats; ++i) Sleep(10);
      }
    }).detach();
  }

  std::vector<Start> Starts() {
    const std::lock_guard lock(m_mutex);
    return m_starts;
  }
  /// Tasks that run now.
  std::set<std::string> Running() {
    const std::lock_guard lock(m_mutex);
    std::set<std::string> tasks;
    for (const auto& [task, run] : m_runs) tasks.insert(task);
    return tasks;
  }

  /// Crashes and is dark (calls get no answer and have no effect) for `dark_ms`; then it starts again under its id with
  /// other labels, and sends its first heartbeat after `first_beat_ms`.
  void CrashAndReturn(std::int64_t dark_ms, std::vector<std::string> next_labels, std::int64_t first_beat_ms) {
    beats = false;
    {
      const std::lock_guard lock(m_mutex);
      m_record.Add("crash", {{"worker", m_id}, {"born", m_born}, {"runs", m_runs.size()}});
      dark = true;
      ++m_life;
      m_runs.clear();
      m_over.clear();
      m_ends.clear();
      m_end_number = m_token = m_until = 0;
      m_changed.notify_all();
    }
    Sleep(dark_ms);
    {
      const std::lock_guard lock(m_mutex);
      labels = std::move(next_labels);
      m_born = UnixMs();
      m_began = Now();
      m_clock_at_birth = 0;
      m_sequence = 0;
      m_record.Add("born", {{"worker", m_id}, {"born", m_born}, {"labels", labels}});
      dark = false;
    }
    Sleep(first_beat_ms);
    beats = true;
  }

  /// Says that it drains, goes on for `ms`, then says that it leaves and ends with all that runs on it.
  void DrainAndLeave(std::int64_t ms) {
    m_record.Add("drain", {{"worker", m_id}});
    draining = true;
    Sleep(ms);
    beats = false;
    Client(m_agent_ip, m_agent_port).Call("POST", "/v1/instances/" + m_id + "/leave", "", "", 900);
    m_server.Stop();
    const std::lock_guard lock(m_mutex);
    m_record.Add("left", {{"worker", m_id}, {"runs", m_runs.size()}, {"ends", m_ends.size()}});
    m_runs.clear();
  }

 private:
  struct Run {
    int run = 0;
    std::int64_t begun = 0;
    bool lasts = false;
    int work_ms = 0;
    bool saves = false;
  };
  std::int64_t ClockMs() const { return m_clock_at_birth + Now() - m_began; }

  void Beat(const std::string& ip, int port, int seq) {
    const json body = {{"service", "dispatch"}, {"addr", m_address}, {"zone", m_zone}, {"version", "v1"},
                       {"slots", 8}, {"state", draining ? "draining" : "ready"}, {"cold_left_ms", 0},
                       {"capacity", {{"cpu", 16000}, {"mem_mb", 64000}, {"gpu", 0}}},
                       {"labels", labels}, {"clock_ms", ClockMs()}, {"seq", seq}, {"born", m_born}};
    Client(ip, port).Call("POST", "/v1/instances/" + m_id + "/heartbeat", body.dump(), "", 900);
  }

  std::string CheckpointOf(const std::string& task, const Run& run) const {
    if (!run.saves || Now() - run.begun < save_ms) return {};
    std::string text = task + "@" + std::to_string(run.run) + ".";
    text.resize(std::max(text.size(), checkpoint_bytes), 'c');
    return text;
  }

  void End(const std::string& task, const Run& run, const char* how) {
    m_ends.push_back({++m_end_number, task, run.run, how, CheckpointOf(task, run)});
    int& newest = m_over[task];
    newest = std::max(newest, run.run);
    m_record.Add("run-end", {{"worker", m_id}, {"task", task}, {"run", run.run}, {"how", how}});
    m_changed.notify_all();
  }

  void Tick() {
    const std::lock_guard lock(m_mutex);
    const std::int64_t clock = ClockMs();
    for (auto it = m_runs.begin(); it != m_runs.end();) {
      const bool lapsed = clock >= m_until;
      const bool done = !it->second.lasts && Now() - it->second.begun >= it->second.work_ms;
      if (!lapsed && !done) {
        ++it;
        continue;
      }
      End(it->first, it->second, done ? "done" : "lapsed");
      it = m_runs.erase(it);
    }
  }

  Response Handle(const Request& request) {
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) return {400, "{}"};
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != m_id) return {421, "{}"};
    const int life = m_life;
    if (dark) {
      while (dark) Sleep(1);
      return {};
    }
    const Response response = Carry(request.path, body);
    if (life != m_life) {
      while (dark) Sleep(1);
      return {};  // the connection broke with the life that was called
    }
    if (!answers(request)) {
      Sleep(20'000);
      return {};
    }
    return response;
  }

  Response Answer(int status, json body) const {
    body["clock_ms"] = ClockMs();
    return {status, body.dump()};
  }

  void Extend(const json& body) {
    if (!body.contains("until_ms")) return;
    m_until = std::max(m_until, std::min(body["until_ms"].get<std::int64_t>(), ClockMs() + m_hold_max_ms));
  }

  Response Carry(const std::string& path, const json& body) {
    std::unique_lock lock(m_mutex);
    const std::int64_t token = body.value("fence_token", std::int64_t{0});
    if (token < m_token) return Answer(409, {{"reason", "fence"}});
    m_token = token;
    const std::string task = body.value("task", "");
    const int run = body.value("run", 0);
    if (path == "/v1/run-start") {
      Extend(body);
      const auto present = m_runs.find(task);
      if (present != m_runs.end() && present->second.run == run) return Answer(200, json::object());
      if (m_over.contains(task) && m_over[task] >= run) return Answer(409, {{"reason", "old"}});
      if (present != m_runs.end()) return Answer(409, {{"reason", "old"}});
      if (m_until <= ClockMs()) return Answer(409, {{"reason", "late"}});
      const std::string spec = body.value("spec", "");
      m_runs[task] = {run, Now(), spec.find("lasts") != std::string::npos, work_ms,
                      spec.find("saves") != std::string::npos};
      m_starts.push_back({Now(), task, run, labels});
      m_record.Add("run-start", {{"worker", m_id}, {"task", task}, {"run", run}, {"spec", spec}, {"labels", labels},
                                 {"born", m_born}});
      return Answer(200, json::object());
    }
    if (path == "/v1/run-stop") {
      int& over = m_over[task];
      const auto present = m_runs.find(task);
      if (present != m_runs.end() && present->second.run <= run) {
        End(task, present->second, "stopped");
        m_runs.erase(present);
      }
      over = std::max(over, run);
      return Answer(200, json::object());
    }
    if (path == "/v1/pace") return Answer(200, json::object());
    if (path != "/v1/hold") return {404, "{}"};
    const auto seen = body.value("last_seen", std::int64_t{0});
    std::erase_if(m_ends, [&](const Ended& end) {
      if (end.number <= seen) {
        m_record.Add("noted", {{"worker", m_id}, {"task", end.task}, {"run", end.run}, {"how", end.how}});
      }
      return end.number <= seen;
    });
    Extend(body);
    m_changed.wait_for(lock, std::chrono::milliseconds(std::min(body.value("wait_ms", 0), 2000)),
                       [&, life = m_life.load()] { return !m_ends.empty() || life != m_life; });
    json running = json::array();
    for (const auto& [name, one] : m_runs) {
      const int percent =
          one.lasts ? 100 : static_cast<int>(std::min<std::int64_t>(99, 100 * (Now() - one.begun) / std::max(1, one.work_ms)));
      running.push_back({name, one.run, CheckpointOf(name, one), percent, 100});
    }
    json ended = json::array();
    for (const Ended& end : m_ends) {
      if (ended.size() < 500) ended.push_back({end.number, end.task, end.run, end.how, end.saved});
    }
    return Answer(200, {{"running", running}, {"ended", ended}, {"born", m_born}});
  }

  struct Ended {
    std::int64_t number;
    std::string task;
    int run;
    std::string how, saved;
  };

  Record& m_record;
  const std::string m_id, m_zone;
  const int m_hold_max_ms;
  const std::string m_agent_ip;
  const int m_agent_port;
  const std::string m_address;
  std::int64_t m_born = UnixMs();
  std::atomic<std::int64_t> m_began = Now();
  std::atomic<std::int64_t> m_clock_at_birth = 400'000;
  std::atomic<int> m_sequence = 0;
  std::atomic<int> m_life = 0;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::map<std::string, Run> m_runs;
  std::map<std::string, int> m_over;
  std::vector<Ended> m_ends;
  std::int64_t m_end_number = 0, m_token = 0, m_until = 0;
  std::vector<Start> m_starts;
  Server m_server;
};

/// A process of the daemon, started with the command of the deploy file.
class Daemon {
 public:
  Daemon(std::string root, std::string settings) : m_root(std::move(root)), m_settings(std::move(settings)) {}
  ~Daemon() { Kill(); }

  void Start() {
    m_pid = fork();
    if (m_pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing outlives a case that was ended
      if (chdir(m_root.c_str()) != 0) _exit(126);
      setenv("BERYLGAUGE_BOOT", m_settings.c_str(), 1);
      const int log = open((m_settings + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(log, 1);
      dup2(log, 2);
      execl("target/src/daemon/berylgauged", "target/src/daemon/berylgauged", "--platform", nullptr);
      _exit(127);
    }
  }
  void Signal(int number) const {
    if (m_pid > 0) kill(m_pid, number);
  }
  /// Waits for the end; the status of waitpid, or nothing after `ms`.
  std::optional<int> Wait(std::int64_t ms) {
    const std::int64_t end = Now() + ms;
    int status = 0;
    while (m_pid > 0 && Now() <= end) {
      if (waitpid(m_pid, &status, WNOHANG) == m_pid) {
        m_pid = -1;
        return status;
      }
      Sleep(5);
    }
    return std::nullopt;
  }
  void Kill() {
    if (m_pid <= 0) return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }
  /// What the platform does to stop a process: SIGTERM, and SIGKILL after `grace_ms`.
  void Terminate(std::int64_t grace_ms = 6000) {
    Signal(SIGTERM);
    if (!Wait(grace_ms)) Kill();
  }

 private:
  const std::string m_root, m_settings;
  pid_t m_pid = -1;
};

struct FleetOptions {
  int entries = 3;
  int workers = 3;
  int work_ms = 300;
  std::vector<json> routes = {};  ///< one queue by default
  std::vector<std::string> zones = {"bolehall", "glascote", "amington"};
};

/// A small deployment.
class Fleet {
 public:
  static constexpr int kFront = 8161, kReady = 8167, kControl = 8166, kApp = 8165, kStore = 8169;

  Fleet(Record& record, const FleetOptions& options) : m_options(options), m_record(record) {
    const char* root = std::getenv("REVIEW_ROOT");
    m_root = root == nullptr ? "." : root;
    m_folder = std::filesystem::temp_directory_path() / ("review-" + std::to_string(getpid()));
    std::filesystem::create_directories(m_folder);
    m_net = 20 + static_cast<int>(getpid() % 200);
    store = std::make_unique<Store>(Ip(0, 0), kStore);
    std::vector<json> routes = options.routes;
    if (routes.empty()) routes.push_back(Route("checks", "/q/"));
    Configure(1, routes);
    for (int i = 0; i < options.entries; ++i) {
      entries.push_back(std::make_unique<Daemon>(m_root, Settings("edge-" + std::to_string(i), false, i)));
      entries.back()->Start();
    }
    for (int i = 0; i < options.workers; ++i) {
      agents.push_back(std::make_unique<Daemon>(m_root, Settings("side-" + std::to_string(i), true, i)));
      agents.back()->Start();
      workers.push_back(std::make_unique<Worker>(record, "i-" + std::to_string(i), Ip(2, i), kApp, Ip(2, i), kControl,
                                                 ZoneOf(i)));
      workers.back()->work_ms = options.work_ms;
    }
  }
  /// Ends all processes. The stand-ins live as long as the program.
  void Stop() {
    entries.clear();
    agents.clear();
    if (std::getenv("REVIEW_KEEP") == nullptr) std::filesystem::remove_all(m_folder);
  }

  static json Route(const std::string& name, const std::string& prefix) {
    return {{"name", name}, {"host", "h.example"}, {"path_prefix", prefix}, {"service", "dispatch"}, {"priority", 0},
            {"attempts", 2}, {"stretch", 1.5}, {"target_latency_ms", 250}, {"timeout_ms", 3000}};
  }
  void Configure(int version, const std::vector<json>& routes) {
    store->Put("keyed.op", "config",
               json{{"version", version}, {"routes", routes}, {"services", json::array()}, {"limits", json::object()}}
                   .dump());
  }

  std::string Ip(int group, int i) const {
    return "127." + std::to_string(m_net) + "." + std::to_string(group) + "." + std::to_string(i + 1);
  }
  std::string ZoneOf(int i) const { return m_options.zones[static_cast<std::size_t>(i) % m_options.zones.size()]; }

  bool AwaitEntry(int i, std::int64_t limit_ms = 10'000) {
    const std::int64_t end = Now() + limit_ms;
    while (Client(Ip(1, i), kReady).Call("GET", "/v1/readyz").status != 200) {
      if (Now() > end) return false;
      Sleep(50);
    }
    return true;
  }
  /// Whether every entry is ready and a job runs through.
  bool AwaitReady(std::int64_t limit_ms = 20'000) {
    const std::int64_t end = Now() + limit_ms;
    for (int i = 0; i < m_options.entries; ++i) {
      if (!AwaitEntry(i, end - Now())) return false;
    }
    const std::string job = "00000000000000aa";
    if (Submit(0, job).status != 200) return false;
    while (State(0, job) != "done") {
      if (Now() > end) return false;
      Sleep(50);
    }
    return true;
  }

  static std::string Headers(int deadline_ms = 3000) {
    return "Host: h.example\r\nContent-Type: application/json\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
  }
  static std::string JobBody(int count = 2, const std::string& spec = "s", bool lasts = false) {
    json step = {{"count", count}, {"cpu", 240}, {"mem_mb", 480}, {"est_ms", 300}};
    if (lasts) step["long_running"] = true;
    return json{{"spec", spec}, {"steps", {step}}}.dump();
  }
  Response Call(int entry, const std::string& method, const std::string& path, const std::string& body = {}) {
    const Response answer = Client(Ip(1, entry), kFront).Call(method, path, body, Headers());
    m_record.Add("call", {{"entry", entry}, {"method", method}, {"path", path}, {"status", answer.status}});
    return answer;
  }
  Response Submit(int entry, const std::string& job, int count = 2) {
    return Call(entry, "POST", "/q/" + job, JobBody(count));
  }
  std::string State(int entry, const std::string& job) {
    const Response answer = Client(Ip(1, entry), kFront).Call("GET", "/q/" + job, "", Headers());
    const json body = json::parse(answer.body, nullptr, false);
    return answer.status == 200 && body.is_object() ? body.value("state", "") : std::to_string(answer.status);
  }
  /// Starts at all workers of tasks of the job, as (time, task, run).
  std::vector<Worker::Start> StartsOf(const std::string& job) {
    std::vector<Worker::Start> starts;
    for (const auto& worker : workers) {
      for (const Worker::Start& start : worker->Starts()) {
        if (start.task.rfind(job + ".", 0) == 0) starts.push_back(start);
      }
    }
    return starts;
  }
  /// Index of the entry that owns the decisions, by its metrics; -1 if none says so.
  int Owner() {
    for (int i = 0; i < m_options.entries; ++i) {
      const Response answer = Client(Ip(1, i), 9464).Call("GET", "/metrics", "", "", 1000);
      if (answer.body.find("\nberylgauge_is_owner 1") != std::string::npos) return i;
    }
    return -1;
  }

  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Daemon>> entries, agents;
  std::vector<std::unique_ptr<Worker>> workers;

 private:
  std::string Settings(const std::string& host, bool is_agent, int i) {
    const std::string ip = Ip(is_agent ? 2 : 1, i);
    const auto at = [&](int port) { return ip + ":" + std::to_string(port); };
    json zones = json::object();
    for (const std::string& zone : m_options.zones) zones[zone] = "staffs";
    json settings = {
        {"node", host}, {"role", is_agent ? "agent" : "entry"}, {"class", is_agent ? "side" : "edge"},
        {"serves", {is_agent ? "side" : "edge"}}, {"ip", ip}, {"zone", ZoneOf(i)}, {"region", "staffs"},
        {"zones", zones}, {"port_range", {7720, 7735}}, {"seeds", json::array()}, {"bootstrap", true},
        {"heartbeat_ms", 1500}, {"orders", "call"},
        {"bounds",
         {{"contact_ms", 3000}, {"ack_ms", 4000}, {"drain_ms", 2000}, {"grace_s", 6}, {"loss_slack_ms", 200},
          {"config_apply_ms", 2000}, {"evac_ms", 5000}, {"hold_max_ms", 6000}, {"stop_ms", 200}, {"gang_ms", 3000},
          {"cancel_ms", 3000}, {"visible_ms", 3000}, {"early_ms", 250}, {"finish_s", 14}, {"status_s", 120}}},
        {"platform",
         {{"addr", Ip(0, 0) + ":" + std::to_string(kStore)}, {"form", "log"}, {"writes_per_s", 800},
          {"reads_per_s", 2000}, {"parts", 24}, {"append_ms", 1.0}, {"record_bytes", kRecordBytes}, {"call_bytes", kCallBytes},
          {"keep_s", 300}, {"part_mb", 200}, {"ttl_min_ms", 1000}}}};
    if (is_agent) {
      settings["listen"] = {{"control", at(kControl)}};
      settings["app"] = at(kApp);
    } else {
      settings["listen"] = {{"front", at(kFront)}, {"ready", at(kReady)}};
    }
    const std::string path = m_folder / (host + ".json");
    std::ofstream(path) << settings.dump();
    return path;
  }

  const FleetOptions m_options;
  Record& m_record;
  std::string m_root;
  std::filesystem::path m_folder;
  int m_net = 0;
};

/// The exit codes of a case.
inline constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;

inline bool WithTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

/// Ends the program without waiting for the threads of the stand-ins.
[[noreturn]] inline void Finish(Record& record, const std::string& verdict, int code) {
  record.Add("verdict", {{"text", verdict}, {"exit", code}});
  std::cout << verdict << std::endl;
  std::_Exit(code);
}

}  // namespace review
