#include "event_record.h"
#include "log_service.h"
#include "program.h"

namespace {

constexpr const char* kUsage = R"(Stand-in for the platform's log.

Usage:
  standin_log [--address=IP] [--port=N] [--retain-records=N] [--retain-ms=N] [--record=FILE]

Options:
  --address=IP        Address to listen on [default: 127.0.0.1].
  --port=N            Port to listen on; 0 lets the system choose [default: 0].
  --retain-records=N  Records that each stream retains; 0 means all [default: 0].
  --retain-ms=N       Milliseconds for which a record is retained; 0 means forever [default: 0].
  --record=FILE       File to which each event is also written, one line of JSON each.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const ProgramArguments arguments = InitProgram(kUsage, argc, argv);
  EventRecord record(RecordFileOf(arguments));
  LogService service(
      {.max_records = arguments.at("--retain-records").asLong(), .max_age_ms = arguments.at("--retain-ms").asLong()},
      record);
  return ServeUntilSignal(arguments, service, record);
}
