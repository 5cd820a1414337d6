#include "daemon/common/random_incarnation.h"

#include <random>

namespace berylgauge {

Incarnation RandomIncarnation() {
  std::random_device device;
  for (;;) {
    const Incarnation high = device();
    const Incarnation incarnation = high << 32U | device();
    if (incarnation != 0) return incarnation;
  }
}

}  // namespace berylgauge
