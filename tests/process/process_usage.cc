#include "process/process_usage.h"

#include <arpa/inet.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::chrono::milliseconds kSampleInterval{10};
constexpr std::int64_t kBytesPerKb = 1024;

/// A field of /proc/PID/status in bytes; -1 if it is not there.
std::int64_t StatusBytes(const ChildProcess& process, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(process.pid()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field + ":")) return kBytesPerKb * std::stoll(line.substr(field.size() + 1));
  }
  return -1;
}

}  // namespace

std::int64_t PeakBytes(const ChildProcess& process) { return StatusBytes(process, "VmHWM"); }

int OpenDescriptors(const ChildProcess& process) {
  const std::filesystem::directory_iterator files("/proc/" + std::to_string(process.pid()) + "/fd");
  return static_cast<int>(std::distance(begin(files), end(files)));
}

std::int64_t UnreadBytes(const std::string& ip) {
  in_addr address{};
  inet_pton(AF_INET, ip.c_str(), &address);
  std::ifstream sockets("/proc/net/tcp");
  std::string line;
  std::getline(sockets, line);  // the header
  std::int64_t unread = 0;
  while (std::getline(sockets, line)) {
    std::istringstream row(line);
    std::string number;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    row >> number >> local >> remote >> state >> queues;
    constexpr const char* kListening = "0A";  // its receive queue counts connections
    if (state == kListening || std::stoul(local.substr(0, local.find(':')), nullptr, 16) != address.s_addr) continue;
    unread += std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return unread;
}

UsageWatch::UsageWatch(const ChildProcess& process, std::string ip)
    : m_process(process), m_ip(std::move(ip)), m_thread([this] { Run(); }) {}

UsageWatch::~UsageWatch() {
  m_stopping = true;
  m_thread.join();
}

void UsageWatch::Run() {
  while (!m_stopping) {
    m_peak = std::max(m_peak.load(), StatusBytes(m_process, "VmRSS") + UnreadBytes(m_ip));
    std::this_thread::sleep_for(kSampleInterval);
  }
}

}  // namespace berylgauge
