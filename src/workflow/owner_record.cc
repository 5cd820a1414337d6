#include "workflow/owner_record.h"

#include <nlohmann/json.hpp>

namespace berylgauge::workflow {

std::string EncodeOwner(const OwnerRecord& owner) {
  std::string bytes;
  nlohmann::json::to_cbor(nlohmann::json::array({owner.epoch, owner.holder}), bytes);
  return bytes;
}

Result<OwnerRecord> DecodeOwner(std::string_view bytes) {
  try {
    const nlohmann::json document = nlohmann::json::from_cbor(bytes);
    return OwnerRecord{.epoch = document.at(0).get<std::int64_t>(), .holder = document.at(1).get<std::string>()};
  } catch (const nlohmann::json::exception& error) {
    return NotRun(FailureCode::kCorrupt, std::string("owner record: ") + error.what());
  }
}

}  // namespace berylgauge::workflow
