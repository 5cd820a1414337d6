#include "control/forwarded_call.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "base/cbor_document.h"

namespace berylgauge::control {
using nlohmann::json;

std::string EncodeForwardedCall(const ForwardedCall& call) {
  return ToCbor(json::array({call.method, call.path, call.host, call.deadline_ms, call.body}));
}

Result<ForwardedCall> DecodeForwardedCall(std::string_view bytes) {
  return ReadCbor<ForwardedCall>(bytes, "forwarded call", [](const json& document) {
    return ForwardedCall{.method = document.at(0),
                         .path = document.at(1),
                         .host = document.at(2),
                         .deadline_ms = document.at(3),
                         .body = document.at(4)};
  });
}

std::string EncodeForwardedAnswer(const ForwardedAnswer& answer) {
  json headers = json::array();
  for (const auto& [name, value] : answer.headers) headers.push_back(json::array({name, value}));
  return ToCbor(json::array({answer.status, std::move(headers), answer.body, answer.configuration}));
}

Result<ForwardedAnswer> DecodeForwardedAnswer(std::string_view bytes) {
  return ReadCbor<ForwardedAnswer>(bytes, "forwarded answer", [](const json& document) {
    ForwardedAnswer answer{
        .status = document.at(0).get<int>(), .headers = {}, .body = document.at(2), .configuration = document.at(3)};
    for (const json& header : document.at(1)) answer.headers.emplace_back(header.at(0), header.at(1));
    return answer;
  });
}

}  // namespace berylgauge::control
