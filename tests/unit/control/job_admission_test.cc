#include "control/job_admission.h"

#include <catch2/catch.hpp>
#include <cstddef>

namespace berylgauge::control {
namespace {

struct AdmissionRow {
  std::size_t own_memory;
  std::size_t peer_memory;
  std::size_t record_bytes;
  std::size_t footprint;
  std::size_t used;
  JobAdmissionVerdict verdict;
};

// Guards against accepted jobs that no entry has memory for, against a record that the store refuses together with the
// jobs of others, and against large jobs that leave no room for small ones.
TEST_CASE("a job is admitted by the memory of the smallest entry", "[admission]") {
  constexpr auto kAdmitted = JobAdmissionVerdict::kAdmitted;
  constexpr auto kNoMemory = JobAdmissionVerdict::kNoMemory;
  constexpr auto kTooLarge = JobAdmissionVerdict::kTooLarge;
  const AdmissionRow row = GENERATE(AdmissionRow{1000, 0, 10, 250, 0, kAdmitted},     //
                                    AdmissionRow{1000, 0, 10, 251, 0, kTooLarge},     //
                                    AdmissionRow{1000, 0, 10, 250, 1, kNoMemory},     //
                                    AdmissionRow{1000, 0, 10, 1, 996, kAdmitted},     //
                                    AdmissionRow{1000, 0, 10, 1, 997, kNoMemory},     //
                                    AdmissionRow{1000, 0, 10, 1, 5000, kNoMemory},    //
                                    AdmissionRow{1000, 400, 10, 101, 0, kTooLarge},   //
                                    AdmissionRow{1000, 4000, 10, 251, 0, kTooLarge},  //
                                    AdmissionRow{0, 400, 10, 101, 0, kTooLarge},      //
                                    AdmissionRow{0, 0, 10, 1'000'000, 0, kAdmitted},  //
                                    AdmissionRow{0, 0, 100, 1, 0, kAdmitted},         //
                                    AdmissionRow{0, 0, 101, 1, 0, JobAdmissionVerdict::kOutgrowsRecord});
  CAPTURE(row.own_memory, row.peer_memory, row.record_bytes, row.footprint, row.used);
  JobAdmission admission({.memory_bytes = row.own_memory, .max_record_bytes = 100});
  admission.SetPeer("other", row.peer_memory);
  CHECK(admission.Decide(row.record_bytes, row.footprint, row.used) == row.verdict);
}

// Guards against a host that limits the others after it was replaced by one with more memory.
TEST_CASE("the newest statement of an entry counts", "[admission]") {
  JobAdmission admission({.memory_bytes = 1000});
  admission.SetPeer("other", 100);
  CHECK(admission.memory_bytes() == 100);
  admission.SetPeer("other", 500);
  CHECK(admission.memory_bytes() == 500);
  admission.SetPeer("other", 0);
  CHECK(admission.memory_bytes() == 1000);
}

}  // namespace
}  // namespace berylgauge::control
