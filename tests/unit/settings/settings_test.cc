#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "settings/settings_reader.h"

namespace berylgauge {
namespace {

using Json = nlohmann::json;

Json EntryDocument() {
  return Json::parse(R"({
    "role": "entry", "node_id": "e1", "availability_zone": "galway-yard", "region": "ie-west",
    "timing": {},
    "entry": {
      "callers_address": "127.0.0.1", "callers_port": 8080,
      "operators_address": "127.0.0.1", "operators_port": 8081,
      "internal_address": "127.0.0.1", "internal_port": 8082,
      "operator_token_file": "/etc/token", "log_url": "http://127.0.0.1:9000"
    }})");
}

Json AgentDocument() {
  return Json::parse(R"({
    "role": "agent", "node_id": "a1", "availability_zone": "bolehall", "region": "staffs",
    "timing": {},
    "agent": {
      "worker_id": "w1", "rack": "r1",
      "local_address": "127.0.0.1", "local_port": 8090,
      "internal_address": "127.0.0.1", "internal_port": 8091,
      "worker_url": "http://127.0.0.1:9100", "entries": ["127.0.0.1:8082"]
    }})");
}

std::vector<JsonError> ErrorsOf(const std::string& text) {
  JsonErrors errors;
  ParseSettings(text, errors);
  return errors.errors();
}

std::multiset<std::string> PathsOf(const std::vector<JsonError>& errors) {
  std::multiset<std::string> paths;
  for (const JsonError& error : errors) paths.insert(error.path);
  return paths;
}

/// Changes to a valid document and the paths of all errors that they cause.
struct ChangeCase {
  const char* document;  ///< "entry" or "agent"
  const char* changes;   ///< JSON object from JSON pointer to new value; null removes the key
  std::multiset<std::string> paths;
};

Json Changed(const ChangeCase& test) {
  Json document = std::string(test.document) == "entry" ? EntryDocument() : AgentDocument();
  const Json changes = Json::parse(test.changes);
  for (const auto& [pointer, value] : changes.items()) {
    const Json::json_pointer target(pointer);
    if (value.is_null()) {
      document.at(target.parent_pointer()).erase(target.back());
    } else {
      document[target] = value;
    }
  }
  return document;
}

TEST_CASE("valid settings have the documented defaults", "[settings]") {
  JsonErrors errors;
  const DaemonSettings entry = ParseSettings(EntryDocument().dump(), errors);
  CHECK(errors.ToFailure().message.empty());
  CHECK(entry.role == DaemonRole::kEntry);
  CHECK_FALSE(entry.agent.has_value());
  CHECK(entry.log_level == LogLevel::kInfo);
  CHECK(entry.timing.heartbeat == absl::Milliseconds(500));
  CHECK(entry.timing.start_freshness == absl::Milliseconds(2000));
  CHECK(entry.timing.share_lease == absl::Milliseconds(4000));
  CHECK(entry.timing.task_lease == absl::Milliseconds(30000));
  CHECK(entry.timing.outage_grace == absl::Milliseconds(3900000));
  CHECK(entry.timing.worker_silent == absl::Milliseconds(10000));
  CHECK(entry.timing.endpoint_silent == absl::Milliseconds(3000));
  CHECK(entry.timing.shutdown_limit == absl::Milliseconds(30000));
  CHECK(entry.entry.value().job_shares == 8);
  CHECK(entry.entry->callers.ToString() == "127.0.0.1:8080");
  CHECK(entry.entry->internal.ToString() == "127.0.0.1:8082");
  CHECK(entry.entry->request_memory_bytes == 512'000'000);

  const DaemonSettings agent = ParseSettings(AgentDocument().dump(), errors);
  CHECK(errors.ToFailure().message.empty());
  CHECK(agent.role == DaemonRole::kAgent);
  CHECK_FALSE(agent.entry.has_value());
  CHECK(agent.agent.value().worker_id.value() == "w1");
  CHECK(agent.agent->request_memory_bytes == 64'000'000);
  CHECK(agent.agent->entries == std::vector<IpPort>{{.address = "127.0.0.1", .port = 8082}});
}

