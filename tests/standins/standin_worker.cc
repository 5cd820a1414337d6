#include <absl/random/random.h>
#include <absl/strings/str_cat.h>

#include "event_record.h"
#include "program.h"
#include "worker_service.h"

namespace {

constexpr const char* kUsage = R"(Stand-in for a worker of the platform.

Usage:
  standin_worker [--address=IP] [--port=N] [--boot-id=ID] [--cpu-millis=N] [--memory-mb=N] [--accelerators=N]
                 [--slots=N] [--usage-lag-ms=N] [--record=FILE]

Options:
  --address=IP       Address to listen on [default: 127.0.0.1].
  --port=N           Port to listen on; 0 lets the system choose [default: 0].
  --boot-id=ID       Boot id; random if it is not given.
  --cpu-millis=N     Thousandths of a processor core [default: 16000].
  --memory-mb=N      Memory in MB [default: 60000].
  --accelerators=N   Accelerators [default: 0].
  --slots=N          Task slots [default: 8].
  --usage-lag-ms=N   Age of the reported use of resources [default: 0].
  --record=FILE      File to which each event is also written, one line of JSON each.
)";

std::string RandomBootId() {
  absl::BitGen random;
  return absl::StrCat("boot-", absl::Hex(absl::Uniform<std::uint64_t>(random), absl::kZeroPad16));
}

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const ProgramArguments arguments = InitProgram(kUsage, argc, argv);
  const docopt::value& boot_id = arguments.at("--boot-id");
  EventRecord record(RecordFileOf(arguments));
  WorkerService service({.boot_id = boot_id ? boot_id.asString() : RandomBootId(),
                         .capacity = {.cpu_millis = arguments.at("--cpu-millis").asLong(),
                                      .memory_mb = arguments.at("--memory-mb").asLong(),
                                      .accelerators = arguments.at("--accelerators").asLong(),
                                      .slots = arguments.at("--slots").asLong()},
                         .usage_lag_ms = arguments.at("--usage-lag-ms").asLong()},
                        record);
  return ServeUntilSignal(arguments, service, record);
}
