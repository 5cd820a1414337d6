#include "workflow/owner_record.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "base/cbor_document.h"

namespace berylgauge::workflow {
namespace {

// Guards against two entries that claim together and are both confirmed: the store takes appends with equal producer,
// epoch and sequence for repeats of one.
TEST_CASE("claimants of one moment have different epochs", "[owner]") {
  CHECK(NextOwnerEpoch(0, 1) != NextOwnerEpoch(0, 2));
  CHECK(NextOwnerEpoch(0, 1) > 0);
}

TEST_CASE("an epoch rises with each claim, whatever the salt", "[owner]") {
  struct Row {
    std::uint64_t former_salt;
    std::uint64_t salt;
  };
  const Row row = GENERATE(Row{0, 0}, Row{0xfffff, 0}, Row{~std::uint64_t{0}, 1}, Row{5, ~std::uint64_t{0}});
  const std::int64_t former = NextOwnerEpoch(7 << 20, row.former_salt);
  CHECK(NextOwnerEpoch(former, row.salt) > former);
}

TEST_CASE("an owner record is read back as written", "[owner]") {
  const OwnerRecord record{.epoch = std::int64_t{1} << 40, .holder = "edge-1.abc", .is_sole = GENERATE(true, false)};
  CHECK(DecodeOwner(EncodeOwner(record)) == record);
  CHECK(!DecodeOwner("x"));
}

// Guards against an owner of a former version that counts as the only one that can grant leases.
TEST_CASE("an owner record without the field is not of a sole owner", "[owner]") {
  const Result<OwnerRecord> record = DecodeOwner(ToCbor(nlohmann::json::array({5, "edge-1.abc"})));
  REQUIRE(record.has_value());
  CHECK(!record->is_sole);
}

}  // namespace
}  // namespace berylgauge::workflow
