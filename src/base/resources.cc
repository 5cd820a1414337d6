#include "base/resources.h"

namespace berylgauge {

Resources& Resources::operator+=(const Resources& other) {
  cpu_millis += other.cpu_millis;
  memory_mb += other.memory_mb;
  accelerators += other.accelerators;
  slots += other.slots;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millis -= other.cpu_millis;
  memory_mb -= other.memory_mb;
  accelerators -= other.accelerators;
  slots -= other.slots;
  return *this;
}

bool Resources::FitsIn(const Resources& capacity) const {
  return cpu_millis <= capacity.cpu_millis && memory_mb <= capacity.memory_mb &&
         accelerators <= capacity.accelerators && slots <= capacity.slots;
}

}  // namespace berylgauge
