#include "serving/serving_config.h"

namespace bluebell::serving {

void serving_config::Index() {
  by_prefix_.clear();
  for (std::size_t i = 0; i < routes.size(); ++i) {
    by_prefix_[routes[i].host][routes[i].path_prefix] = i;
  }
}

// Every prefix ends with a slash, so only the path up to each of its slashes is
// looked up.
const route* serving_config::FindRoute(std::string_view host,
                                       std::string_view path) const {
  const auto routes_of_host = by_prefix_.find(std::string(host));
  if (routes_of_host == by_prefix_.end()) return nullptr;
  std::string prefix(path.substr(0, path.find('?')));
  for (auto slash = prefix.rfind('/'); slash != std::string::npos;
       slash = prefix.rfind('/')) {
    prefix.resize(slash + 1);
    const auto found = routes_of_host->second.find(prefix);
    if (found != routes_of_host->second.end()) return &routes[found->second];
    prefix.resize(slash);
  }
  return nullptr;
}

const account* serving_config::FindAccount(const std::string& key) const {
  const auto found = keys.find(key);
  return found == keys.end() ? nullptr : &accounts[found->second];
}

const account* serving_config::FindAccount(const account_id& id) const {
  for (const auto& entry : accounts) {
    if (entry.id == id) return &entry;
  }
  return nullptr;
}

const service* serving_config::FindService(const service_id& id) const {
  for (const auto& entry : services) {
    if (entry.id == id) return &entry;
  }
  return nullptr;
}

}  // namespace bluebell::serving
