#pragma once

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace berylgauge {

/// A name that cannot be mixed up with names of another kind.
template <typename Tag>
class StrongId {
 public:
  StrongId() = default;
  explicit StrongId(std::string value) : m_value(std::move(value)) {}

  const std::string& value() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend bool operator==(const StrongId& a, const StrongId& b) { return a.m_value == b.m_value; }
  friend bool operator!=(const StrongId& a, const StrongId& b) { return a.m_value != b.m_value; }
  friend bool operator<(const StrongId& a, const StrongId& b) { return a.m_value < b.m_value; }
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.m_value; }

  template <typename H>
  friend H AbslHashValue(H h, const StrongId& id) {
    return H::combine(std::move(h), id.m_value);
  }

 private:
  std::string m_value;
};

}  // namespace berylgauge

template <typename Tag>
struct std::hash<berylgauge::StrongId<Tag>> {
  std::size_t operator()(const berylgauge::StrongId<Tag>& id) const { return std::hash<std::string>()(id.value()); }
};
