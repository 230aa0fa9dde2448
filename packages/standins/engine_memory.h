#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace bluebell::standins {

/// A model or adapter and the accelerator memory it takes.
struct model_size {
  std::string name;
  std::int64_t bytes = 0;
};

/// Durations of orders.
struct order_times {
  std::chrono::milliseconds model_load{1000};
  std::chrono::milliseconds adapter_load{8};
  std::chrono::milliseconds unload{50};
};

/// The models and adapters in an engine's accelerator memory.
///
/// Memory counts from the start of a load to the end of an unload. Nothing is
/// refused for lack of memory: the peak and the number of times the total was
/// exceeded are the judge of overcommitment.
class engine_memory {
 public:
  engine_memory(clock& time, std::int64_t total, order_times times);

  /// Makes a model resident at once.
  void Preload(const model_size& model);
  /// Starts a load; a name that is already present is left as it is.
  void Load(const model_size& item, bool adapter);
  /// Starts an unload once no stream uses the name; a name that is not present
  /// is ignored.
  void Unload(const std::string& name);

  /// Whether new requests for `name` can run.
  bool Serves(const std::string& name) const;
  /// Counts the streams that use a name and keep it in memory.
  void AddUser(const std::string& name);
  void RemoveUser(const std::string& name);

  std::int64_t used() const { return used_; }
  std::int64_t total() const { return total_; }
  std::int64_t peak() const { return peak_; }
  /// Number of loads that started while the total was exceeded.
  std::int64_t overcommits() const { return overcommits_; }
  std::int64_t loads() const { return loads_; }
  std::int64_t unloads() const { return unloads_; }

  std::vector<std::string> Models() const { return Ready(false); }
  std::vector<std::string> Adapters() const { return Ready(true); }
  std::vector<std::string> Loading() const;

 private:
  enum class residency { kLoading, kReady, kLeaving };
  struct item {
    std::int64_t bytes = 0;
    bool adapter = false;
    residency state = residency::kLoading;
    int users = 0;
    timer_handle change;
  };

  item& Add(const model_size& model, bool adapter);
  void StartUnload(const std::string& name);
  std::vector<std::string> Ready(bool adapter) const;

  clock& time_;
  std::int64_t total_;
  order_times times_;
  std::map<std::string, item> items_;
  std::int64_t used_ = 0;
  std::int64_t peak_ = 0;
  std::int64_t overcommits_ = 0;
  std::int64_t loads_ = 0;
  std::int64_t unloads_ = 0;
};

}  // namespace bluebell::standins
