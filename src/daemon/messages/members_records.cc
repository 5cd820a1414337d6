#include "daemon/messages/members_records.h"

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {

nlohmann::json EncodeEntryAnnouncement(const EntryAnnouncement& announcement) {
  return {{"entry", announcement.entry.value()},
          {"incarnation", std::to_string(announcement.incarnation)},
          {"internal", announcement.internal_address},
          {"caller", announcement.caller_address},
          {"zone", announcement.availability_zone.value()},
          {"leaving", announcement.leaving}};
}

Result<EntryAnnouncement> DecodeEntryAnnouncement(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  EntryAnnouncement announcement;
  announcement.entry = EntryId(reader.String("entry"));
  announcement.incarnation = ReadDecimalText(reader, "incarnation");
  announcement.internal_address = reader.String("internal");
  announcement.caller_address = reader.String("caller");
  announcement.availability_zone = AvailabilityZoneId(reader.String("zone"));
  announcement.leaving = reader.Boolean("leaving");
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return announcement;
}

}  // namespace berylgauge
