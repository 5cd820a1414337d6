#include "program.h"

#include <absl/strings/str_cat.h>
#include <signal.h>

#include <iostream>

#include "standin_server.h"

namespace berylgauge {
namespace {

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

ProgramArguments InitProgram(const std::string& usage, int argc, char** argv) {
  const sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return docopt::docopt(usage, {argv + 1, argv + argc});
}

std::string RecordFileOf(const ProgramArguments& arguments) {
  const docopt::value& file = arguments.at("--record");
  return file ? file.asString() : "";
}

int ServeUntilSignal(const ProgramArguments& arguments, StandinService& service, EventRecord& record,
                     const std::function<void(const std::string&)>& on_listening) {
  const std::string address = arguments.at("--address").asString();
  StandinServer server(service, record);
  const Result<int> port = server.Start(address, static_cast<int>(arguments.at("--port").asLong()));
  if (!port) {
    std::cerr << port.error().message << "\n";
    return 1;
  }
  if (on_listening) on_listening(absl::StrCat(address, ":", *port));
  std::cout << "listening " << address << " " << *port << std::endl;
  const sigset_t signals = StopSignals();
  int received = 0;
  sigwait(&signals, &received);
  server.Stop();
  return 0;
}

}  // namespace berylgauge
