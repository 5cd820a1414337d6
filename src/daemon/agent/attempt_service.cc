#include "daemon/agent/attempt_service.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "daemon/agent/agent_core.h"
#include "daemon/agent/worker_driver.h"
#include "daemon/messages/attempt_messages.h"

namespace berylgauge {
namespace {

StreamResponse BadRequest(const Failure& failure) { return {.status = 400, .headers = {}, .body = failure.message}; }

StreamResponse Answer(const AttemptAnswer& answer) {
  return {.status = 200, .headers = {}, .body = EncodeAttemptAnswer(answer)};
}

}  // namespace

AttemptService::AttemptService(AgentCore& core, WorkerDriver& driver, const Clock& clock)
    : m_core(core), m_driver(driver), m_clock(clock) {}

bool AttemptService::Handle(const StreamRequest& message, const StreamServer::Responder& responder) {
  if (message.path == kStartPath) {
    responder(Start(message));
  } else if (message.path == kWithdrawPath || message.path == kStopPath) {
    responder(End(message));
  } else if (message.path == kTermsPath) {
    responder(RestoreTerms(message));
  } else {
    return false;
  }
  m_driver.Wake();
  return true;
}

StreamResponse AttemptService::Start(const StreamRequest& message) {
  const Result<StartCommand> command = DecodeStartCommand(message.body);
  if (!command) return BadRequest(command.error());
  const AttemptAnswer answer = m_core.Start(*command, m_clock.Now());
  LogEvent(LogLevel::kInfo, "start_command",
           {{"task", command->key.task.value()},
            {"attempt", command->key.attempt},
            {"answer", kAnswerKindNames.NameOf(answer.kind)},
            {"reason", kRefusalReasonNames.NameOf(answer.reason)}});
  return Answer(answer);
}

StreamResponse AttemptService::End(const StreamRequest& message) {
  const Result<StopMessage> stop = DecodeStopMessage(message.body);
  if (!stop) return BadRequest(stop.error());
  const MonotonicTime now = m_clock.Now();
  if (message.path == kWithdrawPath) return Answer(m_core.Withdraw(stop->end, now));
  return Answer(m_core.Stop(stop->end, stop->with_checkpoint, now));
}

StreamResponse AttemptService::RestoreTerms(const StreamRequest& message) {
  const Result<TermsMessage> terms = DecodeTermsMessage(message.body);
  if (!terms) return BadRequest(terms.error());
  m_core.RestoreTerms(terms->key, terms->terms);
  return {.status = 200, .headers = {}, .body = {}};
}

}  // namespace berylgauge
