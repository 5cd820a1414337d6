#pragma once

#include <unistd.h>

#include <utility>

namespace berylgauge {

/// Owns a file descriptor and closes it.
class UniqueFd {
 public:
  UniqueFd() = default;
  explicit UniqueFd(int fd) : m_fd(fd) {}
  ~UniqueFd() { Reset(); }
  UniqueFd(UniqueFd&& other) noexcept : m_fd(std::exchange(other.m_fd, -1)) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) {
      Reset();
      m_fd = std::exchange(other.m_fd, -1);
    }
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;

  int get() const { return m_fd; }
  bool valid() const { return m_fd >= 0; }

  void Reset() {
    if (m_fd >= 0) close(m_fd);
    m_fd = -1;
  }

 private:
  int m_fd = -1;
};

}  // namespace berylgauge
