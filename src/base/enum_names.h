#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace berylgauge {

/// Table that maps the values of an enum class to the names used in files, messages and logs.
template <typename E, std::size_t N>
class EnumNames {
 public:
  using Entry = std::pair<E, std::string_view>;

  constexpr explicit EnumNames(const std::array<Entry, N>& entries) : m_entries(entries) {}

  /// Returns the name of `value`, or "unknown" for a value outside the table.
  constexpr std::string_view NameOf(E value) const {
    for (const Entry& entry : m_entries) {
      if (entry.first == value) return entry.second;
    }
    return "unknown";
  }

  /// Returns the value called `name`, or nothing if the table has no such name.
  constexpr std::optional<E> ValueOf(std::string_view name) const {
    for (const Entry& entry : m_entries) {
      if (entry.second == name) return entry.first;
    }
    return std::nullopt;
  }

  constexpr const std::array<Entry, N>& entries() const { return m_entries; }

 private:
  std::array<Entry, N> m_entries;
};

/// Builds an `EnumNames` table from pairs of value and name.
template <typename E, std::size_t N>
constexpr EnumNames<E, N> MakeEnumNames(const std::pair<E, std::string_view> (&entries)[N]) {
  std::array<std::pair<E, std::string_view>, N> copy{};
  for (std::size_t i = 0; i < N; ++i) copy[i] = entries[i];
  return EnumNames<E, N>(copy);
}

}  // namespace berylgauge
