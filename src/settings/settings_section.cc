#include "settings/settings_section.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace berylgauge {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxAddressBytes = 45;
constexpr std::size_t kMaxPathBytes = 1024;
constexpr std::int64_t kMaxPort = 65535;

bool IsName(const std::string& text) {
  return std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return absl::ascii_isalnum(c) || c == '.' || c == '_' || c == '-'; });
}

bool IsAbsolutePath(const std::string& text) {
  return text.starts_with('/') && !text.ends_with('/') &&
         std::none_of(text.begin(), text.end(), [](unsigned char c) { return absl::ascii_iscntrl(c); });
}

bool IsHttpUrl(const std::string& text) {
  constexpr std::string_view kScheme = "http://";
  if (!text.starts_with(kScheme)) return false;
  if (!std::all_of(text.begin(), text.end(), [](unsigned char c) { return absl::ascii_isgraph(c); })) return false;
  const std::string_view rest = std::string_view(text).substr(kScheme.size());
  const std::string_view authority = rest.substr(0, rest.find('/'));
  if (rest.find_first_of("?#@") != std::string_view::npos) return false;
  const std::optional<IpPort> with_port = IpPort::Parse(authority);
  if (with_port) return !with_port->IsWildcard();
  const std::optional<IpPort> without_port = IpPort::Parse(std::string(authority) + ":80");
  return without_port && !without_port->IsWildcard();
}

}  // namespace

SettingsSection::SettingsSection(JsonObjectReader reader, std::string prefix, const JsonErrors& errors,
                                 std::vector<SettingsKey>* keys)
    : m_reader(std::move(reader)), m_prefix(std::move(prefix)), m_errors(errors), m_keys(keys) {}

std::int64_t SettingsSection::Integer(const std::string& key, const IntegerRule& rule) {
  Record(key, rule.default_value ? std::to_string(*rule.default_value) : "required",
         std::to_string(rule.min) + " to " + std::to_string(rule.max));
  return m_reader.Integer(key, rule);
}

absl::Duration SettingsSection::Milliseconds(const std::string& key, const IntegerRule& rule) {
  return absl::Milliseconds(Integer(key, rule));
}

std::string SettingsSection::Name(const std::string& key) {
  return CheckedText(key, kMaxNameBytes, "1 to 64 letters, digits, '.', '_' and '-'", IsName);
}

std::string SettingsSection::AbsolutePath(const std::string& key) {
  return CheckedText(key, kMaxPathBytes, "absolute path of a file", IsAbsolutePath);
}

std::string SettingsSection::HttpUrl(const std::string& key) {
  return CheckedText(key, kMaxPathBytes, "http://IP[:PORT][/PATH]", IsHttpUrl);
}

IpPort SettingsSection::Listener(const std::string& name, bool wildcard_allowed) {
  const std::string allowed = wildcard_allowed ? "IP address" : "IP address other than 0.0.0.0 and ::";
  const std::string text =
      CheckedText(name + "_address", kMaxAddressBytes, allowed, [wildcard_allowed](const std::string& address) {
        const std::optional<std::string> canonical = CanonicalIpAddress(address);
        return canonical && (wildcard_allowed || !IpPort{.address = *canonical}.IsWildcard());
      });
  const std::int64_t port = Integer(name + "_port", {.min = 1, .max = kMaxPort});
  return {.address = CanonicalIpAddress(text).value_or(""), .port = static_cast<int>(port)};
}

std::vector<IpPort> SettingsSection::IpPorts(const std::string& key, std::size_t max_count) {
  Record(key, "required", "1 to " + std::to_string(max_count) + " different texts IP:PORT");
  std::vector<IpPort> result;
  const std::size_t errors_before = ErrorCount();
  const std::vector<std::string> texts = m_reader.Strings(key, max_count);
  if (texts.empty() && ErrorCount() == errors_before) m_reader.AddError(key, "must have at least one IP:PORT");
  for (const std::string& text : texts) {
    const std::optional<IpPort> parsed = IpPort::Parse(text);
    if (!parsed || parsed->IsWildcard()) {
      m_reader.AddError(key, "contains '" + text + "', must contain IP:PORT with a port from 1 to 65535");
    } else if (std::find(result.begin(), result.end(), *parsed) != result.end()) {
      m_reader.AddError(key, "contains " + parsed->ToString() + " twice");
    } else {
      result.push_back(*parsed);
    }
  }
  return result;
}

SettingsSection SettingsSection::Section(const std::string& key, bool required) {
  return {m_reader.Object(key, required), m_prefix + key + ".", m_errors, m_keys};
}

std::string SettingsSection::CheckedText(const std::string& key, std::size_t max_length, const std::string& allowed,
                                         const TextCheck& is_valid) {
  Record(key, "required", allowed);
  const std::string text = m_reader.String(key, {.max_length = max_length});
  const bool length_is_valid = !text.empty() && text.size() <= max_length;
  if (length_is_valid && !is_valid(text)) m_reader.AddError(key, "is '" + text + "', must be: " + allowed);
  return text;
}

void SettingsSection::Record(const std::string& key, std::string default_value, std::string allowed) {
  if (m_keys == nullptr) return;
  m_keys->push_back({.path = m_prefix + key, .default_value = std::move(default_value), .allowed = std::move(allowed)});
}

}  // namespace berylgauge
