#include "settings/settings_reader.h"

#include <array>
#include <fstream>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "settings/log_level_names.h"
#include "settings/settings_section.h"

namespace berylgauge {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;
constexpr std::size_t kMaxEntries = 64;

/// An agent whose heartbeats are late once or twice is not silent yet.
constexpr int kHeartbeatsBeforeSilent = 3;

/// A body exists twice while it is decoded; the rest is for other connections.
constexpr std::size_t kRequestsInMemory = 4;

constexpr std::size_t kBytesPerMb = 1'000'000;

std::string MillisecondsText(absl::Duration duration) { return std::to_string(absl::ToInt64Milliseconds(duration)); }

TimingSettings ReadTiming(SettingsSection section) {
  TimingSettings timing{
      .heartbeat = section.Milliseconds("heartbeat_ms", {.default_value = 500, .min = 50, .max = 10000}),
      .start_freshness = section.Milliseconds("start_freshness_ms", {.default_value = 2000, .min = 100, .max = 60000}),
      .share_lease = section.Milliseconds("share_lease_ms", {.default_value = 4000, .min = 2000, .max = 60000}),
      .task_lease = section.Milliseconds("task_lease_ms", {.default_value = 30000, .min = 1000, .max = 600000}),
      .outage_grace = section.Milliseconds("outage_grace_ms", {.default_value = 3900000, .min = 1000, .max = 86400000}),
      .worker_silent = section.Milliseconds("worker_silent_ms", {.default_value = 10000, .min = 150, .max = 600000}),
      .endpoint_silent = section.Milliseconds("endpoint_silent_ms", {.default_value = 3000, .min = 1000, .max = 60000}),
      .shutdown_limit = section.Milliseconds("shutdown_limit_ms", {.default_value = 30000, .min = 1000, .max = 600000}),
  };
  const std::string heartbeat = MillisecondsText(timing.heartbeat);
  if (timing.start_freshness <= timing.heartbeat) {
    section.AddError("start_freshness_ms", "is " + MillisecondsText(timing.start_freshness) +
                                               ", must be greater than heartbeat_ms (" + heartbeat +
                                               "), else proofs expire between two heartbeats");
  }
  if (timing.worker_silent < kHeartbeatsBeforeSilent * timing.heartbeat) {
    section.AddError("worker_silent_ms", "is " + MillisecondsText(timing.worker_silent) +
                                             ", must be at least 3 times heartbeat_ms (" + heartbeat + ")");
  }
  if (timing.endpoint_silent <= timing.heartbeat) {
    section.AddError("endpoint_silent_ms", "is " + MillisecondsText(timing.endpoint_silent) +
                                               ", must be greater than heartbeat_ms (" + heartbeat + ")");
  }
  if (timing.outage_grace < timing.task_lease) {
    section.AddError("outage_grace_ms", "is " + MillisecondsText(timing.outage_grace) +
                                            ", must be at least task_lease_ms (" + MillisecondsText(timing.task_lease) +
                                            ")");
  }
  section.Finish();
  return timing;
}

/// A listener of one process with the name of its keys.
struct NamedListener {
  const char* name;
  const IpPort& address;
};

void CheckListeners(SettingsSection& section, std::initializer_list<NamedListener> listeners) {
  for (const NamedListener* b = listeners.begin(); b != listeners.end(); ++b) {
    for (const NamedListener* a = listeners.begin(); a != b; ++a) {
      const bool is_known = !a->address.address.empty() && !b->address.address.empty();
      if (!is_known || !a->address.CollidesWith(b->address)) continue;
      section.AddError(std::string(b->name) + "_port", "is " + std::to_string(b->address.port) + ", must differ from " +
                                                           a->name + "_port on the same address");
    }
  }
}

EntrySettings ReadEntry(SettingsSection section, const TimingSettings& timing) {
  EntrySettings entry{
      .callers = section.Listener("callers", true),
      .operators = section.Listener("operators", true),
      .internal = section.Listener("internal", false),
      .operator_token_file = section.AbsolutePath("operator_token_file"),
      .log_url = section.HttpUrl("log_url"),
      .job_shares = static_cast<int>(section.Integer("job_shares", {.default_value = 8, .min = 1, .max = 64})),
      .max_request_bytes = static_cast<std::size_t>(
          section.Integer("max_request_bytes", {.default_value = 1048576, .min = 1024, .max = 67108864})),
      .max_callers_connections = static_cast<int>(
          section.Integer("max_callers_connections", {.default_value = 1000, .min = 1, .max = 100000})),
      .request_memory_bytes =
          kBytesPerMb * static_cast<std::size_t>(
                            section.Integer("request_memory_mb", {.default_value = 512, .min = 16, .max = 1000000})),
      .request_timeout = section.Milliseconds("request_timeout_ms", {.default_value = 10000, .min = 10, .max = 600000}),
      .retry_budget_percent =
          static_cast<int>(section.Integer("retry_budget_percent", {.default_value = 10, .min = 0, .max = 100})),
  };
  CheckListeners(section, {{"callers", entry.callers}, {"operators", entry.operators}, {"internal", entry.internal}});
  if (entry.request_memory_bytes < kRequestsInMemory * entry.max_request_bytes) {
    section.AddError("request_memory_mb",
                     "must be at least 4 times max_request_bytes, else large requests are never served");
  }
  if (entry.request_timeout > timing.shutdown_limit) {
    section.AddError("request_timeout_ms",
                     "is " + MillisecondsText(entry.request_timeout) + ", must be at most shutdown_limit_ms (" +
                         MillisecondsText(timing.shutdown_limit) + "), else a shutdown interrupts requests");
  }
  section.Finish();
  return entry;
}

AgentSettings ReadAgent(SettingsSection section) {
  AgentSettings agent{
      .worker_id = WorkerId(section.Name("worker_id")),
      .rack = RackId(section.Name("rack")),
      .local = section.Listener("local", true),
      .internal = section.Listener("internal", false),
      .worker_url = section.HttpUrl("worker_url"),
      .entries = section.IpPorts("entries", kMaxEntries),
      .reserve_cpu_millis = section.Integer("reserve_cpu_millis", {.default_value = 100, .min = 0, .max = 1000000}),
      .reserve_memory_mb = section.Integer("reserve_memory_mb", {.default_value = 256, .min = 0, .max = 10000000}),
      .request_memory_bytes = kBytesPerMb * static_cast<std::size_t>(section.Integer(
                                                "request_memory_mb", {.default_value = 64, .min = 16, .max = 1000000})),
  };
  CheckListeners(section, {{"local", agent.local}, {"internal", agent.internal}});
  for (const IpPort& entry : agent.entries) {
    if (entry == agent.internal || entry == agent.local) {
      section.AddError("entries", "contains " + entry.ToString() + ", which is a listener of this agent");
    }
  }
  section.Finish();
  return agent;
}

/// Reads the role; if it is not valid, the section that is present decides, so that its errors are found as well.
DaemonRole ReadRole(SettingsSection& section) {
  const std::size_t errors_before = section.ErrorCount();
  const DaemonRole role = section.Enum("role", kDaemonRoleNames);
  if (section.ErrorCount() == errors_before) return role;
  return section.Has("agent") && !section.Has("entry") ? DaemonRole::kAgent : DaemonRole::kEntry;
}

/// Refuses the section of the other role; its content is not checked.
void RefuseSection(SettingsSection& section, const std::string& key) {
  if (!section.Has(key)) return;
  section.Ignore(key);
  section.AddError(key, "is allowed only with the role " + key);
}

DaemonSettings ReadDaemon(SettingsSection section) {
  DaemonSettings settings{
      .role = ReadRole(section),
      .node_id = section.Name("node_id"),
      .availability_zone = AvailabilityZoneId(section.Name("availability_zone")),
      .region = section.Name("region"),
      .log_level = section.Enum("log_level", kLogLevelNames, std::optional(LogLevel::kInfo)),
      .timing = ReadTiming(section.Section("timing", false)),
  };
  if (settings.role == DaemonRole::kEntry) {
    settings.entry = ReadEntry(section.Section("entry", true), settings.timing);
    RefuseSection(section, "agent");
  } else {
    settings.agent = ReadAgent(section.Section("agent", true));
    RefuseSection(section, "entry");
  }
  section.Finish();
  return settings;
}

/// Parses JSON and reports keys that occur twice in an object; the library keeps only the last one.
nlohmann::json ParseJson(std::string_view text, JsonErrors& errors) {
  std::vector<std::set<std::string>> open_objects;
  const auto on_event = [&](int, nlohmann::json::parse_event_t event, nlohmann::json& value) {
    if (event == nlohmann::json::parse_event_t::object_start) open_objects.emplace_back();
    if (event == nlohmann::json::parse_event_t::object_end) open_objects.pop_back();
    if (event == nlohmann::json::parse_event_t::key) {
      const auto& key = value.get_ref<const std::string&>();
      if (!open_objects.back().insert(key).second) errors.Add("$", "the key '" + key + "' occurs twice in an object");
    }
    return true;
  };
  // The library takes NUL as the end of the text and would ignore what follows.
  if (text.find('\0') != std::string_view::npos) {
    errors.Add("$", "must be JSON: contains NUL");
    return nullptr;
  }
  try {
    return nlohmann::json::parse(text, on_event);
  } catch (const nlohmann::json::parse_error& error) {
    errors.Add("$", std::string("must be JSON: ") + error.what());
    return nullptr;
  }
}

DaemonSettings ReadFile(const std::string& path, JsonErrors& errors) {
  std::ifstream file(path, std::ios::binary);
  std::string text(kMaxFileBytes + 1, '\0');
  file.read(text.data(), static_cast<std::streamsize>(text.size()));
  text.resize(static_cast<std::size_t>(file.gcount()));
  if (!file.eof() || file.bad()) {
    errors.Add("$", text.size() > kMaxFileBytes ? "the file " + path + " has more than 1 MiB"
                                                : "the file " + path + " cannot be read");
    return {};
  }
  return ParseSettings(text, errors);
}

}  // namespace

DaemonSettings ParseSettings(std::string_view text, JsonErrors& errors) {
  const nlohmann::json document = ParseJson(text, errors);
  // Text that is not JSON has one error; "is required" for each key would hide it.
  if (document.is_null() && !errors.empty()) return {};
  return ReadDaemon(SettingsSection(JsonObjectReader(document, "$", errors), "", errors, nullptr));
}

Result<DaemonSettings> LoadSettings(const std::string& path) {
  JsonErrors errors;
  DaemonSettings settings = ReadFile(path, errors);
  if (!errors.empty()) return tl::make_unexpected(errors.ToFailure());
  return settings;
}

std::vector<JsonError> CheckSettings(const std::string& path) {
  JsonErrors errors;
  ReadFile(path, errors);
  return errors.errors();
}

std::vector<SettingsKey> SettingsKeys(DaemonRole role) {
  std::vector<SettingsKey> keys;
  JsonErrors ignored;
  const nlohmann::json document = {{"role", kDaemonRoleNames.NameOf(role)}};
  ReadDaemon(SettingsSection(JsonObjectReader(document, "$", ignored), "", ignored, &keys));
  return keys;
}

}  // namespace berylgauge
