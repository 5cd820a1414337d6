#pragma once

#include <string>
#include <string_view>

namespace berylgauge::workflow {

/// Key of the record with which an owner claims the progress partition and shows that it is alive. Job ids are
/// hexadecimal, so no job has this key.
inline constexpr std::string_view kOwnerKey = "owner";

/// Key that never has a value: removing it shows whether the store takes appends.
inline constexpr std::string_view kProbeKey = "probe";

/// Ends the key of a job's cancellation, after its id.
inline constexpr char kCancellationMark = '!';

inline std::string CancellationKey(std::string_view job) { return std::string(job) + kCancellationMark; }

/// Value of a cancellation; an empty value would remove the key.
inline constexpr std::string_view kCancellationValue = "1";

}  // namespace berylgauge::workflow
