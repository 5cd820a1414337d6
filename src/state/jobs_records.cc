#include "state/jobs_records.h"

#include "base/json_object_reader.h"
#include "state/decimal_text.h"

namespace berylgauge {
namespace {

const StringRule kOptionalText{.default_value = "", .min_length = 0, .max_length = 4096};

/// Encodes each kind of record as an object whose "t" names the kind.
struct Encoder {
  nlohmann::json operator()(const JobSubmitted& r) const {
    return {{"t", "submit"}, {"job", r.job.value()}, {"spec", r.spec.ToJson()}, {"at", r.submitted_unix_ms}};
  }
  nlohmann::json operator()(const JobCancelled& r) const {
    return {{"t", "cancel"}, {"job", r.job.value()}, {"by", r.requested_by}};
  }
  nlohmann::json operator()(const ShareClaimed& r) const {
    return {{"t", "claim"},
            {"entry", r.entry.value()},
            {"incarnation", std::to_string(r.entry_incarnation)},
            {"previous", r.previous_epoch}};
  }
  nlohmann::json operator()(const ShareReleased& r) const { return {{"t", "release"}, {"epoch", r.epoch}}; }
  nlohmann::json operator()(const TaskPlaced& r) const {
    return {{"t", "place"},
            {"epoch", r.epoch},
            {"task", r.task.value()},
            {"attempt", r.attempt},
            {"worker", r.worker.value()},
            {"zone", r.availability_zone.value()},
            {"agent", std::to_string(r.agent_incarnation)},
            {"reason", r.reason}};
  }
  nlohmann::json operator()(const TaskStarted& r) const {
    return {{"t", "start"}, {"epoch", r.epoch}, {"task", r.task.value()}, {"attempt", r.attempt}};
  }
  nlohmann::json operator()(const TaskEnded& r) const {
    return {{"t", "end"},
            {"epoch", r.epoch},
            {"task", r.task.value()},
            {"attempt", r.attempt},
            {"outcome", kAttemptOutcomeNames.NameOf(r.outcome)},
            {"checkpoint", r.checkpoint},
            {"detail", r.detail}};
  }
  nlohmann::json operator()(const TaskParked& r) const {
    return {{"t", "park"}, {"epoch", r.epoch}, {"task", r.task.value()}, {"detail", r.detail}};
  }
};

ShareEpoch ReadEpoch(JsonObjectReader& reader, const std::string& key) {
  return static_cast<ShareEpoch>(reader.Integer(key));
}

AttemptNumber ReadAttempt(JsonObjectReader& reader) {
  return static_cast<AttemptNumber>(reader.Integer("attempt", {.min = 1, .max = UINT32_MAX}));
}

TaskId ReadTaskId(JsonObjectReader& reader) { return TaskId(reader.String("task")); }

JobsRecord ReadSubmit(JsonObjectReader& reader) {
  JobSubmitted r;
  r.job = JobId(reader.String("job"));
  r.spec = ReadJobSpec(reader.Object("spec"));
  r.submitted_unix_ms = reader.Integer("at");
  return r;
}

JobsRecord ReadCancel(JsonObjectReader& reader) {
  JobCancelled r;
  r.job = JobId(reader.String("job"));
  r.requested_by = reader.String("by", kOptionalText);
  return r;
}

JobsRecord ReadClaim(JsonObjectReader& reader) {
  ShareClaimed r;
  r.entry = EntryId(reader.String("entry"));
  r.entry_incarnation = ReadDecimalText(reader, "incarnation");
  r.previous_epoch = ReadEpoch(reader, "previous");
  return r;
}

JobsRecord ReadRelease(JsonObjectReader& reader) { return ShareReleased{.epoch = ReadEpoch(reader, "epoch")}; }

JobsRecord ReadPlace(JsonObjectReader& reader) {
  TaskPlaced r;
  r.epoch = ReadEpoch(reader, "epoch");
  r.task = ReadTaskId(reader);
  r.attempt = ReadAttempt(reader);
  r.worker = WorkerId(reader.String("worker"));
  r.availability_zone = AvailabilityZoneId(reader.String("zone"));
  r.agent_incarnation = ReadDecimalText(reader, "agent");
  r.reason = reader.String("reason", kOptionalText);
  return r;
}

JobsRecord ReadStart(JsonObjectReader& reader) {
  TaskStarted r;
  r.epoch = ReadEpoch(reader, "epoch");
  r.task = ReadTaskId(reader);
  r.attempt = ReadAttempt(reader);
  return r;
}

JobsRecord ReadEnd(JsonObjectReader& reader) {
  TaskEnded r;
  r.epoch = ReadEpoch(reader, "epoch");
  r.task = ReadTaskId(reader);
  r.attempt = ReadAttempt(reader);
  r.outcome = reader.Enum("outcome", kAttemptOutcomeNames);
  r.checkpoint = reader.String("checkpoint", kOptionalText);
  r.detail = reader.String("detail", kOptionalText);
  return r;
}

JobsRecord ReadPark(JsonObjectReader& reader) {
  TaskParked r;
  r.epoch = ReadEpoch(reader, "epoch");
  r.task = ReadTaskId(reader);
  r.detail = reader.String("detail", kOptionalText);
  return r;
}

enum class Kind { kSubmit, kCancel, kClaim, kRelease, kPlace, kStart, kEnd, kPark };

constexpr auto kKindNames = MakeEnumNames<Kind>({
    {Kind::kSubmit, "submit"},
    {Kind::kCancel, "cancel"},
    {Kind::kClaim, "claim"},
    {Kind::kRelease, "release"},
    {Kind::kPlace, "place"},
    {Kind::kStart, "start"},
    {Kind::kEnd, "end"},
    {Kind::kPark, "park"},
});

JobsRecord ReadRecord(Kind kind, JsonObjectReader& reader) {
  switch (kind) {
    case Kind::kSubmit:
      return ReadSubmit(reader);
    case Kind::kCancel:
      return ReadCancel(reader);
    case Kind::kClaim:
      return ReadClaim(reader);
    case Kind::kRelease:
      return ReadRelease(reader);
    case Kind::kPlace:
      return ReadPlace(reader);
    case Kind::kStart:
      return ReadStart(reader);
    case Kind::kEnd:
      return ReadEnd(reader);
    case Kind::kPark:
      return ReadPark(reader);
  }
  return ShareReleased{};
}

}  // namespace

nlohmann::json EncodeJobsRecord(const JobsRecord& record) { return std::visit(Encoder{}, record); }

Result<JobsRecord> DecodeJobsRecord(const nlohmann::json& document) {
  JsonErrors errors;
  JsonObjectReader reader(document, "$", errors);
  const Kind kind = reader.Enum("t", kKindNames);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  JobsRecord record = ReadRecord(kind, reader);
  reader.Finish();
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return record;
}

}  // namespace berylgauge
