#pragma once

#include <nlohmann/json.hpp>

#include "base/failure.h"
#include "membership/entry_registry.h"

namespace berylgauge {

/// Record of the `members` stream.
nlohmann::json EncodeEntryAnnouncement(const EntryAnnouncement& announcement);
Result<EntryAnnouncement> DecodeEntryAnnouncement(const nlohmann::json& document);

}  // namespace berylgauge
