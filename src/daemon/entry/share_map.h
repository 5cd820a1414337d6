#pragma once

#include <memory>
#include <vector>

#include "base/ids.h"
#include "daemon/entry/share_runner.h"

namespace berylgauge {

/// All shares of the jobs, as this entry follows them.
class ShareMap {
 public:
  explicit ShareMap(std::vector<std::unique_ptr<ShareRunner>> runners);

  /// Index of the share that holds a job.
  std::size_t ShareOf(const JobId& job) const;
  ShareRunner& RunnerOf(const JobId& job) const;
  const std::vector<std::unique_ptr<ShareRunner>>& runners() const { return m_runners; }

  /// True if records of a share that this entry has not read are no longer retained.
  bool HasGap() const;

  /// Passes a heartbeat to the shares that this entry owns.
  void Deliver(const Heartbeat& heartbeat) const;

  /// True if the log says that the attempt has ended, so that its agent may forget it.
  bool IsEndRecorded(const TaskId& task, AttemptNumber attempt) const;

 private:
  std::vector<std::unique_ptr<ShareRunner>> m_runners;
};

}  // namespace berylgauge
