#include "base/json_object_reader.h"

#include <utility>

namespace berylgauge {
namespace {

const nlohmann::json& EmptyObject() {
  static const nlohmann::json kEmpty = nlohmann::json::object();
  return kEmpty;
}

}  // namespace

JsonObjectReader::JsonObjectReader(const nlohmann::json& value, std::string path, JsonErrors& errors)
    : m_value(value.is_object() ? value : EmptyObject()), m_path(std::move(path)), m_errors(errors) {
  if (!value.is_object()) m_errors.Add(m_path, "must be an object");
}

const nlohmann::json* JsonObjectReader::Find(const std::string& key, bool required) {
  m_known_keys.insert(key);
  const auto it = m_value.find(key);
  if (it != m_value.end()) return &*it;
  if (required) m_errors.Add(PathOf(key), "is required");
  return nullptr;
}

std::string JsonObjectReader::String(const std::string& key, const StringRule& rule) {
  const nlohmann::json* value = Find(key, !rule.default_value.has_value());
  if (value == nullptr) return rule.default_value.value_or("");
  if (!value->is_string()) {
    m_errors.Add(PathOf(key), "must be a string");
    return rule.default_value.value_or("");
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.size() < rule.min_length || text.size() > rule.max_length) {
    m_errors.Add(PathOf(key),
                 "must have " + std::to_string(rule.min_length) + " to " + std::to_string(rule.max_length) + " bytes");
  }
  return text;
}

std::int64_t JsonObjectReader::Integer(const std::string& key, const IntegerRule& rule) {
  const nlohmann::json* value = Find(key, !rule.default_value.has_value());
  const std::int64_t fallback = rule.default_value.value_or(rule.min);
  if (value == nullptr) return fallback;
  const bool too_large = value->is_number_unsigned() && value->get<std::uint64_t>() > std::uint64_t{INT64_MAX};
  if (!value->is_number_integer() || too_large) {
    m_errors.Add(PathOf(key), "must be an integer");
    return fallback;
  }
  const auto number = value->get<std::int64_t>();
  if (number < rule.min || number > rule.max) {
    m_errors.Add(PathOf(key), "is " + std::to_string(number) + ", must be from " + std::to_string(rule.min) + " to " +
                                  std::to_string(rule.max));
    return fallback;
  }
  return number;
}

bool JsonObjectReader::Boolean(const std::string& key, std::optional<bool> default_value) {
  const nlohmann::json* value = Find(key, !default_value.has_value());
  if (value == nullptr) return default_value.value_or(false);
  if (value->is_boolean()) return value->get<bool>();
  m_errors.Add(PathOf(key), "must be true or false");
  return default_value.value_or(false);
}

JsonObjectReader JsonObjectReader::Object(const std::string& key, bool required) {
  const nlohmann::json* value = Find(key, required);
  return JsonObjectReader(value == nullptr ? EmptyObject() : *value, PathOf(key), m_errors);
}

std::vector<JsonObjectReader> JsonObjectReader::Objects(const std::string& key, std::size_t max_count, bool required) {
  std::vector<JsonObjectReader> readers;
  const nlohmann::json* value = Find(key, required);
  if (value == nullptr) return readers;
  if (!value->is_array() || value->size() > max_count) {
    m_errors.Add(PathOf(key), "must be a list of at most " + std::to_string(max_count) + " objects");
    return readers;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    readers.emplace_back((*value)[i], PathOf(key) + "[" + std::to_string(i) + "]", m_errors);
  }
  return readers;
}

std::vector<std::string> JsonObjectReader::Strings(const std::string& key, std::size_t max_count, bool required) {
  std::vector<std::string> strings;
  const nlohmann::json* value = Find(key, required);
  if (value == nullptr) return strings;
  if (!value->is_array() || value->size() > max_count) {
    m_errors.Add(PathOf(key), "must be a list of at most " + std::to_string(max_count) + " strings");
    return strings;
  }
  for (std::size_t i = 0; i < value->size(); ++i) {
    if ((*value)[i].is_string()) {
      strings.push_back((*value)[i].get<std::string>());
    } else {
      m_errors.Add(PathOf(key) + "[" + std::to_string(i) + "]", "must be a string");
    }
  }
  return strings;
}

nlohmann::json JsonObjectReader::Json(const std::string& key) {
  const nlohmann::json* value = Find(key, true);
  return value == nullptr ? nlohmann::json() : *value;
}

bool JsonObjectReader::Has(const std::string& key) const { return m_value.contains(key); }

void JsonObjectReader::AddError(const std::string& key, std::string message) {
  m_errors.Add(PathOf(key), std::move(message));
}

void JsonObjectReader::Finish() {
  for (const auto& item : m_value.items()) {
    if (!m_known_keys.contains(item.key())) m_errors.Add(PathOf(item.key()), "is not a known key");
  }
}

}  // namespace berylgauge
