#include "workflow/pace_controller.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace berylgauge::workflow {
namespace {

/// Below this pace the use that is measured says little about the use at full pace.
constexpr double kReliableShare = 0.25;
/// The undisturbed rate is the highest one seen or expected; it falls by this factor in an interval, because the load
/// changes.
constexpr double kUndisturbedDecay = 0.92;
/// As multiples of the rate at the target: the rate of a serving task before its first figure, differences that are
/// noise of the measurement, and the most that a rising load is expected to take in an interval.
constexpr double kUsualRate = 2;
constexpr double kLeastCaused = 0.1;
constexpr double kLargestFall = 0.25;
/// Bounds of the factor by which a disturbance costs more than was learnt, and its decay in an interval.
constexpr double kLargestScale = 4;
constexpr double kScaleDecay = 0.95;

}  // namespace

std::vector<PaceChange> PaceController::Decide(const std::vector<MeasuredRun>& runs,
                                               const InterferenceTable& interference, MonotonicTime now) {
  if (now - m_decided_at < m_options.interval) return {};
  m_decided_at = now;
  const std::vector<const MeasuredRun*> serving = ServingAmong(runs);
  std::vector<Filler> fillers = TakeFillers(runs);
  ForgetBudgets(serving);
  for (const MeasuredRun* run : serving) Renew(*run, fillers, interference);
  Spend(serving, fillers, interference);
  std::vector<PaceChange> changes;
  for (const Filler& filler : fillers) {
    State& state = m_states[filler.run->task];
    state.share = filler.share;
    const int percent = PercentOf(filler.share);
    const bool is_end = percent == 0 || percent == 100 || state.sent_percent == kUnknownPercent;
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
  state.share = TakeShare(ServingAmong(runs), filler, state.full_cores, interference, m_options.start_room);
  state.sent_percent = PercentOf(state.share);
  m_states[filler.task] = state;
  return {.task = filler.task, .run = filler.run, .percent = state.sent_percent};
}

std::vector<const MeasuredRun*> PaceController::ServingAmong(const std::vector<MeasuredRun>& runs) {
  std::vector<const MeasuredRun*> serving;
  for (const MeasuredRun& run : runs) {
    if (run.tail_target_ms > 0) serving.push_back(&run);
  }
  return serving;
}

int PaceController::PercentOf(double share) const {
  const int percent = static_cast<int>(std::lround(share * 100));
  return percent < m_options.lowest_percent ? 0 : percent;
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

double PaceController::LossPerCore(const MeasuredRun& serving, const MeasuredRun& filler,
                                   const InterferenceTable& interference) const {
  return std::max(interference.Get(serving.image, filler.image, serving.tail_target_ms),
                  m_options.least_loss_share * SpareRate(serving.tail_target_ms));
}

PaceController::Budget& PaceController::BudgetOf(const MeasuredRun& serving) {
  const auto [found, is_new] = m_budgets.try_emplace(serving.task);
  Budget& budget = found->second;
  if (!is_new) return budget;
  const double held = SpareRate(m_options.held_tail * serving.tail_target_ms);
  const double rate = serving.measured > 0 ? SpareRate(static_cast<double>(serving.measured)) : kUsualRate * held;
  budget.undisturbed = rate;
  budget.left = std::max(0.0, m_options.used_room * (rate - held));
  return budget;
}

void PaceController::ForgetBudgets(const std::vector<const MeasuredRun*>& serving) {
  absl::flat_hash_map<std::string, Budget> kept;
  for (const MeasuredRun* run : serving) {
    const auto found = m_budgets.find(run->task);
    if (found != m_budgets.end()) kept.insert(*found);
  }
  m_budgets = std::move(kept);
}

void PaceController::Renew(const MeasuredRun& serving, const std::vector<Filler>& fillers,
                           const InterferenceTable& interference) {
  Budget& budget = BudgetOf(serving);
  if (serving.measured <= 0) return;  // not measured yet
  const double target = SpareRate(serving.tail_target_ms);
  const double rate = SpareRate(static_cast<double>(serving.measured));
  double disturbance = 0;
  for (const Filler& filler : fillers) {
    disturbance += LossPerCore(serving, *filler.run, interference) * static_cast<double>(filler.run->measured) / 1000;
  }
  const double former = budget.undisturbed;
  budget.undisturbed = std::max(rate + disturbance, former * kUndisturbedDecay);
  budget.missed = rate < target ? budget.missed + 1 : 0;
  if (budget.missed >= m_options.stop_all_after) {
    budget.left = 0;
    return;
  }
  const double fall = std::clamp(former - budget.undisturbed, 0.0, kLargestFall * target);
  const double held = target / m_options.held_tail + fall;
  const double caused = std::max(budget.undisturbed - rate, kLeastCaused * target);
  if (disturbance > kLeastCaused * target) {
    const double scale = std::min(caused / disturbance, kLargestScale);
    budget.scale = std::max({1.0, budget.scale * kScaleDecay, scale});
  }
  const double factor = std::clamp((budget.undisturbed - held) / caused, 0.0, m_options.largest_rise);
  budget.left = disturbance * factor;
  if (rate > held) {
    budget.left = std::max(budget.left, disturbance + m_options.used_room * (rate - held) / budget.scale);
  }
}

void PaceController::Spend(const std::vector<const MeasuredRun*>& serving, std::vector<Filler>& fillers,
                           const InterferenceTable& interference) {
  std::vector<std::pair<double, Filler*>> by_harm;
  for (Filler& filler : fillers) {
    double harm = 0;
    for (const MeasuredRun* run : serving) harm = std::max(harm, LossPerCore(*run, *filler.run, interference));
    by_harm.emplace_back(harm, &filler);
  }
  std::stable_sort(by_harm.begin(), by_harm.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
  for (auto& [harm, filler] : by_harm) {
    filler->share = TakeShare(serving, *filler->run, filler->full_cores, interference, 1);
  }
}

double PaceController::TakeShare(const std::vector<const MeasuredRun*>& serving, const MeasuredRun& filler,
                                 double full_cores, const InterferenceTable& interference, double part) {
  double share = 1;
  for (const MeasuredRun* run : serving) {
    const double loss_per_core = LossPerCore(*run, filler, interference);
    const Budget& budget = BudgetOf(*run);
    const bool is_light = loss_per_core <= m_options.light_loss_share * SpareRate(run->tail_target_ms);
    if (is_light && budget.missed < m_options.slow_light_after) continue;
    const double loss = loss_per_core * full_cores;
    if (loss > 0) share = std::min(share, part * budget.left / loss);
  }
  share = std::max(share, 0.0);
  for (const MeasuredRun* run : serving) {
    double& left = BudgetOf(*run).left;
    left = std::max(0.0, left - share * LossPerCore(*run, filler, interference) * full_cores);
  }
  return share;
}

void PaceController::ForgetChange(const std::string& task) {
  const auto found = m_states.find(task);
  // No percentage that could be decided, so that the next decision is sent whatever it is.
  if (found != m_states.end()) found->second.sent_percent = -100;
}

}  // namespace berylgauge::workflow
