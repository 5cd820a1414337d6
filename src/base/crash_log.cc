#include "base/crash_log.h"

#include <absl/debugging/stacktrace.h>
#include <absl/debugging/symbolize.h>
#include <signal.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <string>

#include "base/line_writer.h"

namespace berylgauge {
namespace {

constexpr std::array kSignals = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

/// A line of them fits into what a pipe takes at once (PIPE_BUF).
constexpr int kMaxFrames = 24;
constexpr std::size_t kMaxNameBytes = 120;
constexpr std::size_t kMaxLineBytes = 4000;

/// What the handler needs; it may not allocate memory.
struct CrashLog {
  std::string program;
  int fd = -1;
};

CrashLog& Settings() {
  static CrashLog log;
  return log;
}

/// Appends formatted text to a line of fixed size; what does not fit is cut.
class FixedLine {
 public:
  template <typename... Arguments>
  void Append(const char* format, Arguments... arguments) {
    const int size = std::snprintf(m_text.data() + m_size, kMaxLineBytes - m_size, format, arguments...);
    if (size > 0) m_size = std::min(m_size + static_cast<std::size_t>(size), kMaxLineBytes - 1);
  }

  std::string_view Finish() {
    m_text[m_size] = '\n';
    return {m_text.data(), m_size + 1};
  }

 private:
  std::array<char, kMaxLineBytes + 1> m_text{};
  std::size_t m_size = 0;
};

void AppendTime(FixedLine& line) {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm utc{};
  gmtime_r(&now.tv_sec, &utc);
  line.Append("time=%04d-%02d-%02dT%02d:%02d:%02d.%03d", utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday, utc.tm_hour,
              utc.tm_min, utc.tm_sec, static_cast<int>(now.tv_nsec / 1'000'000));
}

void AppendStack(FixedLine& line, const void* context) {
  std::array<void*, kMaxFrames> frames{};
  const int count = absl::GetStackTraceWithContext(frames.data(), kMaxFrames, 0, context, nullptr);
  line.Append(" stack=\"");
  for (int i = 0; i < count; ++i) {
    std::array<char, kMaxNameBytes> name{};
    const char* separator = i == 0 ? "" : " < ";
    if (absl::Symbolize(frames[i], name.data(), kMaxNameBytes)) {
      line.Append("%s%s", separator, name.data());
    } else {
      line.Append("%s%p", separator, frames[i]);
    }
  }
  line.Append("\"");
}

void OnCrash(int signal, siginfo_t* info, void* context) {
  FixedLine line;
  AppendTime(line);
  line.Append(" level=ERROR program=%s event=crashed signal=%s code=%d address=%p", Settings().program.c_str(),
              sigabbrev_np(signal), info->si_code, info->si_addr);
  AppendStack(line, context);
  LineWriter(Settings().fd).Write(line.Finish());
  // The action is the default again, so that the process ends with this signal when the handler returns.
  raise(signal);
}

}  // namespace

void InitCrashLog(std::string_view program, int fd) {
  Settings() = {.program = std::string(program), .fd = fd};
  absl::InitializeSymbolizer("/proc/self/exe");
  for (const int signal : kSignals) {
    struct sigaction action {};
    action.sa_sigaction = OnCrash;
    action.sa_flags = SA_SIGINFO | SA_RESETHAND;
    sigaction(signal, &action, nullptr);
  }
}

}  // namespace berylgauge
