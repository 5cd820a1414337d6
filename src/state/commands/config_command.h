#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/failure.h"

namespace berylgauge {

class ConfigState;

/// One undoable edit of the configuration.
class ConfigCommand {
 public:
  virtual ~ConfigCommand() = default;

  /// Makes the edit.
  virtual void Apply(ConfigState& state) const = 0;

  /// The command that restores what `state` holds at present; nullptr if the edit cannot be undone.
  virtual std::unique_ptr<ConfigCommand> Inverse(const ConfigState& state) const = 0;

  /// What is edited, for example "availability zone limerick-yard".
  virtual std::string Target() const = 0;

  /// The present value in `state` of what the command edits; null if there is none.
  virtual nlohmann::json Current(const ConfigState& state) const = 0;

  /// The value after the command; null if it removes it.
  virtual nlohmann::json Next() const = 0;

  /// The command as an object whose "command" names its kind.
  virtual nlohmann::json ToJson() const = 0;
};

/// Reads what `ConfigCommand::ToJson` wrote; a failure names the wrong fields.
Result<std::unique_ptr<ConfigCommand>> ParseConfigCommand(const nlohmann::json& document);

}  // namespace berylgauge
