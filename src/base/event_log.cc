#include "base/event_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

#include <cstdio>
#include <memory>
#include <mutex>

#include "base/clock.h"
#include "base/crash_log.h"
#include "base/enum_names.h"
#include "base/line_writer.h"
#include "base/log_budget.h"

namespace berylgauge {
namespace {

log4cxx::LoggerPtr EventLogger() {
  static const log4cxx::LoggerPtr kLogger = log4cxx::Logger::getLogger("berylgauge");
  return kLogger;
}

/// Lines of one kind a second. At the peak of both sites some 80 tasks start a second.
constexpr std::uint32_t kLinesPerSecond = 200;

constexpr auto kLevelNames = MakeEnumNames<LogLevel>({
    {LogLevel::kDebug, "DEBUG"},
    {LogLevel::kInfo, "INFO"},
    {LogLevel::kWarning, "WARN"},
    {LogLevel::kError, "ERROR"},
});

/// Log on standard output, which must never hold the program up; a console appender of log4cxx would.
class StandardOutputLog {
 public:
  StandardOutputLog(std::string_view program, LogLevel level) : m_program(program), m_level(level) {}

  void Write(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
    if (level < m_level) return;
    const MonotonicTime now = m_clock.Now();
    const std::lock_guard lock(m_mutex);
    for (const auto& [kind, count] : m_budget.TakeOmitted(now)) {
      WriteLine(LogLevel::kWarning, FormatEvent("log_omitted", {{"kind", kind}, {"lines", count}}));
    }
    if (const std::uint64_t dropped = m_writer.TakeDropped(); dropped > 0) {
      WriteLine(LogLevel::kWarning, FormatEvent("log_dropped", {{"lines", dropped}}));
    }
    if (m_budget.Allow(event, now)) WriteLine(level, FormatEvent(event, fields));
  }

 private:
  void WriteLine(LogLevel level, const std::string& text) {
    const std::string time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3S", m_clock.WallNow(), absl::UTCTimeZone());
    m_writer.Write("time=" + time + " level=" + std::string(kLevelNames.NameOf(level)) + " program=" + m_program + " " +
                   text + "\n");
  }

  const std::string m_program;
  const LogLevel m_level;
  const SystemClock m_clock;
  std::mutex m_mutex;
  LogBudget m_budget{kLinesPerSecond};
  LineWriter m_writer{STDOUT_FILENO};
};

/// Null unless the log goes to standard output; set once, before other threads start.
std::unique_ptr<StandardOutputLog>& OutputLog() {
  static std::unique_ptr<StandardOutputLog> log;
  return log;
}

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == 0x7f || c == '"' || c == '=' || c == '\\') return true;
  }
  return false;
}

void AppendQuoted(std::string& out, std::string_view value) {
  out += '"';
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c == '\n') {
      out += "\\n";
    } else if (byte < ' ' || byte == 0x7f) {
      char escaped[8];
      std::snprintf(escaped, sizeof(escaped), "\\x%02x", byte);
      out += escaped;
    } else {
      out += c;
    }
  }
  out += '"';
}

}  // namespace

void InitEventLog(std::string_view program, LogLevel level, LogTarget target) {
  InitCrashLog(program, target == LogTarget::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO);
  if (target == LogTarget::kStandardOutput) {
    OutputLog() = std::make_unique<StandardOutputLog>(program, level);
    return;
  }
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p program=" + std::string(program) + " %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, "System.err");
  EventLogger()->removeAllAppenders();
  EventLogger()->setAdditivity(false);
  EventLogger()->addAppender(appender);
  EventLogger()->setLevel(ToLog4cxx(level));
}

std::string FormatEvent(std::string_view event, std::initializer_list<LogField> fields) {
  std::string line = "event=" + std::string(event);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    if (NeedsQuotes(field.value)) {
      AppendQuoted(line, field.value);
    } else {
      line += field.value;
    }
  }
  return line;
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  if (OutputLog() != nullptr) {
    OutputLog()->Write(level, event, fields);
    return;
  }
  const log4cxx::LoggerPtr logger = EventLogger();
  const log4cxx::LevelPtr log_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log_level)) return;
  logger->forcedLog(log_level, FormatEvent(event, fields), LOG4CXX_LOCATION);
}

}  // namespace berylgauge
