#include "event_record.h"
#include "leased_worker_service.h"
#include "program.h"

namespace {

constexpr const char* kUsage = R"(Stand-in for a worker of the platform with leases, run numbers and a list of ends.

Usage:
  standin_leased_worker --id=ID --agent=IP:PORT [--address=IP] [--port=N] [--zone=NAME] [--work-ms=N]
                        [--hold-max-ms=N] [--clock-ms=N] [--record=FILE]

Options:
  --id=ID          Id of the worker.
  --agent=IP:PORT  Takes the heartbeats.
  --address=IP     Address to listen on [default: 127.0.0.1].
  --port=N         Port to listen on; 0 lets the system choose [default: 0].
  --zone=NAME      Availability zone [default: zone-0].
  --work-ms=N      Run time of each task in milliseconds [default: 300].
  --hold-max-ms=N  Longest lease in milliseconds [default: 6000].
  --clock-ms=N     Clock at the start, as of a worker that has been up for that long [default: 0].
  --record=FILE    File to which each event is also written, one line of JSON each.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const ProgramArguments arguments = InitProgram(kUsage, argc, argv);
  EventRecord record(RecordFileOf(arguments));
  LeasedWorkerService service({.id = arguments.at("--id").asString(),
                               .zone = arguments.at("--zone").asString(),
                               .agent = arguments.at("--agent").asString(),
                               .work_ms = arguments.at("--work-ms").asLong(),
                               .hold_max_ms = arguments.at("--hold-max-ms").asLong(),
                               .clock_ms = arguments.at("--clock-ms").asLong()},
                              record);
  return ServeUntilSignal(arguments, service, record);
}
