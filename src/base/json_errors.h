#pragma once

#include <string>
#include <vector>

#include "base/failure.h"

namespace berylgauge {

/// One thing that is wrong with a JSON document.
struct JsonError {
  std::string path;     ///< JSON path, for example "$.agent.slots"
  std::string message;  ///< what was found and what is allowed
};

/// All that is wrong with a JSON document, so that it can be reported at once.
class JsonErrors {
 public:
  void Add(std::string path, std::string message);

  bool empty() const { return m_errors.empty(); }
  const std::vector<JsonError>& errors() const { return m_errors; }

  /// The first error as a failure with `Verdict::kNotRun`; `message` lists all of them.
  Failure ToFailure() const;

 private:
  std::vector<JsonError> m_errors;
};

}  // namespace berylgauge
