#include "schedule/fit_tree.h"

#include <algorithm>

namespace berylgauge {
namespace {

/// No need, not even an empty one, fits into negative amounts.
constexpr Resources kUnsuitable{.cpu_millis = -1, .memory_mb = -1, .accelerators = -1, .slots = -1};

Resources LargerOf(const Resources& a, const Resources& b) {
  return {.cpu_millis = std::max(a.cpu_millis, b.cpu_millis),
          .memory_mb = std::max(a.memory_mb, b.memory_mb),
          .accelerators = std::max(a.accelerators, b.accelerators),
          .slots = std::max(a.slots, b.slots)};
}

}  // namespace

void FitTree::Set(std::size_t position, const Resources& free) {
  if (position >= m_leaves) Grow(position + 1);
  std::size_t node = m_leaves + position;
  m_nodes[node] = free;
  for (node /= 2; node > 0; node /= 2) {
    const Resources larger = LargerOf(m_nodes[2 * node], m_nodes[2 * node + 1]);
    if (larger == m_nodes[node]) return;
    m_nodes[node] = larger;
  }
}

void FitTree::Clear(std::size_t position) {
  if (position < m_leaves) Set(position, kUnsuitable);
}

void FitTree::Grow(std::size_t leaves) {
  std::size_t size = std::max<std::size_t>(m_leaves, 1);
  while (size < leaves) size *= 2;
  std::vector<Resources> nodes(2 * size, kUnsuitable);
  std::copy(m_nodes.begin() + static_cast<std::ptrdiff_t>(m_leaves), m_nodes.end(),
            nodes.begin() + static_cast<std::ptrdiff_t>(size));
  for (std::size_t node = size - 1; node > 0; --node) nodes[node] = LargerOf(nodes[2 * node], nodes[2 * node + 1]);
  m_leaves = size;
  m_nodes = std::move(nodes);
}

}  // namespace berylgauge
