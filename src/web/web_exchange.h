#pragma once

#include <mutex>
#include <optional>

#include "web/web_server.h"

struct MHD_Connection;

namespace berylgauge {

/// Holds the answer to one request until the listener thread takes it; shared by the connection and the responder.
class WebExchange {
 public:
  explicit WebExchange(MHD_Connection* connection) : m_connection(connection) {}

  /// Stores the first answer and resumes the connection if it waits; later answers and those after `Detach` have no
  /// effect. May be called from any thread.
  void Answer(WebResponse response);

  /// Takes the answer; if there is none yet, suspends the connection until there is one. Listener thread only.
  std::optional<WebResponse> TakeOrSuspend();

  /// Ends the use of the connection, which is about to be closed or to be used for the next request.
  void Detach();

 private:
  std::mutex m_mutex;
  MHD_Connection* m_connection;
  std::optional<WebResponse> m_response;
  bool m_answered = false;
  bool m_suspended = false;
};

}  // namespace berylgauge
