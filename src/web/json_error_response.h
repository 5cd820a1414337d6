#pragma once

#include <string_view>

#include "base/failure.h"
#include "web/web_server.h"

namespace berylgauge {

/// Response header that tells whether the request may have had an effect.
inline constexpr std::string_view kVerdictHeader = "Berylgauge-Verdict";

/// HTTP status for a failure code.
int HttpStatusOf(FailureCode code);

/// Answer with a JSON body `{"error": {"code", "message", "field", "verdict"}}` and the verdict as a header.
WebResponse JsonErrorResponse(const Failure& failure);

/// As above, with a status other than that of the failure code.
WebResponse JsonErrorResponse(const Failure& failure, int status);

}  // namespace berylgauge
