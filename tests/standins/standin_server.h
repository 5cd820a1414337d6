#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "base/enum_names.h"
#include "base/failure.h"
#include "event_record.h"
#include "standin_service.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace berylgauge {

/// What happens to every request during an outage.
enum class Outage {
  kNone,
  kUnavailable,  ///< answered with 503, without effect
  kSilent,       ///< not answered until the outage is over, then closed without effect
};

inline constexpr auto kOutageNames = MakeEnumNames<Outage>({
    {Outage::kNone, "none"},
    {Outage::kUnavailable, "unavailable"},
    {Outage::kSilent, "silent"},
});

/// Faults that all stand-ins have.
struct CommonFaults {
  Outage outage = Outage::kNone;
  std::int64_t delay_ms = 0;      ///< before the effect of each request
  std::int64_t lose_answers = 0;  ///< number of requests whose connection is closed after the effect, without answer
};

/// Serves one `StandinService` over HTTP, one thread for each connection, and the shared paths under /control/.
class StandinServer {
 public:
  StandinServer(StandinService& service, EventRecord& record) : m_service(service), m_record(record) {}
  ~StandinServer();
  StandinServer(const StandinServer&) = delete;
  StandinServer& operator=(const StandinServer&) = delete;

  /// Begins to listen and returns the port.
  Result<int> Start(const std::string& address, int port);

  /// Drains the service, ends every wait and closes all connections. A silent outage is not waited for.
  void Stop();

  /// Called by the library with each whole request; false closes the connection without an answer.
  bool Answer(MHD_Connection* connection, const StandinRequest& request);

  /// Called by the library when it begins to answer a request and after it has sent the answer or closed the
  /// connection.
  void AddOpenRequests(int change);

  /// One connection for as long as the library has it.
  struct Connection {
    int socket = -1;
    bool is_control = false;  ///< its newest request is a control call
    std::shared_ptr<std::atomic<bool>> is_cut = std::make_shared<std::atomic<bool>>(false);
  };

  /// Called by the library when it has accepted a connection, and before it closes the socket.
  Connection* AddConnection(int socket);
  void RemoveConnection(Connection* connection);

  /// Called with each whole request before it is answered.
  void NoteRequest(Connection& connection, StandinRequest& request);

 private:
  StandinResponse HandleControl(const StandinRequest& request);
  StandinResponse SetFaults(const StandinRequest& request);
  nlohmann::json FaultsToJson();

  /// Waits out delay and outage. False closes the connection.
  bool WaitForFaults(bool& unavailable);
  bool TakeLostAnswer();

  void CloseConnections();

  StandinService& m_service;
  EventRecord& m_record;
  MHD_Daemon* m_daemon = nullptr;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  CommonFaults m_faults;
  int m_open_requests = 0;
  bool m_stopped = false;
  std::mutex m_connections_mutex;  ///< no other lock is taken while it is held
  std::set<std::unique_ptr<Connection>> m_connections;
};

}  // namespace berylgauge
