#include <absl/strings/numbers.h>
#include <docopt/docopt.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "base/stable_hash.h"
#include "clients/http_client.h"
#include "clients/http_log_client.h"
#include "state/batch.h"
#include "state/jobs_records.h"

namespace {

constexpr const char* kUsage =
    R"(Appends the submission of jobs of one task to the streams of 8 shares, as entries would.

Usage:
  fill_log --log=ADDRESS --jobs=N

Options:
  --log=ADDRESS  IP:PORT of the log.
  --jobs=N       Number of jobs, 1 to 100000.
)";

constexpr std::size_t kShares = 8;
constexpr std::size_t kRecordsOfABatch = 10;  ///< submissions that an entry collects while an append is under way
constexpr int kMaxJobs = 100'000;

}  // namespace

int main(int argc, char** argv) {
  using namespace berylgauge;  // NOLINT(google-build-using-namespace): main cannot be inside the namespace
  const std::map<std::string, docopt::value> arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  int jobs = 0;
  if (!absl::SimpleAtoi(arguments.at("--jobs").asString(), &jobs) || jobs < 1 || jobs > kMaxJobs) {
    std::fprintf(stderr, "--jobs must be 1 to %d\n", kMaxJobs);
    return 2;
  }
  HttpClient http;
  HttpLogClient log(http, arguments.at("--log").asString());
  std::vector<Batch> batches(kShares, Batch{.writer = "fill-log", .incarnation = 1});
  const auto append = [&](std::size_t share) {
    Batch& batch = batches[share];
    if (batch.records.empty()) return true;
    ++batch.sequence;
    const Result<Offset> offset = log.Append("jobs-" + std::to_string(share), EncodeBatch(batch), absl::Seconds(5));
    batch.records.clear();
    if (!offset) std::fprintf(stderr, "append failed: %s\n", offset.error().message.c_str());
    return offset.has_value();
  };
  for (int i = 0; i < jobs; ++i) {
    const JobId id("filled-job-" + std::to_string(i));
    JobSubmitted record{.job = id, .submitted_unix_ms = 1};
    record.spec.name = "stock-reconciliation";
    record.spec.team = TeamId("stock");
    record.spec.task_count = 1;
    record.spec.importance = 5;
    record.spec.resources = {.cpu_millis = 300, .memory_mb = 1'000, .accelerators = 0, .slots = 1};
    record.spec.job_class = "batch";
    record.spec.command = "{}";
    const std::size_t share = StableHash64(id.value()) % kShares;
    batches[share].records.push_back(EncodeJobsRecord(record));
    if (batches[share].records.size() >= kRecordsOfABatch && !append(share)) return 1;
  }
  for (std::size_t share = 0; share < kShares; ++share) {
    if (!append(share)) return 1;
  }
  return 0;
}