// Guards against a daemon that starts with a value that it cannot use, and against reports that stop at the first
// error.
TEST_CASE("each invalid value is reported with its path", "[settings]") {
  const auto test = GENERATE(values<ChangeCase>({
      // Common keys.
      {"entry", R"({"/role": "leader"})", {"$.role"}},
      {"agent", R"({"/role": 1})", {"$.role"}},
      {"agent", R"({"/role": null})", {"$.role"}},
      {"entry", R"({"/node_id": null})", {"$.node_id"}},
      {"entry", R"({"/node_id": ""})", {"$.node_id"}},
      {"entry", R"({"/node_id": "a b"})", {"$.node_id"}},
      {"entry", R"({"/node_id": "a\u0000b"})", {"$.node_id"}},
      {"entry", R"({"/availability_zone": "a/b"})", {"$.availability_zone"}},
      {"entry", R"({"/region": ["ie-west"]})", {"$.region"}},
      {"entry", R"({"/log_level": "verbose"})", {"$.log_level"}},
      {"entry", R"({"/nodeid": "x"})", {"$.nodeid"}},
      {"entry",
       R"({"/entry": null})",
       {"$.entry", "$.entry.callers_address", "$.entry.callers_port", "$.entry.operators_address",
        "$.entry.operators_port", "$.entry.internal_address", "$.entry.internal_port", "$.entry.operator_token_file",
        "$.entry.log_url"}},
      {"entry", R"({"/agent": {}})", {"$.agent"}},
      {"entry", R"({"/agent": 5})", {"$.agent", "$.agent"}},
      {"agent", R"({"/entry": {"callers_port": 1}})", {"$.entry"}},
      // Memory for requests: ranges, contradictions.
      {"agent", R"({"/agent/request_memory_mb": 15})", {"$.agent.request_memory_mb"}},
      {"entry", R"({"/entry/request_memory_mb": 1000001})", {"$.entry.request_memory_mb"}},
      {"entry",
       R"({"/entry/request_memory_mb": 16, "/entry/max_request_bytes": 4000001})",
       {"$.entry.request_memory_mb"}},
      {"entry", R"({"/entry/request_memory_mb": 16, "/entry/max_request_bytes": 4000000})", {}},
      // Timing: types, ranges, contradictions.
      {"entry", R"({"/timing": []})", {"$.timing"}},
      {"entry", R"({"/timing/heartbeat": 500})", {"$.timing.heartbeat"}},
      {"entry", R"({"/timing/heartbeat_ms": "500"})", {"$.timing.heartbeat_ms"}},
      {"entry", R"({"/timing/heartbeat_ms": 500.5})", {"$.timing.heartbeat_ms"}},
      {"entry", R"({"/timing/heartbeat_ms": 0})", {"$.timing.heartbeat_ms"}},
      {"entry", R"({"/timing/heartbeat_ms": -500})", {"$.timing.heartbeat_ms"}},
      {"entry", R"({"/timing/heartbeat_ms": 18446744073709551615})", {"$.timing.heartbeat_ms"}},
      {"entry", R"({"/timing/start_freshness_ms": 500})", {"$.timing.start_freshness_ms"}},
      {"entry", R"({"/timing/start_freshness_ms": 501})", {}},
      {"entry", R"({"/timing/worker_silent_ms": 1499})", {"$.timing.worker_silent_ms"}},
      {"entry", R"({"/timing/worker_silent_ms": 1500})", {}},
      {"entry",
       R"({"/timing/endpoint_silent_ms": 2000, "/timing/heartbeat_ms": 2000})",
       {"$.timing.start_freshness_ms", "$.timing.endpoint_silent_ms"}},
      {"entry", R"({"/timing/outage_grace_ms": 29999})", {"$.timing.outage_grace_ms"}},
      {"entry", R"({"/timing/outage_grace_ms": 30000})", {}},
      {"entry", R"({"/timing/share_lease_ms": 1999})", {"$.timing.share_lease_ms"}},
      {"entry", R"({"/timing/task_lease_ms": 600001})", {"$.timing.task_lease_ms"}},
      {"entry", R"({"/timing/shutdown_limit_ms": 9999})", {"$.entry.request_timeout_ms"}},
      // Entry.
      {"entry", R"({"/entry/callers_address": "localhost"})", {"$.entry.callers_address"}},
      {"entry", R"({"/entry/callers_address": "127.0.0.1 "})", {"$.entry.callers_address"}},
      {"entry", R"({"/entry/callers_address": "127.0.0.1\u0000x"})", {"$.entry.callers_address"}},
      {"entry", R"({"/entry/callers_address": "127.1"})", {"$.entry.callers_address"}},
      {"entry", R"({"/entry/callers_address": "[::1]"})", {"$.entry.callers_address"}},
      {"entry", R"({"/entry/callers_address": "::1"})", {}},
      {"entry", R"({"/entry/internal_address": "0.0.0.0"})", {"$.entry.internal_address"}},
      {"entry", R"({"/entry/callers_port": 0})", {"$.entry.callers_port"}},
      {"entry", R"({"/entry/callers_port": 65536})", {"$.entry.callers_port"}},
      {"entry", R"({"/entry/callers_port": "8080"})", {"$.entry.callers_port"}},
      {"entry", R"({"/entry/operators_port": 8080})", {"$.entry.operators_port"}},
      {"entry", R"({"/entry/operators_port": 8080, "/entry/operators_address": "127.0.0.2"})", {}},
      {"entry",
       R"({"/entry/operators_port": 8080, "/entry/operators_address": "0.0.0.0"})",
       {"$.entry.operators_port"}},
      {"entry", R"({"/entry/operators_port": 8080, "/entry/operators_address": "::"})", {"$.entry.operators_port"}},
      {"entry",
       R"({"/entry/operators_address": "::1", "/entry/operators_port": 9, "/entry/internal_address": "0:0:0:0:0:0:0:1",
           "/entry/internal_port": 9})",
       {"$.entry.internal_port"}},
      {"entry",
       R"({"/entry/operators_port": 8080, "/entry/internal_port": 8080})",
       {"$.entry.operators_port", "$.entry.internal_port", "$.entry.internal_port"}},
      {"entry", R"({"/entry/operator_token_file": "token"})", {"$.entry.operator_token_file"}},
      {"entry", R"({"/entry/operator_token_file": "/"})", {"$.entry.operator_token_file"}},
      {"entry", R"({"/entry/log_url": "ftp://127.0.0.1"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://log.example:9000"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://user@127.0.0.1"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://127.0.0.1:0"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://127.0.0.1:9000/a b"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://0.0.0.0:9000"})", {"$.entry.log_url"}},
      {"entry", R"({"/entry/log_url": "http://[::1]:9000/log"})", {}},
      {"entry", R"({"/entry/log_url": "http://[::1]"})", {}},
      {"entry", R"({"/entry/log_url": "http://127.0.0.1/log"})", {}},
      {"entry", R"({"/entry/job_shares": 0})", {"$.entry.job_shares"}},
      {"entry", R"({"/entry/job_shares": 65})", {"$.entry.job_shares"}},
      {"entry", R"({"/entry/job_shares": 64})", {}},
      {"entry", R"({"/entry/max_request_bytes": 1023})", {"$.entry.max_request_bytes"}},
      {"entry", R"({"/entry/max_callers_connections": 0})", {"$.entry.max_callers_connections"}},
      {"entry", R"({"/entry/request_timeout_ms": 30001})", {"$.entry.request_timeout_ms"}},
      {"entry", R"({"/entry/request_timeout_ms": 30000})", {}},
      {"entry", R"({"/entry/retry_budget_percent": 101})", {"$.entry.retry_budget_percent"}},
      // Agent.
      {"agent", R"({"/agent/worker_id": null})", {"$.agent.worker_id"}},
      {"agent", R"({"/agent/rack": "r\n1"})", {"$.agent.rack"}},
      {"agent", R"({"/agent/internal_port": 8090})", {"$.agent.internal_port"}},
      {"agent", R"({"/agent/worker_url": "127.0.0.1:9100"})", {"$.agent.worker_url"}},
      {"agent", R"({"/agent/entries": []})", {"$.agent.entries"}},
      {"agent", R"({"/agent/entries": null})", {"$.agent.entries"}},
      {"agent", R"({"/agent/entries": "127.0.0.1:8082"})", {"$.agent.entries"}},
      {"agent", R"({"/agent/entries": ["127.0.0.1:8082", 7]})", {"$.agent.entries[1]"}},
      {"agent",
       R"({"/agent/entries": ["127.0.0.1", "127.0.0.1:0", "entry:8082", "::1:8082", "0.0.0.0:8082"]})",
       {"$.agent.entries", "$.agent.entries", "$.agent.entries", "$.agent.entries", "$.agent.entries"}},
      {"agent", R"({"/agent/entries": ["127.0.0.1:8082", "127.0.0.1:8082"]})", {"$.agent.entries"}},
      {"agent", R"({"/agent/entries": ["127.0.0.1:8091"]})", {"$.agent.entries"}},
      {"agent", R"({"/agent/entries": ["[::1]:8082"]})", {}},
      {"agent", R"({"/agent/reserve_cpu_millis": -1})", {"$.agent.reserve_cpu_millis"}},
      {"agent", R"({"/agent/reserve_memory_mb": 1e3})", {"$.agent.reserve_memory_mb"}},
      // Several errors in several sections at once.
      {"entry",
       R"({"/role": "entry", "/node_id": 7, "/regoin": "x", "/timing/start_freshness_ms": 400,
           "/timing/worker_silent_ms": 1000, "/timing/outage_grace_ms": 5000, "/entry/internal_port": 8080,
           "/entry/job_shares": 100, "/entry/log_url": null})",
       {"$.node_id", "$.regoin", "$.timing.start_freshness_ms", "$.timing.worker_silent_ms", "$.timing.outage_grace_ms",
        "$.entry.internal_port", "$.entry.job_shares", "$.entry.log_url"}},
      {"agent",
       R"({"/role": "worker", "/agent/entries": [], "/agent/worker_url": "x", "/agent/local_port": 8091,
           "/agent/cpu": 1})",
       {"$.role", "$.agent.entries", "$.agent.worker_url", "$.agent.internal_port", "$.agent.cpu"}},
  }));
  CAPTURE(test.document, test.changes);
  const std::vector<JsonError> errors = ErrorsOf(Changed(test).dump());
  for (const JsonError& error : errors) {
    UNSCOPED_INFO(error.path << ": " << error.message);
    CHECK_FALSE(error.message.empty());
  }
  CHECK(PathsOf(errors) == test.paths);
}

