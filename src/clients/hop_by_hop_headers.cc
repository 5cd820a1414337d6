#include "clients/hop_by_hop_headers.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>

#include <set>
#include <string>

namespace berylgauge {

HeaderList WithoutHopByHopHeaders(const HeaderList& headers) {
  std::set<std::string> removed = {"connection",
                                   "keep-alive",
                                   "proxy-authenticate",
                                   "proxy-authorization",
                                   "te",
                                   "proxy-connection",
                                   "trailer",
                                   "transfer-encoding",
                                   "upgrade"};
  for (const auto& [name, value] : headers) {
    if (name != "connection") continue;
    for (const auto option : absl::StrSplit(value, ',')) {
      removed.insert(absl::AsciiStrToLower(absl::StripAsciiWhitespace(option)));
    }
  }
  HeaderList kept;
  kept.reserve(headers.size());
  for (const auto& header : headers) {
    if (!removed.contains(header.first)) kept.push_back(header);
  }
  return kept;
}

}  // namespace berylgauge
