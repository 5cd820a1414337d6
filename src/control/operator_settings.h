#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/failure.h"
#include "control/queue_table.h"

namespace berylgauge::control {

/// What a record of the operators' partition says.
struct OperatorRecord {
  enum class Kind {
    kQueues,      ///< the whole configuration
    kEvacuation,  ///< an availability zone is taken out of service
    kOther,       ///< nothing that this product acts on
  };

  Kind kind = Kind::kOther;
  std::optional<QueueTable> queues;  ///< of `kQueues`; absent if the record was removed
  std::string zone;                  ///< of `kEvacuation`
  bool removed = false;
};

/// Reads the operators' records; implemented for each platform.
class OperatorRecordDecoder {
 public:
  virtual ~OperatorRecordDecoder() = default;
  virtual Result<OperatorRecord> Decode(std::string_view key, std::string_view value) const = 0;
};

}  // namespace berylgauge::control
