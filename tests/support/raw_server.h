#pragma once

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace berylgauge {

/// Answers every connection with the same bytes after one whole request, and closes it. For answers that a proper
/// server does not send.
class RawServer {
 public:
  explicit RawServer(std::string answer);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  /// "ADDRESS:PORT".
  std::string Address() const { return "127.0.0.1:" + std::to_string(m_port); }

  /// The requests as received.
  std::vector<std::string> Requests() const;

 private:
  void Run();
  void Serve(int connection);

  const std::string m_answer;
  int m_socket = -1;
  int m_stop_fd = -1;
  int m_port = 0;
  mutable std::mutex m_mutex;
  std::vector<std::string> m_requests;
  std::thread m_thread;
};

}  // namespace berylgauge
