#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/rows.h"

namespace bluebell::config {

/// One row as stored: its name `<table>/<row>`, version and raw value. A value
/// with `"deleted": true` is a tombstone.
struct stored_row {
  std::string name;
  revision version;
  nlohmann::json value;
};

/// The active configuration of this host. A row is only replaced by a higher
/// version of it, so no row ever reverts.
class snapshot {
 public:
  /// Applies the row if its version is higher than the current one, and returns
  /// whether it did. An invalid row is stored, but removes the row from the
  /// typed tables.
  bool Apply(const stored_row& row);

  /// Highest version applied.
  revision newest() const { return newest_; }
  /// Whether a complete configuration has been applied.
  bool complete() const { return complete_; }
  void set_complete() { complete_ = true; }

  const account_row* FindAccount(const account_id& id) const;
  /// Finds a key that is not withdrawn by its SHA-256 digest.
  const key_row* FindActiveKey(const std::string& digest) const;
  const model_row* FindModel(const model_id& id) const;
  const adapter_row* FindAdapter(const adapter_id& id) const;
  const endpoint_row* FindEndpoint(const endpoint_id& id) const;
  /// Finds the route with the longest prefix of `path`.
  const route_row* FindRoute(const std::string& path) const;

  const std::map<account_id, account_row>& accounts() const {
    return accounts_;
  }
  const std::map<model_id, model_row>& models() const { return models_; }
  const std::map<adapter_id, adapter_row>& adapters() const {
    return adapters_;
  }
  const std::map<endpoint_id, endpoint_row>& endpoints() const {
    return endpoints_;
  }
  const std::map<std::string, route_row>& routes() const { return routes_; }

  /// Finds a stored row by name, tombstones and invalid rows included.
  const stored_row* FindStored(const std::string& name) const;
  /// Stored rows with versions above `after`, in ascending order of versions.
  std::vector<stored_row> ChangedSince(revision after) const;

  /// Calls `listener` after each applied row.
  void Subscribe(std::function<void(const stored_row&)> listener);

 private:
  std::map<account_id, account_row> accounts_;
  std::unordered_map<std::string, key_row> keys_;
  std::map<model_id, model_row> models_;
  std::map<adapter_id, adapter_row> adapters_;
  std::map<endpoint_id, endpoint_row> endpoints_;
  std::map<std::string, route_row> routes_;
  std::map<std::string, stored_row> stored_;
  std::vector<std::function<void(const stored_row&)>> listeners_;
  revision newest_;
  bool complete_ = false;
};

}  // namespace bluebell::config
