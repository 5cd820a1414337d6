#include "event_record.h"
#include "keyed_log_service.h"
#include "program.h"

namespace {

constexpr const char* kUsage = R"(Stand-in for the platform's metadata store.

Usage:
  standin_keyed_log [--address=IP] [--port=N] [--record=FILE]

Options:
  --address=IP   Address to listen on [default: 127.0.0.1].
  --port=N       Port to listen on; 0 lets the system choose [default: 0].
  --record=FILE  File to which each event is also written, one line of JSON each.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const ProgramArguments arguments = InitProgram(kUsage, argc, argv);
  EventRecord record(RecordFileOf(arguments));
  KeyedLogService service;
  return ServeUntilSignal(arguments, service, record);
}
