#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enum_names.h"
#include "base/json_errors.h"

namespace berylgauge {

/// Allowed values of a string; without a default value the key is required.
struct StringRule {
  std::optional<std::string> default_value = std::nullopt;
  std::size_t min_length = 1;
  std::size_t max_length = 256;
};

/// Allowed values of an integer; without a default value the key is required.
struct IntegerRule {
  std::optional<std::int64_t> default_value = std::nullopt;
  std::int64_t min = 0;
  std::int64_t max = std::numeric_limits<std::int64_t>::max();
};

/// Reads one JSON object strictly: unknown keys, wrong types and values out of range are added to `JsonErrors`.
///
/// Reading goes on after an error and returns the default value or an empty one, so that all errors are found.
/// The object and the error list must outlive the reader.
class JsonObjectReader {
 public:
  JsonObjectReader(const nlohmann::json& value, std::string path, JsonErrors& errors);

  std::string String(const std::string& key, const StringRule& rule = {});
  std::int64_t Integer(const std::string& key, const IntegerRule& rule = {});
  bool Boolean(const std::string& key, std::optional<bool> default_value = std::nullopt);

  template <typename E, std::size_t N>
  E Enum(const std::string& key, const EnumNames<E, N>& names, std::optional<E> default_value = std::nullopt) {
    const nlohmann::json* value = Find(key, !default_value.has_value());
    const E fallback = default_value.value_or(names.entries()[0].first);
    if (value == nullptr) return fallback;
    if (value->is_string()) {
      if (const auto found = names.ValueOf(value->template get_ref<const std::string&>())) return *found;
    }
    std::string allowed;
    for (const auto& entry : names.entries()) allowed += (allowed.empty() ? "" : ", ") + std::string(entry.second);
    m_errors.Add(PathOf(key), "must be one of " + allowed);
    return fallback;
  }

  /// Reads a nested object; an absent optional one reads as empty, so that all its defaults apply.
  JsonObjectReader Object(const std::string& key, bool required = true);

  /// Reads a list of objects; absent and not required means empty.
  std::vector<JsonObjectReader> Objects(const std::string& key, std::size_t max_count, bool required = true);

  /// Reads a list of strings; absent and not required means empty.
  std::vector<std::string> Strings(const std::string& key, std::size_t max_count, bool required = true);

  /// The value of a required key, unchecked; null if the key is absent.
  nlohmann::json Json(const std::string& key);

  bool Has(const std::string& key) const;

  /// Reports a contradiction between values of this object.
  void AddError(const std::string& key, std::string message);

  /// Reports the keys that were never read. Call it last.
  void Finish();

  const std::string& path() const { return m_path; }

 private:
  const nlohmann::json* Find(const std::string& key, bool required);
  std::string PathOf(const std::string& key) const { return m_path + "." + key; }

  const nlohmann::json& m_value;
  std::string m_path;
  JsonErrors& m_errors;
  std::set<std::string> m_known_keys;
};

}  // namespace berylgauge
