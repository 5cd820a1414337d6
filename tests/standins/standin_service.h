#pragma once

#include <functional>
#include <utility>

#include "base/json_object_reader.h"
#include "standin_message.h"

namespace berylgauge {

/// What distinguishes one stand-in from the others. Called on several threads at once; calls may block.
class StandinService {
 public:
  virtual ~StandinService() = default;

  virtual StandinResponse Handle(const StandinRequest& request) = 0;

  /// Handles a request to a path under /control/ that all stand-ins do not share.
  virtual StandinResponse HandleControl(const StandinRequest& request) {
    return StandinResponse::Error(404, "no such path: " + request.path);
  }

  /// Reads the service's own faults; an absent key keeps its present value. The values take effect in `ApplyFaults`.
  virtual void ReadFaults(JsonObjectReader& reader) = 0;

  /// Applies what was read last, after the whole document was found valid.
  virtual void ApplyFaults() = 0;

  /// The service's own faults as an object.
  virtual nlohmann::json Faults() const = 0;

  /// Called once, before the first request. `close` closes all connections but those of control calls at once; requests
  /// under way on them get no answer. It may be called from any thread, also with the service's own locks held.
  void SetConnectionCloser(std::function<void()> close) { m_close_connections = std::move(close); }

  /// Called before the server stops, while it still answers.
  virtual void Drain() {}

  /// True if the server stops only after all requests under way have been answered.
  virtual bool FinishesRequests() const { return false; }

  /// Ends every call that blocks.
  virtual void Stop() = 0;

 protected:
  void CloseConnections() const {
    if (m_close_connections) m_close_connections();
  }

 private:
  std::function<void()> m_close_connections;
};

}  // namespace berylgauge
