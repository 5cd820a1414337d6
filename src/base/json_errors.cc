#include "base/json_errors.h"

#include <utility>

namespace berylgauge {

void JsonErrors::Add(std::string path, std::string message) {
  m_errors.push_back({.path = std::move(path), .message = std::move(message)});
}

Failure JsonErrors::ToFailure() const {
  Failure failure{.code = FailureCode::kInvalidArgument, .message = {}, .field = {}};
  for (const JsonError& error : m_errors) {
    if (failure.field.empty()) failure.field = error.path;
    if (!failure.message.empty()) failure.message += "; ";
    failure.message += error.path + ": " + error.message;
  }
  return failure;
}

}  // namespace berylgauge
