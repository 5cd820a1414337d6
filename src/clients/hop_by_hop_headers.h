#pragma once

#include "clients/header_list.h"

namespace berylgauge {

/// Returns the headers that a proxy passes on: without those that apply to one connection only (RFC 9110, 7.6.1) and
/// without those that a `connection` header names.
HeaderList WithoutHopByHopHeaders(const HeaderList& headers);

}  // namespace berylgauge
