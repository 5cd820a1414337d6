#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace berylgauge {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// One key=value pair of a log line.
struct LogField {
  std::string_view key;
  std::string value;

  LogField(std::string_view k, std::string_view v) : key(k), value(v) {}
  LogField(std::string_view k, const std::string& v) : key(k), value(v) {}
  LogField(std::string_view k, const char* v) : key(k), value(v) {}
  LogField(std::string_view k, bool v) : key(k), value(v ? "true" : "false") {}
  template <std::integral T>
  LogField(std::string_view k, T v) : key(k), value(std::to_string(v)) {}
};

enum class LogTarget { kStandardError, kStandardOutput };

/// Directs log lines to `target` at `level` and above, and the line of a crash as well. Call it once at the start of a
/// program.
void InitEventLog(std::string_view program, LogLevel level, LogTarget target = LogTarget::kStandardError);

/// Writes one line `event=NAME key=value ...`; values with spaces, quotes or control characters are quoted.
void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields);

/// Formats the line without time and level.
std::string FormatEvent(std::string_view event, std::initializer_list<LogField> fields);

}  // namespace berylgauge
