#include "workflow/task_work.h"

#include <algorithm>

namespace berylgauge::workflow {
namespace {

/// Lists of a worker that reports are at most 1.9 s apart. A figure covers half a second and says little of longer
/// gaps, so the run counts anew after them.
constexpr absl::Duration kLongestGap = absl::Seconds(2);

/// Restoring a checkpoint takes 600 ms, and a list more until the first advance of the percentage shows.
constexpr absl::Duration kLongestStart = absl::Milliseconds(800);

constexpr int kWhole = 100;
/// Lists give whole percents, so up to one more may be complete.
constexpr double kListedStep = 0.01;

}  // namespace

TaskWork::Run TaskWork::Begin(const WorkListing& listing) {
  return {.first_percent = listing.percent,
          .percent = listing.percent,
          .pending = absl::ZeroDuration(),
          .counted_until = listing.at,
          .listed_at = listing.at,
          .before_progress = absl::ZeroDuration(),
          .speed = listing.speed};
}

void TaskWork::Observe(const WorkListing& listing) {
  if (!m_run || listing.percent < m_run->percent || listing.at - m_run->listed_at > kLongestGap) {
    m_run = Begin(listing);
    return;
  }
  Run& run = *m_run;
  if (listing.at <= run.listed_at) return;  // a list that is repeated
  run.listed_at = listing.at;
  if (listing.percent == run.first_percent) {
    run.before_progress += listing.speed.value_or(0) * (listing.at - run.counted_until);
    run.counted_until = listing.at;
    if (listing.speed) run.speed = listing.speed;
    return;
  }
  if (!listing.speed) return;  // counted by the first figure
  // The figures cover half a second, so the mean of both ends stands for the time between two lists.
  const double speed = (run.speed.value_or(*listing.speed) + *listing.speed) / 2;
  run.pending += speed * (listing.at - run.counted_until);
  run.counted_until = listing.at;
  run.speed = listing.speed;
  if (listing.percent == run.percent) return;
  m_done += run.pending;
  m_share += static_cast<double>(listing.percent - run.percent) / kWhole;
  run.percent = listing.percent;
  run.pending = absl::ZeroDuration();
}

absl::Duration TaskWork::LeastWork() const {
  if (!m_run) return absl::ZeroDuration();
  const absl::Duration stalled = std::max(m_run->before_progress - kLongestStart, absl::ZeroDuration());
  return (m_done + m_run->pending + stalled) / (m_share + kListedStep);
}

void TaskWork::ObserveDone(MonotonicTime at) {
  // Without a figure the work is unknown; without a list also from where it began.
  if (m_run && m_run->speed) Observe({.percent = kWhole, .speed = m_run->speed, .at = at});
  EndRun();
}

void TaskWork::EndRun() { m_run.reset(); }

}  // namespace berylgauge::workflow
