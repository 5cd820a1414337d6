#include "workflow/run_pace.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Two figures of half a second after the start, so that the start itself does not count as slow.
constexpr std::int64_t kSettledAfterMs = 1200;
/// The first figure, of half a second, and half a second more.
constexpr std::int64_t kStandstillAfterMs = 1000;
/// Restoring a checkpoint takes 600 ms, in which a run gets no processor time.
constexpr std::int64_t kRestoreMs = 600;
/// Least share of the work from which the work of the whole task is derived; the percentages are whole numbers.
constexpr double kReliableShare = 0.1;
/// Where lists are further apart, the processor time between them is not known.
constexpr std::int64_t kLongestGapMs = 2000;

}  // namespace

void RunPace::Observe(const RunSample& sample) {
  // The clock goes back where the worker's next life has carried the start out.
  if (sample.run != run || sample.clock_ms < clock_ms) {
    run = sample.run;
    is_resumed = sample.is_resumed;
    first_percent = std::clamp(sample.percent, 0, 100);
    work_ms = 0;
    since_ms = sample.clock_ms;
    clock_ms = sample.clock_ms;
  }
  const std::int64_t passed = std::min(sample.clock_ms - clock_ms, kLongestGapMs);
  speed = std::max(sample.speed, 0.0);
  work_ms += speed * static_cast<double>(passed);
  percent = std::clamp(sample.percent, first_percent, 100);
  clock_ms = sample.clock_ms;
  age_ms = sample.clock_ms - sample.started_clock_ms;
  if (Gained() >= kReliableShare && work_ms > 0) task_work_ms = work_ms / Gained();
}

bool RunPace::IsSettled() const { return age_ms >= kSettledAfterMs + (is_resumed ? kRestoreMs : 0); }

bool RunPace::StandsStill() const {
  return age_ms >= kStandstillAfterMs + (is_resumed ? kRestoreMs : 0) && percent == first_percent && work_ms == 0 &&
         speed == 0 && (percent == 0 || clock_ms > since_ms);
}

}  // namespace berylgauge::workflow
