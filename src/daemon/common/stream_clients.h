#pragma once

#include <functional>
#include <memory>
#include <string>

namespace berylgauge {

class EventLoop;
class MetricsRegistry;
class StreamClient;

/// Makes clients for "ip:port" addresses whose callbacks run on `loop`. An address that cannot be parsed gives a client
/// that fails every request with `not run`.
std::function<std::unique_ptr<StreamClient>(const std::string& address)> StreamClientFactory(EventLoop& loop,
                                                                                             MetricsRegistry* metrics);

}  // namespace berylgauge
