#include "base/event_log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <cstdio>

namespace berylgauge {
namespace {

log4cxx::LoggerPtr EventLogger() {
  static const log4cxx::LoggerPtr kLogger = log4cxx::Logger::getLogger("berylgauge");
  return kLogger;
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
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
      "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p program=" + std::string(program) + " %m%n");
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, target == LogTarget::kStandardError ? "System.err" : "System.out");
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
  const log4cxx::LoggerPtr logger = EventLogger();
  const log4cxx::LevelPtr log_level = ToLog4cxx(level);
  if (!logger->isEnabledFor(log_level)) return;
  logger->forcedLog(log_level, FormatEvent(event, fields), LOG4CXX_LOCATION);
}

}  // namespace berylgauge
