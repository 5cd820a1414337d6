#include <docopt/docopt.h>

#include <cstdio>
#include <map>
#include <string>

#include "clients/http_client.h"
#include "clients/http_log_client.h"
#include "state/batch.h"

namespace {

constexpr const char* kUsage =
    R"(Counts what the streams of a log hold: one line with appends, records and bytes of payload for each group.

Usage:
  count_log --log=ADDRESS

Options:
  --log=ADDRESS  IP:PORT of the log.
)";

constexpr int kShares = 8;
constexpr int kRecordsOfARead = 1'000;
constexpr absl::Duration kTimeout = absl::Seconds(5);

struct Counts {
  long long appends = 0;
  long long records = 0;
  long long bytes = 0;
};

/// Adds what `stream` holds to `counts`; false if it could not be read.
bool Count(berylgauge::LogClient& log, const std::string& stream, Counts& counts) {
  const auto bounds = log.Bounds(stream, kTimeout);
  if (!bounds) return false;
  for (berylgauge::Offset from = bounds->first_offset; from < bounds->next_offset;) {
    const auto page = log.Read(stream, from, kRecordsOfARead, absl::ZeroDuration(), kTimeout);
    if (!page || page->records.empty()) return false;
    for (const berylgauge::LogRecord& record : page->records) {
      const auto batch = berylgauge::DecodeBatch(record.payload);
      // Parts of snapshots are no batches.
      counts.records += batch ? static_cast<long long>(batch->records.size()) : 1;
      counts.bytes += static_cast<long long>(record.payload.size());
      ++counts.appends;
    }
    from = page->records.back().offset + 1;
  }
  return true;
}

}  // namespace

int main(int argc, char** argv) {
  const std::map<std::string, docopt::value> arguments = docopt::docopt(kUsage, {argv + 1, argv + argc});
  berylgauge::HttpClient http;
  berylgauge::HttpLogClient log(http, arguments.at("--log").asString());
  Counts config;
  Counts members;
  Counts jobs;
  Counts snapshots;
  bool complete = Count(log, "config", config) && Count(log, "members", members);
  complete = Count(log, "snapshot-config", snapshots) && complete;
  for (int share = 0; share < kShares; ++share) {
    const std::string stream = "jobs-" + std::to_string(share);
    complete = Count(log, stream, jobs) && Count(log, "snapshot-" + stream, snapshots) && complete;
  }
  const auto print = [](const char* name, const Counts& counts) {
    std::printf("%s_appends=%lld\n%s_records=%lld\n%s_bytes=%lld\n", name, counts.appends, name, counts.records, name,
                counts.bytes);
  };
  print("config", config);
  print("members", members);
  print("jobs", jobs);
  print("snapshots", snapshots);
  if (!complete) std::fprintf(stderr, "some streams could not be read\n");
  return complete ? 0 : 1;
}
