#pragma once

#include <string>
#include <vector>

#include "serving/serving_config.h"

namespace bluebell::serving {

/// An entry of a configuration. Entries that exist once have no name; a model
/// is named "service/model".
struct config_entry {
  std::string kind;
  std::string name;
};

/// An entry or field that has no effect or contradicts another one. Never
/// contains an API key.
struct config_finding {
  config_entry entry;
  std::string field;
  std::string reason;
};

struct field_change {
  std::string field;
  std::string before;
  std::string after;
};

enum class entry_change { kAdded, kRemoved, kChanged };

/// Returns "added", "removed" or "changed".
const char* ToString(entry_change change);

/// An entry that two configurations do not have in common.
struct config_difference {
  entry_change change = entry_change::kChanged;
  config_entry entry;
  /// Only of changed entries. API keys are counted, not shown.
  std::vector<field_change> fields;
};

/// Checks one configuration: values out of range, entries that no request can
/// match, and limits that contradict each other.
///
/// Workload: an operator's edit takes effect on all hosts at nearly the same
/// time, so an error must be found before the configuration is submitted.
std::vector<config_finding> CheckConfig(const serving_config& config);

/// Checks whether hosts that have `before` would accept `after`: they ignore a
/// version below the newest one.
std::vector<config_finding> CheckVersion(const serving_config& before,
                                         const serving_config& after);

/// Compares entries by kind and name: added and changed ones in the order of
/// `after`, then removed ones.
std::vector<config_difference> CompareConfigs(const serving_config& before,
                                              const serving_config& after);

}  // namespace bluebell::serving
