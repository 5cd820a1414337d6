#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/inlined_vector.h>
#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "base/ids.h"
#include "base/monotonic_time.h"
#include "base/resources.h"
#include "schedule/fit_tree.h"
#include "schedule/placement.h"
#include "schedule/worker_view.h"

namespace berylgauge {

struct PlacerOptions {
  /// Workers compared for one task. Comparing more makes owners that decide at the same time agree on the same worker.
  int samples = 6;
  /// Further workers compared for a service replica while all candidates share a rack with another replica.
  int rack_samples = 12;
  /// Candidates whose score is within this distance of the best are equally good; one of them is drawn.
  double score_tolerance = 0.1;
  /// Part of each worker that batch work without importance or urgency may fill, in percent; the rest is kept for
  /// services, urgent and important work.
  int ordinary_fill_percent = 95;
  int high_importance = 10;                                   ///< from here on a batch task may use the kept part
  absl::Duration small_slack = absl::Minutes(5);              ///< below this a batch task may use the kept part
  absl::Duration avoid_duration = absl::Milliseconds(5'000);  ///< after a refusal
};

/// Chooses workers for the tasks of the shares that an entry owns.
///
/// The index holds the worker views plus what this placer has placed and the views do not contain yet. Independent
/// placers choose differently because each compares only a few random workers with room.
class Placer {
 public:
  explicit Placer(PlacerOptions options = {});

  // Workers.
  void UpsertWorker(const WorkerView& view);
  void RemoveWorker(const WorkerId& worker);

  // Teams.
  /// Sets the quota of a team; a negative amount means no limit. Teams without a quota have no limit.
  void SetTeamQuota(const TeamId& team, const Resources& quota);
  void RemoveTeamQuota(const TeamId& team);

  // Decisions.
  /// Chooses a worker and books the task there until `RecordStarted` or `RecordEnded`.
  PlacementDecision Place(const PlacementRequest& request, MonotonicTime now, absl::BitGenRef random);

  /// Tells whether the task can never run with the present workers and quotas; nothing if it can.
  std::optional<PlacementReason> NeverRuns(const PlacementRequest& request) const;

  /// The worker refused the task: the booking is dropped and the worker avoided for this task for a short time.
  void RecordRefused(const AttemptKey& key, const WorkerId& worker, MonotonicTime now);

  /// The agent has admitted the attempt; views received after `now` contain it.
  void RecordStarted(const AttemptKey& key, MonotonicTime now);

  /// An attempt that runs although this placer did not place it, for the quota; for example after a change of owner.
  void RecordRunning(const AttemptKey& key, const TeamId& team, const Resources& resources);

  /// The attempt has ended or will not start.
  void RecordEnded(const AttemptKey& key);

  // Queries.
  std::size_t worker_count() const { return m_index.size(); }
  Resources TeamUse(const TeamId& team) const;
  /// Largest part of its quota that a team uses in any dimension, of all workers' capacity where it has no limit.
  double TeamShare(const TeamId& team) const;
  /// Free amounts of a worker as the index has them; nothing if the worker is not known.
  std::optional<Resources> FreeOf(const WorkerId& worker) const;

 private:
  using WorkerIndex = std::uint32_t;
  using ZoneIndex = std::uint32_t;
  using RackIndex = std::uint32_t;
  using ServiceIndex = std::uint32_t;
  using ClassIndex = std::uint32_t;

  /// Which free amounts a search uses.
  enum class Room { kOrdinary, kWhole, kWithEviction };
  static constexpr std::size_t kRooms = 3;

  struct Zone {
    AvailabilityZoneId id;
    std::array<FitTree, kRooms> trees;
    std::vector<WorkerIndex> workers;  ///< by position in the trees
    std::vector<std::size_t> unused;   ///< positions of removed workers
    std::size_t open = 0;              ///< workers that accept work
  };

  struct Worker {
    WorkerView view;
    Resources pending;  ///< placed here and not contained in the view
    ZoneIndex zone = 0;
    RackIndex rack = 0;
    std::size_t position = 0;
    bool known = false;
    bool open = false;
    int replicas = 0;  ///< service replicas
    int batch_attempts = 0;
    std::vector<std::pair<ServiceIndex, int>> services;
    std::vector<std::pair<ClassIndex, int>> classes;
  };

