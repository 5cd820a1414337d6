#pragma once

#include <memory>

#include "base/failure.h"
#include "transport/stream_server.h"
#include "transport/stream_server_options.h"

namespace berylgauge {

/// Makes a server that is started once. Fails only for options out of range.
///
/// Only POST is accepted; other methods are answered with status 405. A request that exceeds a limit or arrives too
/// slowly never reaches the handler and is refused with REFUSED_STREAM, which clients report as `kNotRun`. A
/// responder that is destroyed without a call resets the stream. An answer that cannot be sent (headers not allowed, a
/// content-length other than its size, too large) resets it too.
///
/// `Stop` returns after at most about a second: it lets the peers read what was written. `Stop` and the destructor must
/// not run on a thread of the server's loops.
Result<std::unique_ptr<StreamServer>> MakeStreamServer(StreamServerOptions options);

}  // namespace berylgauge
