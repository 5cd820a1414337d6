#include "process/order_load.h"

#include <absl/strings/str_cat.h>
#include <absl/time/clock.h>

#include <utility>

namespace berylgauge {
namespace {

/// Above the request timeout of the entries, so that their verdict arrives.
constexpr absl::Duration kCallerTimeout = absl::Seconds(15);
constexpr absl::Duration kReadyTimeout = absl::Seconds(1);
constexpr absl::Duration kPace = absl::Milliseconds(10);

/// Bodies of different sizes show answers that are cut short or mixed up.
std::string BodyOf(const std::string& name, int number) {
  return absl::StrCat("order ", name, " ", std::string(static_cast<std::size_t>(number % 50) * 200, 'x'), " end ",
                      name);
}

}  // namespace

OrderLoad::OrderLoad(std::vector<Entry> entries, int callers) : m_entries(std::move(entries)) {
  for (int i = 0; i < callers; ++i) m_threads.emplace_back([this, i] { Run(i); });
}

void OrderLoad::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

std::vector<OrderOutcome> OrderLoad::Outcomes() const {
  const std::lock_guard lock(m_mutex);
  return m_outcomes;
}

std::string OrderLoad::Lost() const {
  std::vector<std::string> lost;
  for (const OrderOutcome& outcome : Outcomes()) {
    if (!outcome.is_whole) lost.push_back(absl::StrCat(outcome.target, " ", outcome.verdict, ": ", outcome.detail));
  }
  return lost.empty() ? "none" : absl::StrCat(lost.front(), " (", lost.size(), " requests)");
}

void OrderLoad::Run(int caller) {
  for (int number = 0; !m_stopping; ++number) {
    const Entry& entry = m_entries[static_cast<std::size_t>(caller + number) % m_entries.size()];
    if (!IsReady(entry)) continue;
    const std::string name = absl::StrCat(caller, "-", number);
    OrderOutcome outcome = Order(entry, "/orders/" + name, BodyOf(name, number));
    if (outcome.is_whole) ++m_ran;
    {
      const std::lock_guard lock(m_mutex);
      m_outcomes.push_back(std::move(outcome));
    }
    absl::SleepFor(kPace);
  }
}

bool OrderLoad::IsReady(const Entry& entry) {
  const Result<HttpResponse> response =
      m_http.Call({.method = "GET", .url = "http://" + entry.operators + "/readyz"}, kReadyTimeout);
  return response && response->status == 200;
}

OrderOutcome OrderLoad::Order(const Entry& entry, const std::string& target, const std::string& body) {
  OrderOutcome outcome{.target = target, .verdict = {}, .detail = {}};
  const Result<HttpResponse> response = m_http.Call(
      {.method = "POST", .url = "http://" + entry.callers + "/dispatch" + target, .body = body}, kCallerTimeout);
  if (!response) {
    outcome.detail = entry.callers + " " + response.error().message;
    if (response.error().verdict == Verdict::kNotRun) outcome.verdict = "not-run";
    return outcome;
  }
  outcome.verdict = response->Header("berylgauge-verdict");
  outcome.is_whole = response->status == 200 && response->body == body;
  outcome.detail = absl::StrCat(entry.callers, " ", response->status, " ", response->body.substr(0, 200));
  return outcome;
}

}  // namespace berylgauge
