#pragma once

#include <cstdint>
#include <string>

namespace berylgauge {

class JsonObjectReader;

/// Reads an unsigned 64-bit number that is written as a decimal string, because JSON integers are read as signed ones.
///
/// Anything but digits, or a number that does not fit, is reported as an error and read as 0.
std::uint64_t ReadDecimalText(JsonObjectReader& reader, const std::string& key);

}  // namespace berylgauge
