#pragma once

namespace berylgauge {

/// Read-side critical section of read-copy-update; registers the calling thread on first use.
class RcuReadSection {
 public:
  RcuReadSection();
  ~RcuReadSection();
  RcuReadSection(const RcuReadSection&) = delete;
  RcuReadSection& operator=(const RcuReadSection&) = delete;
};

/// Waits until every read-side section that began before the call has ended.
void WaitForRcuReaders();

}  // namespace berylgauge
