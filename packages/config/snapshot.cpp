#include "config/snapshot.h"

#include <algorithm>
#include <utility>

#include "config/tables.h"

namespace bluebell::config {
namespace {

using nlohmann::json;

// Rows of this size or larger are invalid, so that pages of rows sent between
// hosts stay below the message size limit.
constexpr std::size_t kMaxRowBytes = 64 * 1024;

bool IsOversized(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace).size() >=
         kMaxRowBytes;
}

const std::string& IdOf(const account_row& row) { return row.id.value(); }
const std::string& IdOf(const key_row& row) { return row.digest; }
const std::string& IdOf(const model_row& row) { return row.id.value(); }
const std::string& IdOf(const adapter_row& row) { return row.id.value(); }
const std::string& IdOf(const endpoint_row& row) { return row.id.value(); }
const std::string& IdOf(const route_row& row) { return row.id; }

// Inserts or updates the row in its typed table, or erases it if the value is a
// tombstone, is invalid or has an id that differs from the row's name.
template <class Map>
void Replace(Map& view, const std::string& id, const json& value) {
  using row_type = typename Map::mapped_type;
  using key_type = typename Map::key_type;
  if (!IsTombstone(value)) {
    auto parsed = ParseRow<row_type>(value);
    if (parsed && IdOf(*parsed) == id) {
      view.insert_or_assign(key_type(id), *std::move(parsed));
      return;
    }
  }
  view.erase(key_type(id));
}

template <class Map>
const typename Map::mapped_type* Find(const Map& view,
                                      const typename Map::key_type& key) {
  const auto found = view.find(key);
  return found == view.end() ? nullptr : &found->second;
}

// Whether `prefix` matches whole path segments of `path`, so that an open route
// "/help" does not also open "/helpdesk".
bool MatchesPrefix(const std::string& prefix, const std::string& path) {
  if (path.compare(0, prefix.size(), prefix) != 0) return false;
  return path.size() == prefix.size() || prefix.back() == '/' ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

}  // namespace

bool snapshot::Apply(const stored_row& row) {
  const stored_row* existing = FindStored(row.name);
  const revision existing_version =
      existing == nullptr ? revision() : existing->version;
  if (row.version <= existing_version) return false;

  stored_row kept = row;
  if (IsOversized(row.value)) kept.value = json{{"oversized", true}};
  const auto slash = row.name.find('/');
  const std::string table = row.name.substr(0, slash);
  const std::string id =
      slash == std::string::npos ? "" : row.name.substr(slash + 1);
  if (table == "accounts") Replace(accounts_, id, kept.value);
  if (table == "keys") Replace(keys_, id, kept.value);
  if (table == "models") Replace(models_, id, kept.value);
  if (table == "adapters") Replace(adapters_, id, kept.value);
  if (table == "endpoints") Replace(endpoints_, id, kept.value);
  if (table == "routes") Replace(routes_, id, kept.value);
  newest_ = std::max(newest_, row.version);
  stored_[row.name] = kept;
  // Indexed loop with a copy, because a listener may call `Subscribe`, which
  // can reallocate the vector.
  for (std::size_t i = 0; i < listeners_.size(); ++i) {
    const auto listener = listeners_[i];
    listener(kept);
  }
  return true;
}

const account_row* snapshot::FindAccount(const account_id& id) const {
  return Find(accounts_, id);
}

const key_row* snapshot::FindActiveKey(const std::string& digest) const {
  const key_row* row = Find(keys_, digest);
  return row == nullptr || row->withdrawn ? nullptr : row;
}

const model_row* snapshot::FindModel(const model_id& id) const {
  return Find(models_, id);
}

const adapter_row* snapshot::FindAdapter(const adapter_id& id) const {
  return Find(adapters_, id);
}

const endpoint_row* snapshot::FindEndpoint(const endpoint_id& id) const {
  return Find(endpoints_, id);
}

const route_row* snapshot::FindRoute(const std::string& path) const {
  const route_row* longest = nullptr;
  for (const auto& [id, route] : routes_) {
    if (!MatchesPrefix(route.prefix, path)) continue;
    if (longest == nullptr || route.prefix.size() > longest->prefix.size()) {
      longest = &route;
    }
  }
  return longest;
}

const stored_row* snapshot::FindStored(const std::string& name) const {
  return Find(stored_, name);
}

std::vector<stored_row> snapshot::ChangedSince(revision after) const {
  std::vector<stored_row> rows;
  for (const auto& [name, row] : stored_) {
    if (row.version > after) rows.push_back(row);
  }
  std::sort(rows.begin(), rows.end(),
            [](const stored_row& a, const stored_row& b) {
              return a.version < b.version;
            });
  return rows;
}

void snapshot::Subscribe(std::function<void(const stored_row&)> listener) {
  listeners_.push_back(std::move(listener));
}

}  // namespace bluebell::config
