#include "support/child_process.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstring>
#include <sstream>
#include <stdexcept>

namespace berylgauge {
namespace {

constexpr absl::Duration kStartTimeout = absl::Seconds(10);

int PollMillis(absl::Time deadline) {
  const absl::Duration left = absl::Ceil(deadline - absl::Now(), absl::Milliseconds(1));
  return static_cast<int>(std::max(std::int64_t{0}, absl::ToInt64Milliseconds(left)));
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments) {
  int ends[2];
  if (pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
  Spawn(program, arguments, ends[1], false);
  close(ends[1]);
  try {
    ReadListeningLine(ends[0]);
  } catch (const std::runtime_error& error) {
    close(ends[0]);
    Kill();
    close(m_pid_fd);
    throw std::runtime_error(program + ": " + error.what());
  }
  close(ends[0]);
}

ChildProcess::ChildProcess(const std::string& program, const std::vector<std::string>& arguments,
                           const std::string& output_file) {
  const int output = open(output_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (output < 0) throw std::runtime_error("cannot write " + output_file);
  Spawn(program, arguments, output, true);
  close(output);
}

void ChildProcess::Spawn(const std::string& program, const std::vector<std::string>& arguments, int output,
                         bool with_errors) {
  std::vector<char*> argv = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t parent = getpid();
  m_pid = fork();
  if (m_pid == 0) {
    // Only calls that are safe after fork in a process with several threads.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);
    dup2(output, STDOUT_FILENO);
    if (with_errors) dup2(output, STDERR_FILENO);
    execv(program.c_str(), argv.data());
    _exit(127);
  }
  if (m_pid < 0) throw std::runtime_error("cannot start " + program);
  m_pid_fd = static_cast<int>(syscall(SYS_pidfd_open, m_pid, 0));
}

ChildProcess::~ChildProcess() {
  Kill();
  close(m_pid_fd);
}

void ChildProcess::ReadListeningLine(int fd) {
  const absl::Time deadline = absl::Now() + kStartTimeout;
  std::string line;
  while (line.empty() || line.back() != '\n') {
    pollfd readable{.fd = fd, .events = POLLIN, .revents = 0};
    if (poll(&readable, 1, PollMillis(deadline)) <= 0) throw std::runtime_error("does not listen in time");
    char c = 0;
    if (read(fd, &c, 1) != 1) throw std::runtime_error("ended before it listened");
    line += c;
  }
  std::istringstream words(line);
  std::string word;
  if (!(words >> word >> m_address >> m_port) || word != "listening") {
    throw std::runtime_error("unexpected output: " + line);
  }
}

void ChildProcess::Pause() {
  if (m_pid <= 0) return;
  Signal(SIGSTOP);
  // The signal is delivered asynchronously; the process may still answer a request before it stops.
  siginfo_t stopped{};
  // An end is left to be waited for: a pid that was waited for may be that of another process.
  waitid(P_PID, static_cast<id_t>(m_pid), &stopped, WSTOPPED | WEXITED | WNOWAIT);
}

void ChildProcess::Resume() const { Signal(SIGCONT); }

void ChildProcess::Signal(int signal) const {
  if (m_pid > 0) kill(m_pid, signal);
}

int ChildProcess::Stop(absl::Duration timeout) {
  if (m_pid <= 0 || TakeOwnEnd()) return -1;
  Signal(SIGTERM);
  if (!WaitForEnd(timeout)) {
    Kill();
    return -1;
  }
  return WIFEXITED(m_status) ? WEXITSTATUS(m_status) : -1;
}

void ChildProcess::Kill() {
  if (m_pid <= 0 || TakeOwnEnd()) return;
  Signal(SIGKILL);
  WaitForEnd(absl::Seconds(10));
}

const std::string& ChildProcess::OwnEnd() {
  if (m_pid > 0) TakeOwnEnd();
  return m_own_end;
}

bool ChildProcess::TakeOwnEnd() {
  if (!WaitForEnd(absl::ZeroDuration())) return false;
  m_own_end = WIFSIGNALED(m_status) ? absl::StrCat("signal ", sigabbrev_np(WTERMSIG(m_status)))
                                    : absl::StrCat("exit status ", WEXITSTATUS(m_status));
  return true;
}

bool ChildProcess::WaitForEnd(absl::Duration timeout) {
  pollfd ended{.fd = m_pid_fd, .events = POLLIN, .revents = 0};
  if (poll(&ended, 1, PollMillis(absl::Now() + timeout)) <= 0) return false;
  waitpid(m_pid, &m_status, 0);
  m_pid = -1;
  return true;
}

}  // namespace berylgauge
