#pragma once

#include <map>
#include <string>

#include "cli/exit_code.h"

namespace docopt {
struct value;
}

namespace berylgauge {

using CommandLineArguments = std::map<std::string, docopt::value>;

/// Usage text in docopt's syntax.
extern const char* const kCommandLineUsage;

/// Carries out one command and prints its result.
class CommandLine {
 public:
  explicit CommandLine(const CommandLineArguments& arguments);

  ExitCode Run();

 private:
  ExitCode RunRemote();
  ExitCode CheckSettingsFile() const;

  bool Is(const char* word) const;
  std::string Text(const char* name) const;

  const CommandLineArguments& m_arguments;
};

}  // namespace berylgauge
