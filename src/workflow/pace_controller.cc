#include "workflow/pace_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylgauge::workflow {
namespace {

/// Below this pace the use that is measured says little about the use at full pace.
constexpr double kReliableShare = 0.25;

}  // namespace

std::vector<PaceChange> PaceController::Decide(const std::vector<MeasuredRun>& runs,
                                               const InterferenceTable& interference, MonotonicTime now) {
  if (now - m_decided_at < m_options.interval) return {};
  m_decided_at = now;
  std::vector<const MeasuredRun*> serving;
  for (const MeasuredRun& run : runs) {
    if (run.tail_target_ms > 0) serving.push_back(&run);
  }
  std::vector<Filler> fillers = TakeFillers(runs);
  for (const MeasuredRun* run : serving) SlowFor(*run, fillers, interference);
  SlowAll(CountMisses(serving), fillers);
  SpeedUp(fillers, serving, interference);
  std::vector<PaceChange> changes;
  for (const Filler& filler : fillers) {
    State& state = m_states[filler.run->task];
    state.share = filler.share;
    int percent = static_cast<int>(std::lround(filler.share * 100));
    if (percent < m_options.lowest_percent) percent = 0;
    const bool is_end = percent == 0 || percent == 100;
    if (percent == state.sent_percent) continue;
    if (!is_end && std::abs(percent - state.sent_percent) < m_options.step_percent) continue;
    state.sent_percent = percent;
    changes.push_back({.task = filler.run->task, .run = filler.run->run, .percent = percent});
  }
  return changes;
}

PaceChange PaceController::DecideStart(const MeasuredRun& filler, const std::vector<MeasuredRun>& runs,
                                       const InterferenceTable& interference) {
  State state{.run = filler.run, .full_cores = static_cast<double>(filler.demand_cpu) / 1000};
  for (const MeasuredRun& run : runs) {
    if (run.tail_target_ms <= 0) continue;
    const double ms = interference.Get(run.image, filler.image) * state.full_cores;
    if (ms <= m_options.harmless_ms) continue;
    const double room = m_options.speed_up_below * run.tail_target_ms - static_cast<double>(run.measured);
    state.share = std::min(state.share, std::max(0.0, m_options.used_room * room) / ms);
  }
  state.sent_percent = static_cast<int>(std::lround(state.share * 100));
  if (state.sent_percent < m_options.lowest_percent) state.sent_percent = 0;
  m_states[filler.task] = state;
  return {.task = filler.task, .run = filler.run, .percent = state.sent_percent};
}

std::vector<PaceController::Filler> PaceController::TakeFillers(const std::vector<MeasuredRun>& runs) {
  std::vector<Filler> fillers;
  absl::flat_hash_map<std::string, State> states;
  for (const MeasuredRun& run : runs) {
    if (!run.fills_idle_cpu) continue;
    State state{.run = run.run, .full_cores = static_cast<double>(run.demand_cpu) / 1000};
    const auto known = m_states.find(run.task);
    if (known != m_states.end() && known->second.run == run.run) state = known->second;
    if (state.share >= kReliableShare && run.measured > 0) {
      state.full_cores = static_cast<double>(run.measured) / 1000 / state.share;
    }
    fillers.push_back({.run = &run, .share = state.share, .full_cores = state.full_cores});
    states.emplace(run.task, state);
  }
  m_states = std::move(states);
  return fillers;
}

int PaceController::CountMisses(const std::vector<const MeasuredRun*>& serving) {
  absl::flat_hash_map<std::string, int> misses;
  int longest = 0;
  for (const MeasuredRun* run : serving) {
    if (run->measured <= run->tail_target_ms) continue;
    const auto known = m_misses.find(run->task);
    const int count = known == m_misses.end() ? 1 : known->second + 1;
    misses[run->task] = count;
    longest = std::max(longest, count);
  }
  m_misses = std::move(misses);
  return longest;
}

void PaceController::SlowAll(int missed, std::vector<Filler>& fillers) const {
  if (missed < m_options.slow_all_after) return;
  for (Filler& filler : fillers) {
    filler.share *= missed < m_options.stop_all_after ? m_options.unexplained_factor : 0;
    filler.slowed = true;
  }
}

void PaceController::SlowFor(const MeasuredRun& serving, std::vector<Filler>& fillers,
                             const InterferenceTable& interference) const {
  const double target = serving.tail_target_ms;
  const auto tail = static_cast<double>(serving.measured);
  if (tail <= m_options.slow_above * target) return;
  double excess = tail - m_options.slow_to * target;
  std::vector<std::pair<double, Filler*>> by_disturbance;
  for (Filler& filler : fillers) {
    const double ms = interference.Get(serving.image, filler.run->image) * filler.full_cores * filler.share;
    by_disturbance.emplace_back(ms, &filler);
  }
  std::sort(by_disturbance.begin(), by_disturbance.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  for (auto& [ms, filler] : by_disturbance) {
    if (excess <= 0 || ms <= m_options.harmless_ms) break;
    const double cut = std::min(ms, excess);
    filler->share *= 1 - cut / ms;
    filler->slowed = true;
    excess -= cut;
  }
  if (excess <= 0 || tail <= target) return;
  for (Filler& filler : fillers) {
    filler.share *= m_options.unexplained_factor;
    filler.slowed = true;
  }
}

void PaceController::SpeedUp(std::vector<Filler>& fillers, const std::vector<const MeasuredRun*>& serving,
                             const InterferenceTable& interference) const {
  std::vector<double> room;
  for (const MeasuredRun* run : serving) {
    const double limit = m_options.speed_up_below * run->tail_target_ms;
    room.push_back(m_options.used_room * (limit - static_cast<double>(run->measured)));
  }
  // The least harmful first, so that the room goes to most work.
  std::vector<std::pair<double, Filler*>> by_harm;
  for (Filler& filler : fillers) {
    if (filler.slowed || filler.share >= 1) continue;
    double harm = 0;
    for (const MeasuredRun* run : serving) {
      harm = std::max(harm, interference.Get(run->image, filler.run->image) * filler.full_cores);
    }
    by_harm.emplace_back(harm, &filler);
  }
  std::sort(by_harm.begin(), by_harm.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [harm, filler] : by_harm) {
    double rise = 1 - filler->share;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      const double ms = interference.Get(serving[i]->image, filler->run->image) * filler->full_cores;
      if (ms <= m_options.harmless_ms) continue;
      rise = std::min(rise, std::max(0.0, room[i]) / ms);
    }
    filler->share += rise;
    for (std::size_t i = 0; i < serving.size(); ++i) {
      room[i] -= rise * interference.Get(serving[i]->image, filler->run->image) * filler->full_cores;
    }
  }
}

void PaceController::ForgetChange(const std::string& task) {
  const auto found = m_states.find(task);
  // No percentage that could be decided, so that the next decision is sent whatever it is.
  if (found != m_states.end()) found->second.sent_percent = -100;
}

}  // namespace berylgauge::workflow
