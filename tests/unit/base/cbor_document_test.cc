#include "base/cbor_document.h"

#include <catch2/catch.hpp>
#include <string>

namespace berylgauge {
namespace {

/// As many as fit into a record of the store.
constexpr int kManyLevels = 250'000;

std::string Repeat(const std::string& bytes, int times) {
  std::string out;
  for (int i = 0; i < times; ++i) out += bytes;
  return out;
}

struct DocumentRow {
  const char* name;
  std::string bytes;
  bool valid;
};

// Guards against a process that ends, or reserves all memory, because of one record that another writer left.
TEST_CASE("CBOR of any shape is read or refused", "[cbor]") {
  const std::string deepest = Repeat("\x81", kMaxCborDepth - 1) + "\x80";
  const DocumentRow row = GENERATE_COPY(
      DocumentRow{"deepest list allowed", deepest, true}, DocumentRow{"one level more", "\x81" + deepest, false},
      DocumentRow{"nested lists", Repeat("\x81", kManyLevels), false},
      DocumentRow{"nested lists, closed", Repeat("\x81", kManyLevels) + "\x80", false},
      DocumentRow{"nested lists of unknown length", Repeat("\x9f", kManyLevels), false},
      DocumentRow{"nested objects", Repeat("\xa1\x61\x61", kManyLevels), false},
      DocumentRow{"nested objects of unknown length", Repeat("\xbf\x61\x61", kManyLevels), false},
      DocumentRow{"nested texts of unknown length", Repeat("\x7f", kManyLevels), false},
      DocumentRow{"nested bytes of unknown length", Repeat("\x5f", kManyLevels), false},
      DocumentRow{"nested texts as a key", "\xa1" + Repeat("\x7f", kManyLevels), false},
      DocumentRow{"nested tags", Repeat("\xc1", kManyLevels), false},
      DocumentRow{"text in parts", "\x7f\x61\x61\x61\x62\xff", true},
      DocumentRow{"list of unknown length", std::string("\x9f\x01\xff"), true},
      DocumentRow{"list without its end", "\x9f\x01", false}, DocumentRow{"end without a list", "\xff", false},
      DocumentRow{"length beyond 64 bits of memory", "\x9b" + Repeat("\xff", 8), false},
      DocumentRow{"object too long", "\xbb" + Repeat("\x7f", 8), false},
      DocumentRow{"text too long", "\x7b" + Repeat("\xff", 8), false},
      DocumentRow{"bytes too long", "\x5b" + Repeat("\x7f", 8), false},
      DocumentRow{"number without its bytes", "\x1b\x01", false},
      DocumentRow{"number instead of a key", "\xa1\x01\x01", false},
      DocumentRow{"key twice", "\xa2\x61\x61\x01\x61\x61\x02", true},
      DocumentRow{"more than one document", "\x01\x01", false}, DocumentRow{"empty", "", false},
      DocumentRow{"float", std::string("\xfb\x7f\xf0\0\0\0\0\0\0", 9), true},
      DocumentRow{"not UTF-8", "\x62\xff\xfe", true});
  INFO(row.name);
  CHECK(ParseCborDocument(row.bytes, row.bytes.size()).has_value() == row.valid);
}

}  // namespace
}  // namespace berylgauge
