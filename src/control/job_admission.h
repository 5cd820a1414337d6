#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "base/enum_names.h"

namespace berylgauge::control {

enum class JobAdmissionVerdict {
  kAdmitted,
  kNoMemory,        ///< as long as other jobs take their memory
  kTooLarge,        ///< also without other jobs
  kOutgrowsRecord,  ///< the store does not take its record
};

inline constexpr auto kJobAdmissionVerdictNames = MakeEnumNames<JobAdmissionVerdict>({
    {JobAdmissionVerdict::kAdmitted, "admitted"},
    {JobAdmissionVerdict::kNoMemory, "no-memory"},
    {JobAdmissionVerdict::kTooLarge, "too-large"},
    {JobAdmissionVerdict::kOutgrowsRecord, "outgrows-record"},
});

struct JobAdmissionOptions {
  std::size_t memory_bytes = 0;      ///< of this entry for accepted jobs; 0 for no limit
  std::size_t max_record_bytes = 0;  ///< of one job in the store; 0 for no limit
};

/// Decides whether a job is accepted, by the memory that accepted jobs take in the entries.
///
/// Answers the load of clients that submit many large jobs: every entry keeps all accepted jobs and may have to
/// schedule them, so the one with the least memory sets the limit. A job may take a quarter of what is left, so that
/// large jobs leave room for small ones.
class JobAdmission {
 public:
  explicit JobAdmission(const JobAdmissionOptions& options) : m_options(options) {}

  /// `memory_bytes` of another entry; 0 if it states no limit.
  void SetPeer(const std::string& host, std::size_t memory_bytes);

  /// `footprint` bytes are for the job, `used` for those that are accepted or under way to the store.
  JobAdmissionVerdict Decide(std::size_t record_bytes, std::size_t footprint, std::size_t used) const;

  /// Of the entry with the least memory; 0 for no limit.
  std::size_t memory_bytes() const;

 private:
  const JobAdmissionOptions m_options;
  std::map<std::string, std::size_t> m_peers;  ///< that state a limit
};

}  // namespace berylgauge::control
