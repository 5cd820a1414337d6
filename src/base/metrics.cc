#include "base/metrics.h"

namespace berylgauge {
namespace {

std::string SampleName(const std::string& name, const std::string& labels) {
  return labels.empty() ? name : name + "{" + labels + "}";
}

}  // namespace

Counter& MetricsRegistry::GetCounter(std::string_view name, std::string_view help, std::string_view labels) {
  const std::lock_guard lock(m_mutex);
  Family& family = m_families[std::string(name)];
  family.help = help;
  std::unique_ptr<Counter>& counter = family.counters[std::string(labels)];
  if (!counter) counter = std::make_unique<Counter>();
  return *counter;
}

Gauge& MetricsRegistry::GetGauge(std::string_view name, std::string_view help, std::string_view labels) {
  const std::lock_guard lock(m_mutex);
  Family& family = m_families[std::string(name)];
  family.help = help;
  std::unique_ptr<Gauge>& gauge = family.gauges[std::string(labels)];
  if (!gauge) gauge = std::make_unique<Gauge>();
  return *gauge;
}

std::string MetricsRegistry::Render() const {
  const std::lock_guard lock(m_mutex);
  std::string out;
  for (const auto& [name, family] : m_families) {
    out += "# HELP " + name + " " + family.help + "\n";
    out += "# TYPE " + name + (family.counters.empty() ? " gauge\n" : " counter\n");
    for (const auto& [labels, counter] : family.counters) {
      out += SampleName(name, labels) + " " + std::to_string(counter->value()) + "\n";
    }
    for (const auto& [labels, gauge] : family.gauges) {
      out += SampleName(name, labels) + " " + std::to_string(gauge->value()) + "\n";
    }
  }
  return out;
}

}  // namespace berylgauge
