#pragma once

#include <absl/functional/any_invocable.h>
#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/failure.h"

namespace berylgauge::control {

/// A partition of a topic that keeps the newest record of each key.
struct LogPartition {
  std::string topic;
  int number = 0;

  friend bool operator==(const LogPartition&, const LogPartition&) = default;
};

struct KeyedRecord {
  std::string key;
  std::string value;        ///< empty removes the key
  std::int64_t offset = 0;  ///< when read; ignored by `Append`
};

/// Identifies a writer to one partition, so that a repeated append takes effect once.
struct LogProducer {
  std::string name;
  std::int64_t epoch = 0;     ///< a lower one than the highest seen is refused
  std::int64_t sequence = 0;  ///< of this append; consecutive within an epoch
};

enum class AppendOutcome {
  kStored,
  kNothingDone,    ///< this call had no effect and never will have one; may be repeated
  kUnknown,        ///< this call may have had an effect, or have it later
  kFenced,         ///< a higher epoch of the producer was seen
  kOutOfSequence,  ///< not the sequence number that follows
  kMoved,          ///< the partition does not end at the expected offset
  kRejected,       ///< the records are not acceptable
};

inline constexpr auto kAppendOutcomeNames = MakeEnumNames<AppendOutcome>({
    {AppendOutcome::kStored, "stored"},
    {AppendOutcome::kNothingDone, "nothing-done"},
    {AppendOutcome::kUnknown, "unknown"},
    {AppendOutcome::kFenced, "fenced"},
    {AppendOutcome::kOutOfSequence, "out-of-sequence"},
    {AppendOutcome::kMoved, "moved"},
    {AppendOutcome::kRejected, "rejected"},
});

struct AppendAnswer {
  AppendOutcome outcome = AppendOutcome::kUnknown;
  std::int64_t end = 0;  ///< of the partition after the append, if stored
  std::string detail;    ///< for logs
};

struct AppendCall {
  LogPartition partition;
  std::vector<KeyedRecord> records;  ///< all or none are stored
  LogProducer producer;
  std::optional<std::int64_t> expected_end;  ///< the append fails with `kMoved` unless the partition ends there
};

struct LogReadAnswer {
  bool expired = false;  ///< the records asked for are no longer kept; read the newest instead
  std::int64_t end = 0;
  std::vector<KeyedRecord> records;
};

struct LogNewestPage {
  std::vector<KeyedRecord> records;
  std::optional<std::string> next_after;  ///< key after which the next page begins
  std::int64_t end = 0;
};

/// The platform's durable store. All callbacks run on the event loop's thread, never from within the call.
class KeyedLog {
 public:
  using AppendCallback = absl::AnyInvocable<void(AppendAnswer)>;
  using ReadCallback = absl::AnyInvocable<void(Result<LogReadAnswer>)>;
  using NewestCallback = absl::AnyInvocable<void(Result<LogNewestPage>)>;

  virtual ~KeyedLog() = default;

  virtual void Append(const AppendCall& call, absl::Duration timeout, AppendCallback callback) = 0;

  /// Answers as soon as there is a record from `from` on, or after `wait`.
  virtual void Read(const LogPartition& partition, std::int64_t from, absl::Duration wait, absl::Duration timeout,
                    ReadCallback callback) = 0;

  /// Newest records in the order of their keys, a page a call.
  virtual void ReadNewest(const LogPartition& partition, const std::string& after, absl::Duration timeout,
                          NewestCallback callback) = 0;
};

}  // namespace berylgauge::control
