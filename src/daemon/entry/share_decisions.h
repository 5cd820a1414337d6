#pragma once

#include <vector>

#include "daemon/messages/attempt_messages.h"
#include "schedule/start_command.h"
#include "state/config_records.h"
#include "state/jobs_records.h"

namespace berylgauge {

/// A message to the agent of a worker.
template <typename Message>
struct AgentMessage {
  WorkerId worker;
  Message message;
};

/// What the owner of a share wants done. Records go to the log first; messages are sent after they were read back.
struct ShareDecisions {
  std::vector<JobsRecord> records;
  std::vector<ConfigRecord> config_records;  ///< revocations, and their end
  std::vector<AgentMessage<StartCommand>> starts;
  std::vector<AgentMessage<StopMessage>> stops;
  std::vector<AgentMessage<TermsMessage>> terms;
};

}  // namespace berylgauge
