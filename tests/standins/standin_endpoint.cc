#include "announcer.h"
#include "endpoint_service.h"
#include "event_record.h"
#include "program.h"

namespace {

constexpr const char* kUsage = R"(Stand-in for an endpoint of a service.

Usage:
  standin_endpoint [--address=IP] [--port=N] [--agent=IP:PORT] [--service=NAME] [--slots=N] [--service-ms=N]
                   [--record=FILE]

Options:
  --address=IP     Address to listen on [default: 127.0.0.1].
  --port=N         Port to listen on; 0 lets the system choose [default: 0].
  --agent=IP:PORT  Agent to announce itself to; nothing is announced if it is not given.
  --service=NAME   Service [default: dispatch].
  --slots=N        Requests that are served at the same time; further ones wait [default: 4].
  --service-ms=N   Service time of a request [default: 0].
  --record=FILE    File to which each event is also written, one line of JSON each.
)";

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const ProgramArguments arguments = InitProgram(kUsage, argc, argv);
  const docopt::value& agent = arguments.at("--agent");
  const std::int64_t slots = arguments.at("--slots").asLong();
  EventRecord record(RecordFileOf(arguments));
  Announcer announcer({.agent = agent ? agent.asString() : "",
                       .service = arguments.at("--service").asString(),
                       .slots = static_cast<int>(slots)},
                      record);
  EndpointService service({.service_ms = arguments.at("--service-ms").asLong(), .slots = slots}, announcer, record);
  return ServeUntilSignal(arguments, service, record, [&](const std::string& address) { announcer.Start(address); });
}
