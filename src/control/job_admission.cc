#include "control/job_admission.h"

#include <algorithm>

namespace berylgauge::control {
namespace {

/// Part of the free memory that one job may take.
constexpr std::size_t kJobDivisor = 4;

}  // namespace

void JobAdmission::SetPeer(const std::string& host, std::size_t memory_bytes) {
  if (memory_bytes == 0) {
    m_peers.erase(host);
  } else {
    m_peers[host] = memory_bytes;
  }
}

JobAdmissionVerdict JobAdmission::Decide(std::size_t record_bytes, std::size_t footprint, std::size_t used) const {
  if (m_options.max_record_bytes > 0 && record_bytes > m_options.max_record_bytes) {
    return JobAdmissionVerdict::kOutgrowsRecord;
  }
  const std::size_t limit = memory_bytes();
  if (limit == 0) return JobAdmissionVerdict::kAdmitted;
  if (footprint > limit / kJobDivisor) return JobAdmissionVerdict::kTooLarge;
  const std::size_t left = limit - std::min(limit, used);
  return footprint > left / kJobDivisor ? JobAdmissionVerdict::kNoMemory : JobAdmissionVerdict::kAdmitted;
}

std::size_t JobAdmission::memory_bytes() const {
  std::size_t least = m_options.memory_bytes;
  for (const auto& [host, bytes] : m_peers) least = least == 0 ? bytes : std::min(least, bytes);
  return least;
}

}  // namespace berylgauge::control
