#pragma once

#include <string>

#include "base/failure.h"
#include "schedule/attempt_answer.h"
#include "schedule/start_command.h"

namespace berylgauge {

inline constexpr const char* kStartPath = "/internal/start";
inline constexpr const char* kWithdrawPath = "/internal/withdraw";
inline constexpr const char* kStopPath = "/internal/stop";
inline constexpr const char* kTermsPath = "/internal/terms";

/// What an owner asks of a running attempt.
struct StopMessage {
  EndCommand end;
  bool with_checkpoint = true;
};

/// Terms of an attempt that an agent has taken over from its worker.
struct TermsMessage {
  AttemptKey key;
  AttemptTerms terms;
};

/// CBOR codecs; decoding is strict and fails with `FailureCode::kInvalidArgument`.
std::string EncodeStartCommand(const StartCommand& command);
Result<StartCommand> DecodeStartCommand(const std::string& bytes);
std::string EncodeStopMessage(const StopMessage& message);
Result<StopMessage> DecodeStopMessage(const std::string& bytes);
std::string EncodeTermsMessage(const TermsMessage& message);
Result<TermsMessage> DecodeTermsMessage(const std::string& bytes);
std::string EncodeAttemptAnswer(const AttemptAnswer& answer);
Result<AttemptAnswer> DecodeAttemptAnswer(const std::string& bytes);

}  // namespace berylgauge
