#include <docopt/docopt.h>

#include <iostream>

#include "cli/command_line.h"

namespace {

constexpr const char* kVersion = "berylgauge 0.1.0";

int Exit(berylgauge::ExitCode code) { return static_cast<int>(code); }

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments = docopt::docopt_parse(berylgauge::kCommandLineUsage, {argv + 1, argv + argc}, true, true);
    return Exit(berylgauge::CommandLine(arguments).Run());
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << berylgauge::kCommandLineUsage;
    return Exit(berylgauge::ExitCode::kDone);
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << "\n";
    return Exit(berylgauge::ExitCode::kDone);
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n" << berylgauge::kCommandLineUsage;
    return Exit(berylgauge::ExitCode::kUsage);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return Exit(berylgauge::ExitCode::kFailed);
  }
}