// Guards against a crash, and against a file that two readers understand differently.
TEST_CASE("text that is not one JSON object is refused", "[settings]") {
  const std::string text = GENERATE(values<std::string>({
      "",
      " ",
      "{",
      "null",
      "[]",
      "7",
      "\"entry\"",
      "{} {}",
      "{\"role\": \"entry\",}",
      "{'role': 'entry'}",
      "{\"role\": \"\xff\"}",
      std::string("{}\0", 3),
      std::string(100000, '['),
      EntryDocument().dump().insert(1, R"("role":"agent",)"),
  }));
  CAPTURE(text.substr(0, 100));
  const std::vector<JsonError> errors = ErrorsOf(text);
  REQUIRE_FALSE(errors.empty());
  CHECK(errors[0].path == "$");
}

/// A file that is removed at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile(const std::string& name, const std::string& content)
      : m_path(std::filesystem::temp_directory_path() / (name + "." + std::to_string(getpid()))) {
    std::ofstream(m_path, std::ios::binary) << content;
  }
  ~TemporaryFile() { std::filesystem::remove(m_path); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  std::string path() const { return m_path.string(); }

 private:
  std::filesystem::path m_path;
};

TEST_CASE("files that cannot be read are reported", "[settings]") {
  const TemporaryFile too_large("berylgauge-large", std::string((1 << 20) + 1, ' '));
  const std::string path = GENERATE_REF(values<std::string>({"/nonexistent/settings.json", "/", too_large.path()}));
  CAPTURE(path);
  CHECK(PathsOf(CheckSettings(path)) == std::multiset<std::string>{"$"});
  const Result<DaemonSettings> settings = LoadSettings(path);
  REQUIRE_FALSE(settings.has_value());
  CHECK(settings.error().code == FailureCode::kInvalidArgument);
  CHECK(settings.error().verdict == Verdict::kNotRun);
}

