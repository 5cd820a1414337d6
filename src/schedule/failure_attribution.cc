#include "schedule/failure_attribution.h"

namespace berylgauge {

FailureAttribution::FailureAttribution(WorkerQuarantineOptions quarantine, JobBackoffOptions backoff)
    : m_quarantine(quarantine), m_backoff(backoff) {}

FailureSuspect FailureAttribution::RecordFailure(const JobId& job, const JobFailure& failure, QuarantineExtent extent) {
  const QuarantineState state = m_quarantine.StateOf(failure.worker, failure.at);
  if (m_backoff.IsSuspect(job)) {
    // The failure of a faulty job says nothing about the worker, so a trial with it is repeated with another job.
    if (state == QuarantineState::kTrialRunning) m_quarantine.RecordTrialAborted(failure.worker);
    if (state == QuarantineState::kOpen) m_backoff.RecordFailure(job, failure);
    return FailureSuspect::kJob;
  }
  if (state != QuarantineState::kOpen) {
    m_quarantine.RecordFailure(failure.worker, job, failure.at, extent);
    return FailureSuspect::kWorker;
  }
  if (m_quarantine.RecordFailure(failure.worker, job, failure.at)) {
    m_backoff.DiscountWorker(failure.worker);
    return FailureSuspect::kWorker;
  }
  m_backoff.RecordFailure(job, failure);
  if (!m_backoff.IsSuspect(job)) return FailureSuspect::kUndecided;
  m_quarantine.DiscountJob(job);
  return FailureSuspect::kJob;
}

void FailureAttribution::RecordSuccess(const JobId& job, const TaskId& task, const WorkerId& worker) {
  m_backoff.RecordSuccess(job, task);
  m_quarantine.RecordSuccess(worker);
}

}  // namespace berylgauge
