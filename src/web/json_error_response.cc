#include "web/json_error_response.h"

#include <nlohmann/json.hpp>
#include <string>

namespace berylgauge {

int HttpStatusOf(FailureCode code) {
  switch (code) {
    case FailureCode::kInvalidArgument:
      return 400;
    case FailureCode::kRefused:
      return 403;
    case FailureCode::kNotFound:
      return 404;
    case FailureCode::kConflict:
      return 409;
    case FailureCode::kExpired:
      return 410;
    case FailureCode::kInternal:
      return 500;
    case FailureCode::kCorrupt:
      return 502;
    case FailureCode::kOverloaded:
    case FailureCode::kConnectionRefused:
    case FailureCode::kUnavailable:
      return 503;
    case FailureCode::kDeadlineExceeded:
      return 504;
  }
  return 500;
}

WebResponse JsonErrorResponse(const Failure& failure) { return JsonErrorResponse(failure, HttpStatusOf(failure.code)); }

WebResponse JsonErrorResponse(const Failure& failure, int status) {
  const std::string verdict(kVerdictNames.NameOf(failure.verdict));
  const nlohmann::json body = {{"error",
                                {{"code", kFailureCodeNames.NameOf(failure.code)},
                                 {"message", failure.message},
                                 {"field", failure.field},
                                 {"verdict", verdict}}}};
  // Messages can quote input that is not UTF-8; such bytes are replaced because JSON cannot carry them.
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}, {std::string(kVerdictHeader), verdict}},
          .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

}  // namespace berylgauge
