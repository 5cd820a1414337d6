#pragma once

#include <string_view>

namespace berylgauge {

/// Lets a signal of a crash (SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT) write one log line `event=crashed` with the
/// signal, the address of the fault and the functions on the stack to `fd` before it ends the process. Call it once,
/// before other threads start. A stack that has overflowed leaves no line.
void InitCrashLog(std::string_view program, int fd);

}  // namespace berylgauge
