#include "control/forwarded_call.h"

#include <nlohmann/json.hpp>

namespace berylgauge::control {
namespace {

using nlohmann::json;

std::string ToBytes(const json& document) {
  std::string bytes;
  json::to_cbor(document, bytes);
  return bytes;
}

}  // namespace

std::string EncodeForwardedCall(const ForwardedCall& call) {
  return ToBytes(json::array({call.method, call.path, call.host, call.deadline_ms, call.body}));
}

Result<ForwardedCall> DecodeForwardedCall(std::string_view bytes) {
  try {
    const json document = json::from_cbor(bytes);
    return ForwardedCall{.method = document.at(0),
                         .path = document.at(1),
                         .host = document.at(2),
                         .deadline_ms = document.at(3),
                         .body = document.at(4)};
  } catch (const json::exception& error) {
    return NotRun(FailureCode::kCorrupt, std::string("forwarded call: ") + error.what());
  }
}

std::string EncodeForwardedAnswer(const ForwardedAnswer& answer) {
  json headers = json::array();
  for (const auto& [name, value] : answer.headers) headers.push_back(json::array({name, value}));
  return ToBytes(json::array({answer.status, std::move(headers), answer.body}));
}

Result<ForwardedAnswer> DecodeForwardedAnswer(std::string_view bytes) {
  try {
    const json document = json::from_cbor(bytes);
    ForwardedAnswer answer{.status = document.at(0).get<int>(), .headers = {}, .body = document.at(2)};
    for (const json& header : document.at(1)) answer.headers.emplace_back(header.at(0), header.at(1));
    return answer;
  } catch (const json::exception& error) {
    return NotRun(FailureCode::kCorrupt, std::string("forwarded answer: ") + error.what());
  }
}

}  // namespace berylgauge::control
