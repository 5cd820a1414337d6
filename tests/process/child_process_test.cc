#include "support/child_process.h"

#include <absl/time/clock.h>
#include <signal.h>
#include <sys/wait.h>

#include <catch2/catch.hpp>

namespace berylgauge {
namespace {

/// Time for a shell to start and end on a busy machine.
constexpr absl::Duration kEndTimeout = absl::Seconds(20);

std::string AwaitOwnEnd(ChildProcess& process) {
  const absl::Time deadline = absl::Now() + kEndTimeout;
  while (process.OwnEnd().empty() && absl::Now() < deadline) absl::SleepFor(absl::Milliseconds(10));
  return process.OwnEnd();
}

}  // namespace

// Guards against a process that is gone without a word in the message of the test that waits for it.
TEST_CASE("the end of a child process that no test asked for is kept") {
  struct Row {
    std::string script;
    std::string end;
  };
  const Row row = GENERATE(Row{"exit 3", "exit status 3"}, Row{"exit 0", "exit status 0"},
                           Row{"kill -SEGV $$", "signal SEGV"}, Row{"kill -KILL $$", "signal KILL"});
  CAPTURE(row.script);
  ChildProcess process("/bin/sh", {"-c", row.script}, "/dev/null");
  CHECK(AwaitOwnEnd(process) == row.end);
  process.Kill();
  REQUIRE(process.OwnEnd() == row.end);
}

// Guards against a process that counts as ended by itself because a test killed it.
TEST_CASE("the end of a child process that a test asked for is not its own") {
  const bool by_term = GENERATE(true, false);
  CAPTURE(by_term);
  ChildProcess process("/bin/sleep", {"60"}, "/dev/null");
  process.Pause();
  CHECK(process.OwnEnd().empty());
  process.Resume();
  if (by_term) {
    process.Stop();
  } else {
    process.Kill();
  }
  REQUIRE(process.OwnEnd().empty());
}

// Guards against signals to another process that got the pid of one that had ended before it was paused.
TEST_CASE("a child process that had ended before it was paused keeps its pid until its end is taken in") {
  ChildProcess process("/bin/sh", {"-c", "exit 3"}, "/dev/null");
  siginfo_t ended{};
  REQUIRE(waitid(P_PID, static_cast<id_t>(process.pid()), &ended, WEXITED | WNOWAIT) == 0);
  process.Pause();
  CHECK(kill(process.pid(), 0) == 0);
  REQUIRE(AwaitOwnEnd(process) == "exit status 3");
}

}  // namespace berylgauge
