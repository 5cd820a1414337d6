#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "base/resources.h"

namespace berylgauge {

/// Positions with free amounts, searched for those with room for a need.
///
/// A segment tree whose inner nodes hold the largest free amount below them in each dimension, so that a search skips
/// whole ranges without room. Setting a position and a typical search take O(log n).
class FitTree {
 public:
  /// Sets the free amounts of a position; the tree grows as needed.
  void Set(std::size_t position, const Resources& free);

  /// Makes a position unsuitable for every need.
  void Clear(std::size_t position);

  /// False if no position has room for `need`; true if one may have it.
  bool MayFit(const Resources& need) const { return !m_nodes.empty() && need.FitsIn(m_nodes[1]); }

  std::size_t size() const { return m_leaves; }

  /// Returns the first position from `start` on, cyclically, that has room for `need` and that `accept` takes.
  template <typename Accept>
  std::optional<std::size_t> FindFrom(std::size_t start, const Resources& need, const Accept& accept) const {
    if (!MayFit(need)) return std::nullopt;
    if (const auto found = Find(1, 0, m_leaves, start, m_leaves, need, accept)) return found;
    return Find(1, 0, m_leaves, 0, start, need, accept);
  }

 private:
  template <typename Accept>
  std::optional<std::size_t> Find(std::size_t node, std::size_t low, std::size_t high, std::size_t from, std::size_t to,
                                  const Resources& need, const Accept& accept) const {
    if (high <= from || low >= to || !need.FitsIn(m_nodes[node])) return std::nullopt;
    if (high - low == 1) return accept(low) ? std::optional<std::size_t>(low) : std::nullopt;
    const std::size_t middle = low + (high - low) / 2;
    if (const auto found = Find(2 * node, low, middle, from, to, need, accept)) return found;
    return Find(2 * node + 1, middle, high, from, to, need, accept);
  }

  void Grow(std::size_t leaves);

  std::size_t m_leaves = 0;        ///< power of two, or 0
  std::vector<Resources> m_nodes;  ///< node n has the children 2n and 2n+1; the root is 1
};

}  // namespace berylgauge
