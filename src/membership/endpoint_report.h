#pragma once

#include <string>

#include "base/ids.h"

namespace berylgauge {

/// An endpoint as the agent beside it reports it.
struct EndpointReport {
  ServiceId service;
  std::string address;          ///< "ip:port" of the endpoint's HTTP listener
  Incarnation incarnation = 0;  ///< of the endpoint's process
  int slots = 0;                ///< requests that it may process at the same time
  int outstanding = 0;          ///< requests of all entries that the agent has admitted and not completed
  bool leaving = false;

  bool operator==(const EndpointReport&) const = default;
};

}  // namespace berylgauge
