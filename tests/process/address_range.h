#pragma once

#include "transport/unique_fd.h"

namespace berylgauge {

/// One of 200 ranges of loopback addresses that this process has for itself while the object exists.
class AddressRange {
 public:
  /// Throws if all are taken.
  AddressRange();

  /// Second byte of the addresses, 20 to 219.
  int number() const { return m_number; }

 private:
  UniqueFd m_lock;  ///< not inherited by child processes
  int m_number = 0;
};

}  // namespace berylgauge
