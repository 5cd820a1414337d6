#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/resources.h"
#include "schedule/attempt_key.h"
#include "schedule/task_kind.h"

namespace berylgauge {

struct WorkerLedgerOptions {
  Resources reserve;  ///< kept free at admission; absorbs growth of running tasks until the excess is stopped
  /// Upper limit of the learnt ratio of observed to declared use, in percent. Limits the damage of one task that
  /// outgrew its declaration far to the bookings of its whole class.
  int max_headroom_percent = 300;
  /// Part of the distance by which the learnt ratio falls towards a lower one at the end of an attempt, in percent.
  int headroom_decay_percent = 10;
};

/// What an attempt asks for.
struct LedgerRequest {
  Resources declared;
  std::string job_class;  ///< attempts of one class share a learnt headroom; empty for none
  TaskKind kind = TaskKind::kBatch;
};

/// Why a booking was refused.
enum class LedgerRefusal {
  kNone,
  kAlreadyBooked,
  kInvalidAmount,  ///< a negative amount
  kProcessors,
  kMemory,
  kAccelerators,
  kSlots,
};

inline constexpr auto kLedgerRefusalNames = MakeEnumNames<LedgerRefusal>({
    {LedgerRefusal::kNone, "none"},
    {LedgerRefusal::kAlreadyBooked, "already-booked"},
    {LedgerRefusal::kInvalidAmount, "invalid-amount"},
    {LedgerRefusal::kProcessors, "processors"},
    {LedgerRefusal::kMemory, "memory"},
    {LedgerRefusal::kAccelerators, "accelerators"},
    {LedgerRefusal::kSlots, "slots"},
});

/// What one attempt holds.
struct LedgerEntry {
  Resources declared;
  Resources admitted;  ///< booked at admission: declared with the headroom of the class
  Resources observed;  ///< highest observed use
  Resources booked;    ///< larger of admitted and observed in each dimension
  std::string job_class;
  TaskKind kind = TaskKind::kBatch;
};

/// Bookings of one worker's processors, memory, accelerators and slots.
///
/// `Book` admits only what leaves the sum of all bookings within capacity minus reserve. Bookings can grow after that
/// with the observed use, and capacity may shrink; `Excess` then tells by how much memory, accelerators and slots are
/// overbooked, and nothing more is admitted until it is gone. Processors beyond the capacity are throttled instead:
/// `ThrottlePercent` gives the share that batch attempts may use.
class WorkerLedger {
 public:
  explicit WorkerLedger(WorkerLedgerOptions options = {});

  void SetCapacity(const Resources& capacity);

  /// Tells why `Book` would refuse, or `kNone`.
  LedgerRefusal Check(const AttemptKey& key, const LedgerRequest& request) const;

  /// Books if there is room; changes nothing otherwise.
  LedgerRefusal Book(const AttemptKey& key, const LedgerRequest& request);

  /// Books an attempt that already runs, whether there is room or not.
  void Adopt(const AttemptKey& key, const LedgerRequest& request, const Resources& observed);

  /// Takes in a measurement; raises the booking where it is higher. Unknown attempts are ignored.
  void Observe(const AttemptKey& key, const Resources& observed);

  /// Sets class and kind of an adopted attempt once they are known.
  void SetClass(const AttemptKey& key, std::string job_class, TaskKind kind);

  /// Frees the booking and learns the headroom of its class. Unknown attempts are ignored.
  void Release(const AttemptKey& key);

  /// The amounts that `Book` would book for `request`.
  Resources AmountFor(const LedgerRequest& request) const;

  /// Amounts of memory, accelerators and slots booked above the capacity; 0 where there is none. Processors are
  /// always 0, since they are throttled.
  Resources Excess() const;

  /// Percent (1 to 100) of its processors that each batch attempt may use, so that services keep what they booked.
  int ThrottlePercent() const;

  bool Contains(const AttemptKey& key) const { return m_entries.contains(key); }
  const LedgerEntry* Find(const AttemptKey& key) const;
  const absl::flat_hash_map<AttemptKey, LedgerEntry>& entries() const { return m_entries; }
  const Resources& booked() const { return m_booked; }
  const Resources& capacity() const { return m_capacity; }
  const Resources& reserve() const { return m_options.reserve; }

  /// Capacity minus reserve; no amount is negative.
  Resources Admissible() const;

  /// Learnt ratio of observed to declared use of a class, in percent; 100 if nothing is known.
  int HeadroomPercent(const std::string& job_class) const;

 private:
  struct Headroom {
    int cpu_percent = 100;
    int memory_percent = 100;
  };

  Headroom HeadroomOf(const std::string& job_class) const;
  void Learn(const LedgerEntry& entry, bool ended);

  WorkerLedgerOptions m_options;
  Resources m_capacity;
  Resources m_booked;
  absl::flat_hash_map<AttemptKey, LedgerEntry> m_entries;
  absl::flat_hash_map<std::string, Headroom> m_headroom;
};

}  // namespace berylgauge
