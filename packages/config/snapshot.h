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

/// The configuration that this host has in force. Rows are only ever replaced
/// by higher versions, so the configuration never reverts.
class snapshot {
 public:
  /// Applies the row if its version is higher than the one held. Returns
  /// whether it changed the snapshot; an invalid row is kept by version only
  /// and leaves the typed view without it.
  bool Apply(const stored_row& row);

  /// Highest version applied.
  revision newest() const { return newest_; }
  /// Whether a first complete list was applied.
  bool complete() const { return complete_; }
  void set_complete() { complete_ = true; }

  const account_row* FindAccount(const account_id& id) const;
  /// Finds a granted, not withdrawn key by its SHA-256 digest.
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

  /// The stored row of that name, tombstones included.
  const stored_row* FindStored(const std::string& name) const;
  /// Stored rows with a version above `after`, in order of their versions.
  std::vector<stored_row> ChangedSince(revision after) const;

  /// Calls `listener` after each row that changed the snapshot.
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
