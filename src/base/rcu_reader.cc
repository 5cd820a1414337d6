#include "base/rcu_reader.h"

#include <urcu/urcu-memb.h>

namespace berylgauge {
namespace {

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

RcuReadSection::~RcuReadSection() { urcu_memb_read_unlock(); }

void WaitForRcuReaders() { urcu_memb_synchronize_rcu(); }

}  // namespace berylgauge
