#include "base/cbor_document.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>

namespace berylgauge {
namespace {

enum class MajorType : unsigned char { kUnsigned, kNegative, kBytes, kText, kList, kObject, kTag, kSimple };

constexpr unsigned char kBreak = 0xff;
constexpr int kTypeShift = 5;
constexpr unsigned char kInfoMask = 0x1f;
/// Values of the low bits of a first byte: up to the first, they are the argument; from it on, 1, 2, 4 or 8 bytes of
/// the argument follow.
constexpr unsigned char kOneByteFollows = 24;
constexpr unsigned char kEightBytesFollow = 27;
constexpr unsigned char kIndefinite = 31;

/// Follows the shape of one CBOR item without building it and without recursion.
class ShapeCheck {
 public:
  explicit ShapeCheck(std::string_view bytes) : m_rest(bytes) {}

  /// Whether the lists and objects are at most `kMaxCborDepth` deep and all lengths are within the bytes.
  bool Accepts() {
    do {
      if (!TakeItem()) return false;
    } while (m_depth > 0);
    return true;
  }

 private:
  struct Head {
    MajorType type = MajorType::kUnsigned;
    std::uint64_t argument = 0;
    bool is_indefinite = false;
  };

  std::optional<Head> TakeHead() {
    if (m_rest.empty()) return std::nullopt;
    const auto first = static_cast<unsigned char>(m_rest.front());
    m_rest.remove_prefix(1);
    const auto info = static_cast<unsigned char>(first & kInfoMask);
    Head head{.type = static_cast<MajorType>(first >> kTypeShift), .argument = info};
    if (info < kOneByteFollows) return head;
    if (info == kIndefinite) {
      head.is_indefinite = true;
      return head;
    }
    if (info > kEightBytesFollow) return std::nullopt;
    const std::size_t size = std::size_t{1} << (info - kOneByteFollows);
    if (m_rest.size() < size) return std::nullopt;
    head.argument = 0;
    for (const char c : m_rest.substr(0, size)) head.argument = (head.argument << 8) | static_cast<unsigned char>(c);
    m_rest.remove_prefix(size);
    return head;
  }

  bool TakeItem() {
    const std::optional<Head> head = TakeHead();
    if (!head) return false;
    switch (head->type) {
      case MajorType::kUnsigned:
      case MajorType::kNegative:
        return !head->is_indefinite && EndItem();
      case MajorType::kBytes:
      case MajorType::kText:
        return (head->is_indefinite ? SkipChunks(head->type) : Skip(head->argument)) && EndItem();
      case MajorType::kList:
      case MajorType::kObject:
        return Enter(*head);
      case MajorType::kTag:
        return false;
      case MajorType::kSimple:
        return head->is_indefinite ? LeaveIndefinite() : EndItem();
    }
    return false;
  }

  bool Skip(std::uint64_t size) {
    if (size > m_rest.size()) return false;
    m_rest.remove_prefix(size);
    return true;
  }

  /// The parts of a string of unknown length have known lengths.
  bool SkipChunks(MajorType type) {
    while (!m_rest.empty() && static_cast<unsigned char>(m_rest.front()) != kBreak) {
      const std::optional<Head> head = TakeHead();
      if (!head || head->type != type || head->is_indefinite || !Skip(head->argument)) return false;
    }
    return Skip(1);
  }

  bool Enter(const Head& head) {
    if (m_depth == kMaxCborDepth) return false;
    // Each element has a byte at least, so that the doubled number of an object's entries cannot overflow.
    if (!head.is_indefinite && head.argument > m_rest.size()) return false;
    const std::uint64_t items = head.type == MajorType::kObject ? 2 * head.argument : head.argument;
    if (!head.is_indefinite && items == 0) return EndItem();
    m_items_left[m_depth++] = head.is_indefinite ? kUntilBreak : items;
    return true;
  }

  bool LeaveIndefinite() {
    if (m_depth == 0 || m_items_left[m_depth - 1] != kUntilBreak) return false;
    --m_depth;
    return EndItem();
  }

  /// Leaves the lists and objects of which the item was the last one.
  bool EndItem() {
    while (m_depth > 0 && m_items_left[m_depth - 1] != kUntilBreak && --m_items_left[m_depth - 1] == 0) --m_depth;
    return true;
  }

  static constexpr std::uint64_t kUntilBreak = UINT64_MAX;

  std::string_view m_rest;
  std::array<std::uint64_t, kMaxCborDepth> m_items_left{};
  std::size_t m_depth = 0;
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
  if (!ShapeCheck(bytes).Accepts()) {
    return NotRun(FailureCode::kInvalidArgument, "message is not valid CBOR", "$");
  }
  nlohmann::json document = nlohmann::json::from_cbor(bytes, true, false);
  if (document.is_discarded()) return NotRun(FailureCode::kInvalidArgument, "message is not valid CBOR", "$");
  return document;
}

}  // namespace berylgauge
