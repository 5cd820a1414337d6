#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include <csignal>
#include <cstdio>
#include <ctime>
#include <map>
#include <string>

#include "fleet.h"

namespace {

constexpr const char* kUsage =
    R"(Plays the agents of many workers towards entries. Prints a line of totals every second.

Usage:
  fleet --entries=LIST [options]

Options:
  --entries=LIST     Internal listeners of the entries, IP:PORT separated by commas.
  --workers=N        Number of workers, 1 to 2000 [default: 10].
  --attempts=N       Attempts that run on each worker from the beginning, 0 to 200 [default: 17].
  --endpoints=N      Endpoints of each worker, 0 to 64 [default: 3].
  --heartbeat-ms=N   Interval of the heartbeats, 50 to 10000 [default: 500].
  --run-ms=N         Run time of a started attempt, 1 to 600000 [default: 2000].
  --seconds=N        Exit after this time, 1 to 300 [default: 60].
  --print-starts     Print a line for each start command.
)";

using Arguments = std::map<std::string, docopt::value>;

int Number(const Arguments& arguments, const std::string& name, int min, int max) {
  int value = 0;
  if (absl::SimpleAtoi(arguments.at(name).asString(), &value) && value >= min && value <= max) return value;
  std::fprintf(stderr, "%s must be %d to %d\n", name.c_str(), min, max);
  std::exit(2);
}

}  // namespace

int main(int argc, char** argv) {
  using berylgauge::Fleet;
  const Arguments arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  const int seconds = Number(arguments, "--seconds", 1, 300);
  berylgauge::FleetOptions options{
      .entries = absl::StrSplit(arguments.at("--entries").asString(), ','),
      .workers = Number(arguments, "--workers", 1, 2000),
      .attempts = Number(arguments, "--attempts", 0, 200),
      .endpoints = Number(arguments, "--endpoints", 0, 64),
      .heartbeat = absl::Milliseconds(Number(arguments, "--heartbeat-ms", 50, 10'000)),
      .run_time = absl::Milliseconds(Number(arguments, "--run-ms", 1, 600'000)),
      .print_starts = arguments.at("--print-starts").asBool(),
  };
  sigset_t stop;
  sigemptyset(&stop);
  sigaddset(&stop, SIGTERM);
  sigaddset(&stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &stop, nullptr);
  Fleet fleet(std::move(options));
  const berylgauge::Result<void> started = fleet.Start();
  if (!started) {
    std::fprintf(stderr, "%s\n", started.error().message.c_str());
    return 1;
  }
  for (int i = 0; i < seconds; ++i) {
    const timespec second{.tv_sec = 1, .tv_nsec = 0};
    const bool stopped = sigtimedwait(&stop, nullptr, &second) > 0;
    const Fleet::Totals totals = fleet.Count();
    std::printf(
        "totals second=%d heartbeats=%llu replies=%llu failures=%llu starts=%llu acknowledged=%llu running=%zu "
        "bytes_out=%llu bytes_in=%llu lag_us=%lld\n",
        i + 1, static_cast<unsigned long long>(totals.heartbeats), static_cast<unsigned long long>(totals.replies),
        static_cast<unsigned long long>(totals.failures), static_cast<unsigned long long>(totals.starts),
        static_cast<unsigned long long>(totals.acknowledged), totals.running,
        static_cast<unsigned long long>(totals.bytes_out), static_cast<unsigned long long>(totals.bytes_in),
        static_cast<long long>(totals.latest_lag_us));
    std::fflush(stdout);
    if (stopped) break;
  }
  return 0;
}
