#pragma once

#include <absl/time/time.h>
#include <sys/types.h>

#include <string>
#include <vector>

namespace berylgauge {

/// A program that listens on a port, run as a child process for as long as the object lives.
///
/// The child is killed when the thread that created the object ends, so that nothing outlives a test that crashes.
class ChildProcess {
 public:
  /// Starts `program` and waits for its line "listening ADDRESS PORT"; throws std::runtime_error without that line.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments);

  /// Starts `program`, whose output is appended to `output_file`, and does not wait for it.
  ChildProcess(const std::string& program, const std::vector<std::string>& arguments, const std::string& output_file);

  /// Kills the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  pid_t pid() const { return m_pid; }
  int port() const { return m_port; }

  /// "ADDRESS:PORT" on which the process listens.
  std::string Address() const { return m_address + ":" + std::to_string(m_port); }

  /// Stops all threads of the process and returns once they have stopped.
  void Pause();

  /// Lets a paused process go on.
  void Resume() const;

  /// Sends SIGTERM and waits for the end. Returns the exit code, or -1 if the process ended by a signal or had to be
  /// killed after `timeout`.
  int Stop(absl::Duration timeout = absl::Seconds(10));

  /// Sends SIGKILL and waits for the end.
  void Kill();

  /// How the process ended by itself, "exit status 1" or "signal SEGV"; empty if it runs or was stopped or killed.
  const std::string& OwnEnd();

 private:
  void Signal(int signal) const;

  /// Takes in the end of a process that has ended by itself; false if it is still running.
  bool TakeOwnEnd();

  /// Starts the program with standard output and, if asked for, standard error connected to `output`.
  void Spawn(const std::string& program, const std::vector<std::string>& arguments, int output, bool with_errors);

  void ReadListeningLine(int fd);

  /// Waits for the end of the process; false if it is still running after `timeout`.
  bool WaitForEnd(absl::Duration timeout);

  pid_t m_pid = -1;
  int m_pid_fd = -1;
  int m_status = 0;
  std::string m_own_end;
  std::string m_address;
  int m_port = 0;
};

}  // namespace berylgauge