// Guards against a start with the usable part of settings that have errors.
TEST_CASE("loading fails with all errors in the message", "[settings]") {
  Json document = EntryDocument();
  document["entry"]["job_shares"] = 0;
  document["typo"] = 1;
  const TemporaryFile file("berylgauge-errors", document.dump());
  const Result<DaemonSettings> settings = LoadSettings(file.path());
  REQUIRE_FALSE(settings.has_value());
  CHECK(settings.error().field == "$.entry.job_shares");
  CHECK_THAT(settings.error().message, Catch::Contains("is 0, must be from 1 to 64") && Catch::Contains("$.typo"));
  CHECK(CheckSettings(file.path()).size() == 2);
}

std::filesystem::path SourceFolder() { return SOURCE_FOLDER; }

// Guards against examples that no longer match the reader.
TEST_CASE("examples are valid", "[settings]") {
  int count = 0;
  for (const auto& file : std::filesystem::directory_iterator(SourceFolder() / "examples")) {
    if (file.path().extension() != ".json") continue;
    CAPTURE(file.path());
    const Result<DaemonSettings> settings = LoadSettings(file.path());
    if (!settings) UNSCOPED_INFO(settings.error().message);
    CHECK(settings.has_value());
    ++count;
  }
  CHECK(count >= 4);
}

