#include "base/rcu_reader.h"

#include <urcu/urcu-memb.h>

#if defined(__SANITIZE_THREAD__)
#include <sanitizer/tsan_interface.h>
#endif

namespace berylgauge {
namespace {

#if defined(__SANITIZE_THREAD__)
/// liburcu is not instrumented, so the thread sanitizer does not see that a writer waits for the readers. These tell
/// it.
char g_read_sections_end = 0;
void TellReadSectionEnds() { __tsan_release(&g_read_sections_end); }
void TellReadSectionsEnded() { __tsan_acquire(&g_read_sections_end); }
#else
void TellReadSectionEnds() {}
void TellReadSectionsEnded() {}
#endif

/// Registers a thread with liburcu for as long as the thread lives.
class ThreadRegistration {
 public:
  ThreadRegistration() { urcu_memb_register_thread(); }
  ~ThreadRegistration() { urcu_memb_unregister_thread(); }
  ThreadRegistration(const ThreadRegistration&) = delete;
  ThreadRegistration& operator=(const ThreadRegistration&) = delete;
};

}  // namespace

RcuReadSection::RcuReadSection() {
  static thread_local const ThreadRegistration kRegistration;
  urcu_memb_read_lock();
}

RcuReadSection::~RcuReadSection() {
  TellReadSectionEnds();
  urcu_memb_read_unlock();
}

void WaitForRcuReaders() {
  urcu_memb_synchronize_rcu();
  TellReadSectionsEnded();
}

}  // namespace berylgauge
