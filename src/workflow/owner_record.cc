#include "workflow/owner_record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "base/cbor_document.h"
#include "base/json_number.h"

namespace berylgauge::workflow {
namespace {

/// Enough for claimants of one moment to differ, and few enough for epochs to stay exact in JSON (53 bits).
constexpr int kSaltBits = 20;

}  // namespace

std::int64_t NextOwnerEpoch(std::int64_t former, std::uint64_t salt) {
  const std::uint64_t mask = (std::uint64_t{1} << kSaltBits) - 1;
  return (((former >> kSaltBits) + 1) << kSaltBits) | static_cast<std::int64_t>(salt & mask);
}

std::int64_t FencingTokenOf(std::int64_t epoch, std::int64_t life_number) {
  static_assert(kMaxLifeNumber < std::int64_t{1} << kSaltBits);
  return ((epoch >> kSaltBits) << kSaltBits) | std::min(life_number, kMaxLifeNumber);
}

std::string EncodeOwner(const OwnerRecord& owner) {
  return ToCbor(nlohmann::json::array({owner.epoch, owner.holder, owner.is_sole}));
}

Result<OwnerRecord> DecodeOwner(std::string_view bytes) {
  return ReadCbor<OwnerRecord>(bytes, "owner record", [](const nlohmann::json& document) {
    return OwnerRecord{.epoch = ReadInteger<std::int64_t>(document.at(0), 0, kMaxExactInteger),
                       .holder = document.at(1).get<std::string>(),
                       // Records of a former version have no such field.
                       .is_sole = document.size() > 2 && document.at(2).get<bool>()};
  });
}

}  // namespace berylgauge::workflow
