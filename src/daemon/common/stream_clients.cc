#include "daemon/common/stream_clients.h"

#include <utility>

#include "base/event_log.h"
#include "daemon/common/unusable_stream_client.h"
#include "settings/ip_port.h"
#include "transport/make_stream_client.h"

namespace berylgauge {
namespace {

std::unique_ptr<StreamClient> MakeClient(EventLoop& loop, MetricsRegistry* metrics, const std::string& address) {
  const std::optional<IpPort> parsed = IpPort::Parse(address);
  if (parsed) {
    Result<std::unique_ptr<StreamClient>> client =
        MakeStreamClient(loop, {.address = parsed->address, .port = parsed->port, .metrics = metrics});
    if (client) return std::move(*client);
  }
  LogEvent(LogLevel::kError, "peer_address_unusable", {{"address", address}});
  return std::make_unique<UnusableStreamClient>();
}

}  // namespace

std::function<std::unique_ptr<StreamClient>(const std::string& address)> StreamClientFactory(EventLoop& loop,
                                                                                             MetricsRegistry* metrics) {
  return [&loop, metrics](const std::string& address) { return MakeClient(loop, metrics, address); };
}

}  // namespace berylgauge
