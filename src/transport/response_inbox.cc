#include "transport/response_inbox.h"

#include "transport/event_loop.h"
#include "transport/server_connection.h"

namespace berylgauge {

void ResponseInbox::Push(std::int32_t stream_id, std::optional<StreamResponse> response) {
  // The lock also keeps the loop alive: the server stops its loops only after it has detached the inboxes.
  const std::lock_guard lock(m_mutex);
  if (m_connection == nullptr) return;
  const bool first = m_responses.empty();
  m_responses.emplace_back(stream_id, std::move(response));
  if (first) m_loop.Post([self = shared_from_this()] { self->Deliver(); });
}

void ResponseInbox::Detach() {
  std::vector<std::pair<std::int32_t, std::optional<StreamResponse>>> dropped;
  const std::lock_guard lock(m_mutex);
  m_connection = nullptr;
  dropped.swap(m_responses);
}

void ResponseInbox::Deliver() {
  std::vector<std::pair<std::int32_t, std::optional<StreamResponse>>> responses;
  ServerConnection* connection = nullptr;
  {
    const std::lock_guard lock(m_mutex);
    responses.swap(m_responses);
    connection = m_connection;
  }
  if (connection == nullptr) return;
  for (auto& [stream_id, response] : responses) connection->Respond(stream_id, std::move(response));
}

}  // namespace berylgauge
