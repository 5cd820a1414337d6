#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/json_object_reader.h"
#include "settings/ip_port.h"
#include "settings/settings_key.h"

namespace berylgauge {

/// Reads one object of the settings and records each key with its default and its allowed values.
///
/// The recorded keys are compared with docs/settings.md by a test, so that neither can be changed alone.
class SettingsSection {
 public:
  /// `errors` are those of the reader; `keys` may be null. Both must outlive the section.
  SettingsSection(JsonObjectReader reader, std::string prefix, const JsonErrors& errors,
                  std::vector<SettingsKey>* keys);

  std::int64_t Integer(const std::string& key, const IntegerRule& rule);
  /// An integer number of milliseconds; the key ends in `_ms`.
  absl::Duration Milliseconds(const std::string& key, const IntegerRule& rule);
  /// Letters, digits, '.', '_' and '-', as names are used in log lines, labels and paths.
  std::string Name(const std::string& key);
  /// The path of a file, from the root.
  std::string AbsolutePath(const std::string& key);
  /// http://IP[:PORT][/PATH]
  std::string HttpUrl(const std::string& key);
  /// Reads `NAME_address` and `NAME_port`.
  IpPort Listener(const std::string& name, bool wildcard_allowed);
  /// A list of "IP:PORT" without repetitions.
  std::vector<IpPort> IpPorts(const std::string& key, std::size_t max_count);

  template <typename E, std::size_t N>
  E Enum(const std::string& key, const EnumNames<E, N>& names, std::optional<E> default_value = std::nullopt) {
    std::string allowed;
    for (const auto& entry : names.entries()) allowed += (allowed.empty() ? "" : ", ") + std::string(entry.second);
    Record(key, default_value ? std::string(names.NameOf(*default_value)) : "required", allowed);
    return m_reader.Enum(key, names, default_value);
  }

  SettingsSection Section(const std::string& key, bool required);

  /// Keeps `Finish` from reporting a key that is present.
  void Ignore(const std::string& key) { m_reader.Object(key, false); }

  bool Has(const std::string& key) const { return m_reader.Has(key); }
  void AddError(const std::string& key, std::string message) { m_reader.AddError(key, std::move(message)); }
  /// Number of errors found so far in the whole document.
  std::size_t ErrorCount() const { return m_errors.errors().size(); }

  void Finish() { m_reader.Finish(); }

 private:
  using TextCheck = std::function<bool(const std::string&)>;

  std::string CheckedText(const std::string& key, std::size_t max_length, const std::string& allowed,
                          const TextCheck& is_valid);
  void Record(const std::string& key, std::string default_value, std::string allowed);

  JsonObjectReader m_reader;
  std::string m_prefix;
  const JsonErrors& m_errors;
  std::vector<SettingsKey>* m_keys;
};

}  // namespace berylgauge