  struct Service {
    std::vector<int> zones;                     ///< replicas by zone
    absl::flat_hash_map<RackIndex, int> racks;  ///< replicas by rack
  };

  struct Placed {
    std::optional<WorkerIndex> worker;  ///< while it is pending
    Resources resources;
    TeamId team;
    TaskKind kind = TaskKind::kBatch;
    std::optional<ServiceIndex> service;
    std::optional<ClassIndex> job_class;
    MonotonicTime started_at = InfiniteFuture();
  };

  struct Candidate {
    WorkerIndex worker = 0;
    double score = 0;
    int zone_replicas = 0;
    int rack_replicas = 0;
  };
  using Candidates = absl::InlinedVector<Candidate, 8>;
  using Avoided = absl::InlinedVector<std::pair<WorkerIndex, MonotonicTime>, 2>;
  using CapacityKey = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::int64_t>;

  struct Search {
    const PlacementRequest* request = nullptr;
    Room room = Room::kWhole;
    std::optional<ServiceIndex> service;
    std::optional<ClassIndex> job_class;
    const Avoided* avoided = nullptr;
    MonotonicTime now;
    bool saw_avoided = false;
  };

  template <typename Id>
  static std::uint32_t Intern(absl::flat_hash_map<Id, std::uint32_t>& table, const Id& id);

  ZoneIndex InternZone(const AvailabilityZoneId& id);
  void AddToZone(WorkerIndex index);
  void RemoveFromZone(WorkerIndex index);
  void CountCapacity(const Resources& capacity, int change);
  void SetRunning(WorkerIndex index, const WorkerView& view);
  void ClearRunning(WorkerIndex index);
  void CountService(WorkerIndex index, ServiceIndex service, int change);
  void CountClass(WorkerIndex index, ClassIndex job_class, int change);
  void DropSettled(WorkerIndex index, MonotonicTime as_of);
  void DropPending(const AttemptKey& key, Placed& placed);
  void UpdateTrees(WorkerIndex index);
  void SetOpen(WorkerIndex index, bool open);

  std::optional<PlacementReason> QuotaRefusal(const PlacementRequest& request) const;
  Room RoomFor(const PlacementRequest& request) const;
  void PurgeAvoided(MonotonicTime now);
  bool Accept(Search& search, WorkerIndex index) const;
  std::optional<WorkerIndex> FindInZone(Search& search, const Zone& zone, absl::BitGenRef random,
                                        const Candidates& found) const;
  void FindBatch(Search& search, absl::BitGenRef random, Candidates& found) const;
  void FindService(Search& search, absl::BitGenRef random, Candidates& found) const;
  Candidate Score(const Search& search, WorkerIndex index) const;
  void BookPlaced(const Search& search, WorkerIndex index);
  PlacementReason ReasonForNone(const Search& search) const;

  PlacerOptions m_options;
  std::vector<Worker> m_workers;
  std::vector<WorkerIndex> m_unused_workers;
  absl::flat_hash_map<WorkerId, WorkerIndex> m_index;
  std::vector<Zone> m_zones;
  absl::flat_hash_map<AvailabilityZoneId, ZoneIndex> m_zone_index;
  absl::flat_hash_map<RackId, RackIndex> m_rack_index;
  absl::flat_hash_map<ServiceId, ServiceIndex> m_service_index;
  absl::flat_hash_map<std::string, ClassIndex> m_class_index;
  std::vector<Service> m_services;
  std::map<CapacityKey, int> m_capacities;  ///< number of workers of each capacity
  absl::flat_hash_map<TeamId, Resources> m_quotas;
  absl::flat_hash_map<TeamId, Resources> m_team_use;
  absl::flat_hash_map<AttemptKey, Placed> m_placed;
  std::vector<std::vector<AttemptKey>> m_pending;  ///< by worker
  absl::flat_hash_map<TaskId, Avoided> m_avoided;
  std::deque<std::pair<MonotonicTime, TaskId>> m_avoided_order;
};

}  // namespace berylgauge
