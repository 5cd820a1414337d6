#include "process/address_range.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <filesystem>
#include <stdexcept>
#include <string>

namespace berylgauge {
namespace {

constexpr int kRanges = 200;
constexpr int kFirst = 20;

}  // namespace

AddressRange::AddressRange() {
  for (int i = 0; i < kRanges; ++i) {
    const int number = kFirst + (static_cast<int>(getpid()) + i) % kRanges;
    const std::filesystem::path file =
        std::filesystem::temp_directory_path() / ("berylgauge-addresses-" + std::to_string(number));
    m_lock = UniqueFd(open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666));
    if (!m_lock.valid() || flock(m_lock.get(), LOCK_EX | LOCK_NB) != 0) continue;
    m_number = number;
    return;
  }
  throw std::runtime_error("no range of loopback addresses is free");
}

}  // namespace berylgauge
