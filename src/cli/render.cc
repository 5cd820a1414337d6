#include "cli/render.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/time/time.h>

namespace berylgauge {
namespace {

/// Names printed in full; longer lists are cut, `--json` has them all.
constexpr std::size_t kMaxListed = 10;

/// The value as plain text, without the quotes of JSON strings.
std::string Text(const nlohmann::json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_null()) return "none";
  return value.dump();
}

std::string Field(const nlohmann::json& document, const std::string& key) {
  const auto it = document.find(key);
  return it == document.end() ? "" : Text(*it);
}

nlohmann::json List(const nlohmann::json& document, const std::string& key) {
  const auto it = document.find(key);
  return it != document.end() && it->is_array() ? *it : nlohmann::json::array();
}

std::string RenderNames(const std::string& title, const nlohmann::json& names) {
  std::string out = absl::StrFormat("  %-12s%d\n", title, names.size());
  for (std::size_t i = 0; i < names.size() && i < kMaxListed; ++i) absl::StrAppend(&out, "    ", Text(names[i]), "\n");
  if (names.size() > kMaxListed) absl::StrAppend(&out, "    and ", names.size() - kMaxListed, " more\n");
  return out;
}

std::string RenderTime(const nlohmann::json& unix_ms) {
  if (!unix_ms.is_number_integer()) return "";
  return absl::FormatTime("%Y-%m-%dT%H:%M:%SZ", absl::FromUnixMillis(unix_ms.get<std::int64_t>()), absl::UTCTimeZone());
}

std::string RenderCounts(const nlohmann::json& counts) {
  std::string out;
  for (const auto& [state, count] : counts.items()) {
    if (count != 0) absl::StrAppend(&out, out.empty() ? "" : " ", state, "=", count.dump());
  }
  return out;
}

}  // namespace

std::string RenderPlan(const nlohmann::json& plan) {
  std::string out = absl::StrCat("Plan ", Field(plan, "id"), ", made on configuration version ",
                                 Field(plan, "based_on_version"), "\n");
  for (const nlohmann::json& change : List(plan, "changes")) {
    absl::StrAppend(&out, "  change      ", Field(change, "target"), ": ", Field(change, "from"), " -> ",
                    Field(change, "to"), "\n");
  }
  absl::StrAppend(&out, RenderNames("moves", List(plan, "moves")), RenderNames("evictions", List(plan, "evictions")),
                  RenderNames("waiting", List(plan, "waiting")), RenderNames("unmet", List(plan, "unmet")));
  const nlohmann::json cost = plan.value("cost", nlohmann::json::object());
  absl::StrAppend(&out, "  cost        about ", Field(cost, "duration_s"), " s, at most ", Field(cost, "lost_work_s"),
                  " s of work lost\n");
  return out;
}

std::string RenderStatus(const nlohmann::json& status) {
  const nlohmann::json config = status.value("config", nlohmann::json::object());
  const nlohmann::json log = status.value("log", nlohmann::json::object());
  std::string out = absl::StrCat("entry ", Field(status, "entry"), ", configuration version ", Field(config, "version"),
                                 ", log read ", Field(log, "proof_age_ms"), " ms ago\n");
  for (const nlohmann::json& entry : List(status, "entries")) {
    absl::StrAppend(&out, "entry    ", Field(entry, "entry"), " in ", Field(entry, "availability_zone"),
                    entry.value("leaving", false) ? ", leaving\n" : "\n");
  }
  for (const char* kind : {"availability_zones", "workers"}) {
    const nlohmann::json objects = config.value(kind, nlohmann::json::object());
    for (const auto& [name, state] : objects.items()) {
      absl::StrAppend(&out, "config   ", name, " is ", Text(state), "\n");
    }
  }
  for (const nlohmann::json& worker : List(status, "workers")) {
    absl::StrAppend(&out, "worker   ", Field(worker, "worker"), " in ", Field(worker, "availability_zone"), ", ",
                    Field(worker, "liveness"), worker.value("draining", false) ? ", draining" : "", ", ",
                    Field(worker, "tasks"), " tasks, ", List(worker, "endpoints").size(), " endpoints\n");
  }
  const nlohmann::json shares = List(status, "shares");
  for (std::size_t i = 0; i < shares.size(); ++i) {
    absl::StrAppend(&out, "share    ", i, " of ", Field(shares[i], "owner"), ", ", Field(shares[i], "live"),
                    " tasks placed, ", Field(shares[i], "waiting"), " waiting\n");
  }
  return out;
}

std::string RenderJobs(const nlohmann::json& jobs) {
  std::string out;
  for (const nlohmann::json& job : jobs) {
    absl::StrAppend(&out, Field(job, "id"), "  ", Field(job, "name"), "  team=", Field(job, "team"), "  ",
                    RenderCounts(job.value("tasks", nlohmann::json::object())), "\n");
  }
  return out.empty() ? "no jobs\n" : out;
}

std::string RenderJob(const nlohmann::json& job) {
  std::string out = absl::StrCat(Field(job, "id"), "  ", Field(job, "name"), "  team=", Field(job, "team"), "  ",
                                 RenderCounts(job.value("tasks", nlohmann::json::object())), "\n");
  for (const nlohmann::json& task : List(job, "task_list")) {
    absl::StrAppend(&out, "  ", Field(task, "id"), "  ", Field(task, "state"), "  attempt ", Field(task, "attempt"));
    if (!Field(task, "worker").empty()) absl::StrAppend(&out, "  on ", Field(task, "worker"));
    if (!Field(task, "detail").empty()) absl::StrAppend(&out, "  (", Field(task, "detail"), ")");
    absl::StrAppend(&out, "\n");
  }
  return out;
}

std::string RenderExplanation(const nlohmann::json& task) {
  std::string out = absl::StrCat("task ", Field(task, "id"), " is ", Field(task, "state"), "\n");
  const auto line = [&](const char* label, const std::string& key) {
    const std::string text = Field(task, key);
    if (!text.empty()) absl::StrAppend(&out, "  ", absl::StrFormat("%-14s", label), text, "\n");
  };
  line("attempt", "attempt");
  line("worker", "worker");
  line("zone", "availability_zone");
  line("reason", "reason");
  line("waits for", "wait_reason");
  line("last end", "detail");
  line("failures", "failures");
  line("evictions", "evictions");
  line("owner", "owner");
  return out;
}

std::string RenderAudit(const nlohmann::json& audit) {
  std::string out;
  for (const nlohmann::json& record : audit) {
    absl::StrAppend(&out, "version ", Field(record, "version"), "  ",
                    RenderTime(record.value("at_unix_ms", nlohmann::json())), "  ", Field(record, "operator"), "  ",
                    Field(record, "target"), ": ", Field(record, "from"), " -> ", Field(record, "to"), "\n");
  }
  return out.empty() ? "no changes\n" : out;
}

}  // namespace berylgauge
