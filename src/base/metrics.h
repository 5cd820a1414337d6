#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace berylgauge {

/// A number that only grows.
class Counter {
 public:
  void Add(std::uint64_t n = 1) { m_value.fetch_add(n, std::memory_order_relaxed); }
  std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

/// A number that is set.
class Gauge {
 public:
  void Set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t n) { m_value.fetch_add(n, std::memory_order_relaxed); }
  std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> m_value{0};
};

/// Named counters and gauges of a process, rendered in the text exposition format.
///
/// Names and labels are registered once; the returned references stay valid as long as the registry.
class MetricsRegistry {
 public:
  /// `labels` is empty or of the form `key="value",key="value"`.
  Counter& GetCounter(std::string_view name, std::string_view help, std::string_view labels = {});
  Gauge& GetGauge(std::string_view name, std::string_view help, std::string_view labels = {});

  /// Text exposition format, version 0.0.4.
  std::string Render() const;

 private:
  struct Family {
    std::string help;
    std::map<std::string, std::unique_ptr<Counter>> counters;
    std::map<std::string, std::unique_ptr<Gauge>> gauges;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Family, std::less<>> m_families;
};

}  // namespace berylgauge
