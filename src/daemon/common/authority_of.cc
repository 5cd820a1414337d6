#include "daemon/common/authority_of.h"

#include <string_view>

namespace berylgauge {

std::string AuthorityOf(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  std::string_view rest = url;
  if (rest.starts_with(kScheme)) rest.remove_prefix(kScheme.size());
  while (rest.ends_with('/')) rest.remove_suffix(1);
  return std::string(rest);
}

}  // namespace berylgauge
