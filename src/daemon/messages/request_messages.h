#pragma once

#include <absl/time/time.h>

#include <string>

#include "base/failure.h"
#include "base/ids.h"
#include "clients/endpoint_client.h"
#include "transport/message_types.h"

namespace berylgauge {

inline constexpr const char* kRequestPath = "/internal/request";

/// A caller's request on its way from an entry to the agent beside the endpoint.
struct ForwardedRequest {
  RequestId id;  ///< of this attempt; unique among all attempts
  Incarnation agent_incarnation = 0;
  ServiceId service;
  std::string endpoint_address;  ///< "ip:port"
  absl::Duration timeout;        ///< time left to the caller's deadline, in whole milliseconds
  EndpointRequest request;
};

/// What the agent answers: the endpoint's whole response, or a refusal with its verdict.
struct ForwardedResponse {
  RequestId id;  ///< of the attempt that is answered
  Verdict verdict = Verdict::kMayHaveRun;
  std::string reason;         ///< of a refusal; empty with a response
  EndpointResponse response;  ///< meaningful with `Verdict::kRan`
};

/// Tells an agent that the entry has given up the request with this id. Answered like a request that is refused; the
/// verdict is `kNotRun` if the request was not passed to the endpoint, and then it never will be.
StreamRequest EncodeAbandonment(const RequestId& id);

/// The request that the message gives up; empty if the message carries a request.
RequestId AbandonedRequestOf(const StreamRequest& message);

StreamRequest EncodeForwardedRequest(ForwardedRequest request);
Result<ForwardedRequest> DecodeForwardedRequest(StreamRequest message);
StreamResponse EncodeForwardedResponse(ForwardedResponse response);

/// Fails with `Verdict::kMayHaveRun` if the message is malformed or answers another request than `expected`.
Result<ForwardedResponse> DecodeForwardedResponse(StreamResponse message, const RequestId& expected);

}  // namespace berylgauge
