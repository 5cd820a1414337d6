#include "web/web_exchange.h"

#include <microhttpd.h>

#include <utility>

namespace berylgauge {

void WebExchange::Answer(WebResponse response) {
  const std::lock_guard lock(m_mutex);
  if (m_answered || m_connection == nullptr) return;
  m_answered = true;
  m_response = std::move(response);
  if (!m_suspended) return;
  m_suspended = false;
  MHD_resume_connection(m_connection);
}

std::optional<WebResponse> WebExchange::TakeOrSuspend() {
  const std::lock_guard lock(m_mutex);
  if (m_response.has_value()) return std::exchange(m_response, std::nullopt);
  if (!m_answered && !m_suspended) {
    m_suspended = true;
    MHD_suspend_connection(m_connection);
  }
  return std::nullopt;
}

void WebExchange::Detach() {
  const std::lock_guard lock(m_mutex);
  m_connection = nullptr;
}

}  // namespace berylgauge
