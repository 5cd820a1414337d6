#include "base/cbor_document.h"

#include <cstdint>
#include <string>

namespace berylgauge {
namespace {

/// Accepts the shape of a document without building it.
class ShapeCheck final : public nlohmann::json_sax<nlohmann::json> {
 public:
  explicit ShapeCheck(std::size_t max_elements) : m_max_elements(max_elements) {}

  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t elements) override { return Enter(elements); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t elements) override { return Enter(elements); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override { return false; }

 private:
  bool Enter(std::size_t elements) {
    const bool is_indefinite = elements == SIZE_MAX;
    return ++m_depth <= kMaxCborDepth && (is_indefinite || elements <= m_max_elements);
  }

  bool Leave() {
    --m_depth;
    return true;
  }

  std::size_t m_max_elements;
  int m_depth = 0;
};

}  // namespace

std::string ToCbor(const nlohmann::json& document) {
  std::string bytes;
  nlohmann::json::to_cbor(document, bytes);
  return bytes;
}

Result<nlohmann::json> ParseCborDocument(std::string_view bytes, std::size_t max_bytes) {
  if (bytes.size() > max_bytes) {
    return NotRun(FailureCode::kInvalidArgument,
                  "message has " + std::to_string(bytes.size()) + " bytes, at most " + std::to_string(max_bytes), "$");
  }
  ShapeCheck check(bytes.size());
  if (!nlohmann::json::sax_parse(bytes, &check, nlohmann::json::input_format_t::cbor)) {
    return NotRun(FailureCode::kInvalidArgument, "message is not valid CBOR", "$");
  }
  nlohmann::json document = nlohmann::json::from_cbor(bytes, true, false);
  if (document.is_discarded()) return NotRun(FailureCode::kInvalidArgument, "message is not valid CBOR", "$");
  return document;
}

}  // namespace berylgauge