using KeyTable = std::map<std::string, std::pair<std::string, std::string>>;

/// Rows "| `key` | unit | default | allowed | ... |" of docs/settings.md.
KeyTable DocumentedKeys() {
  KeyTable keys;
  std::ifstream file(SourceFolder() / "docs/settings.md");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("| `")) continue;
    std::vector<std::string> cells;
    std::istringstream cell_stream(line);
    for (std::string cell; std::getline(cell_stream, cell, '|');) {
      const std::size_t start = cell.find_first_not_of(' ');
      cells.push_back(start == std::string::npos ? "" : cell.substr(start, cell.find_last_not_of(' ') - start + 1));
    }
    REQUIRE(cells.size() == 6);
    keys[cells[1].substr(1, cells[1].size() - 2)] = {cells[3], cells[4]};
  }
  return keys;
}

// Guards against keys, default values and ranges that only the page or only the reader has.
TEST_CASE("docs/settings.md and the reader have the same keys", "[settings]") {
  KeyTable known;
  for (const DaemonRole role : {DaemonRole::kEntry, DaemonRole::kAgent}) {
    for (const SettingsKey& key : SettingsKeys(role)) known[key.path] = {key.default_value, key.allowed};
  }
  CHECK(known.size() >= 30);
  CHECK(DocumentedKeys() == known);
}

// Guards against units that are missing from key names.
TEST_CASE("keys of milliseconds and megabytes carry their unit", "[settings]") {
  for (const SettingsKey& key : SettingsKeys(DaemonRole::kEntry)) {
    CAPTURE(key.path);
    const bool is_time = key.path.starts_with("timing.") || key.path.find("timeout") != std::string::npos;
    CHECK((!is_time || key.path.ends_with("_ms")));
  }
}

}  // namespace
}  // namespace berylgauge
