#pragma once

#include <docopt/docopt.h>

#include <functional>
#include <map>
#include <string>

#include "event_record.h"
#include "standin_service.h"

namespace berylgauge {

using ProgramArguments = std::map<std::string, docopt::value>;

/// Value of the option --record; empty if it was not given.
std::string RecordFileOf(const ProgramArguments& arguments);

/// Blocks SIGTERM and SIGINT, so that no thread created later is interrupted, and parses the command line.
ProgramArguments InitProgram(const std::string& usage, int argc, char** argv);

/// Serves on `--address` and `--port`, prints "listening ADDRESS PORT", and returns the exit code after SIGTERM.
///
/// `on_listening` is called with "ADDRESS:PORT" before the line is printed.
int ServeUntilSignal(const ProgramArguments& arguments, StandinService& service, EventRecord& record,
                     const std::function<void(const std::string&)>& on_listening = {});

}  // namespace berylgauge
