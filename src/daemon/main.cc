#include <docopt/docopt.h>
#include <pthread.h>
#include <signal.h>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "daemon/agent/agent_node.h"
#include "daemon/entry/entry_node.h"
#include "platform/platform_node.h"
#include "platform/platform_settings.h"
#include "settings/settings_reader.h"

namespace {

using berylgauge::DaemonRole;
using berylgauge::DaemonSettings;
using berylgauge::LogEvent;
using berylgauge::LogLevel;

constexpr const char* kVersion = "berylgauged 0.1.0";

constexpr const char* kUsage = R"(berylgauged: the daemon of berylgauge, in the role that its settings name.

Usage:
  berylgauged [--check] SETTINGS
  berylgauged [--check] --platform [SETTINGS]
  berylgauged (-h | --help)
  berylgauged --version

Options:
  --check     Check the settings and exit.
  --platform  Run on the shared platform; its settings file is SETTINGS or named by the variable BERYLGAUGE_BOOT.
  -h --help   Show this text.
  --version   Show the version.

Exit codes:
  0  stopped after SIGTERM or SIGINT with everything finished
  1  could not start, or requests were still open at the limit of the shutdown
  2  wrong usage or settings
)";

constexpr const char* kPlatformSettingsVariable = "BERYLGAUGE_BOOT";

constexpr int kExitDone = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

std::unique_ptr<berylgauge::Node> MakeNode(const DaemonSettings& settings) {
  if (settings.role == DaemonRole::kEntry) return std::make_unique<berylgauge::EntryNode>(settings);
  return std::make_unique<berylgauge::AgentNode>(settings);
}

/// Blocks the signals that end the program, so that only `WaitForSignal` receives them.
sigset_t BlockSignals() {
  signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

/// Makes the node and runs it until a signal ends it.
int RunNode(const std::function<std::unique_ptr<berylgauge::Node>()>& make_node) {
  // Before the node is made, because its threads inherit the mask: one that does not block a signal ends the program.
  const sigset_t signals = BlockSignals();
  const std::unique_ptr<berylgauge::Node> node = make_node();
  const berylgauge::Result<void> started = node->Start();
  if (!started) {
    LogEvent(LogLevel::kError, "start_failed", {{"reason", started.error().message}});
    return kExitFailed;
  }
  int received = 0;
  while (sigwait(&signals, &received) == 0 && received == SIGHUP) node->Reload();
  LogEvent(LogLevel::kInfo, "stopping", {{"signal", received}});
  const bool finished = node->Shutdown();
  LogEvent(LogLevel::kInfo, "stopped", {{"finished", finished}});
  return finished ? kExitDone : kExitFailed;
}

int Run(const std::string& path, bool check_only) {
  const std::vector<berylgauge::JsonError> errors = berylgauge::CheckSettings(path);
  for (const berylgauge::JsonError& error : errors) std::cerr << error.path << ": " << error.message << "\n";
  if (!errors.empty()) return kExitUsage;
  if (check_only) return kExitDone;
  const berylgauge::Result<DaemonSettings> settings = berylgauge::LoadSettings(path);
  if (!settings) {
    std::cerr << settings.error().message << "\n";
    return kExitUsage;
  }
  berylgauge::InitEventLog(settings->node_id, settings->log_level);
  return RunNode([&] { return MakeNode(*settings); });
}

int RunOnPlatform(std::string path, bool check_only) {
  const char* named = std::getenv(kPlatformSettingsVariable);
  if (path.empty() && named != nullptr) path = named;
  if (path.empty()) {
    std::cerr << "no SETTINGS, and " << kPlatformSettingsVariable << " is not set\n";
    return kExitUsage;
  }
  const auto settings = berylgauge::platform::LoadPlatformSettings(path);
  if (!settings) {
    std::cerr << path << ": " << settings.error().field << ": " << settings.error().message << "\n";
    return kExitUsage;
  }
  if (check_only) return kExitDone;
  berylgauge::InitEventLog(settings->host, LogLevel::kInfo, berylgauge::LogTarget::kStandardOutput);
  return RunNode([&] { return berylgauge::platform::MakePlatformNode(*settings, path); });
}

}  // namespace

int main(int argc, char** argv) {
  try {
    const auto arguments = docopt::docopt_parse(kUsage, {argv + 1, argv + argc}, true, true);
    const docopt::value& settings = arguments.at("SETTINGS");
    if (arguments.at("--platform").asBool()) {
      return RunOnPlatform(settings ? settings.asString() : "", arguments.at("--check").asBool());
    }
    return Run(arguments.at("SETTINGS").asString(), arguments.at("--check").asBool());
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return kExitDone;
  } catch (const docopt::DocoptExitVersion&) {
    std::cout << kVersion << "\n";
    return kExitDone;
  } catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n" << kUsage;
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return kExitFailed;
  }
}
