#pragma once

#include <functional>

#include "base/failure.h"
#include "base/json_object_reader.h"
#include "clients/http_message.h"

namespace berylgauge {

/// Reads the JSON object in the body of an answer with status 200.
///
/// `read` receives the reader of the whole object and reports contradictions through it. Fails with the failure of the
/// status if that is not 200, and with `kCorrupt` and `kMayHaveRun` if the body is not exactly what `read` expects.
Result<void> ReadJsonAnswer(const HttpResponse& response, const std::function<void(JsonObjectReader&)>& read);

/// Failure that a status other than 200 stands for. The verdict is `kNotRun` only for the 4xx with which the peer says
/// that it refused the request.
Failure FailureOfStatus(const HttpResponse& response);

}  // namespace berylgauge
