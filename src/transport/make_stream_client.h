#pragma once

#include <memory>

#include "base/failure.h"
#include "transport/stream_client.h"
#include "transport/stream_client_options.h"

namespace berylgauge {

class EventLoop;

/// Makes a client whose callbacks run on `loop`, which must outlive it. Fails only for options out of range.
///
/// A request waits while the first attempt to connect is in progress, or for a free stream. After a failed attempt the
/// waiting requests and all new ones fail at once with `kNotRun` and `kUnavailable`, so that the caller may choose
/// another peer, until an attempt in the background succeeds.
///
/// The destructor completes each pending callback before it returns. It may run on any thread, also in a callback, but
/// on no thread that the loop's thread waits for. `Call` must not be used on the loop's thread.
Result<std::unique_ptr<StreamClient>> MakeStreamClient(EventLoop& loop, StreamClientOptions options);

}  // namespace berylgauge
