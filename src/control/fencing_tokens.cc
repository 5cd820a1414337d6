#include "control/fencing_tokens.h"

#include "base/event_log.h"
#include "workflow/owner_record.h"

namespace berylgauge::control {

void FencingTokens::OnAnnounced(const std::string& host, const workflow::WorkerLife& life) {
  if (life.worker.empty()) return;
  HostLife& known = m_lives[host];
  if (known.life == life) return;
  known.life = life;
  ++known.number;
  LogEvent(LogLevel::kInfo, "fencing_token_given",
           {{"host", host},
            {"worker", life.worker},
            {"born", life.born},
            {"number", known.number},
            {"token", GrantFor(host).token}});
}

FencingTokens::Grant FencingTokens::GrantFor(const std::string& host) const {
  const auto found = m_lives.find(host);
  if (found == m_lives.end()) return {};
  const HostLife& known = found->second;
  // Without a number of its own a life could not be told from the one before.
  if (known.number > workflow::kMaxLifeNumber) return {};
  return {.life = known.life, .token = workflow::FencingTokenOf(m_epoch, known.number)};
}

}  // namespace berylgauge::control
