#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "standins/endpoint_standin.h"
#include "standins/engine_memory.h"

namespace bluebell::standins {

struct engine_options {
  std::int64_t memory_bytes = 80'000'000'000;
  /// Generation speed of each running stream.
  double tokens_per_second = 30;
  /// Streams that run at a time; others wait, by priority and arrival.
  int slots = 16;
  /// Whether an order with a lower fencing number than an earlier one is
  /// refused; otherwise the number is ignored.
  bool checks_fencing = false;
  order_times times;
  /// Time to the first token of a running stream; a quarter of it if the
  /// prompt's prefix is cached.
  std::chrono::milliseconds first_token{20};
  std::vector<model_size> models;
  /// The load report shows a sample that is up to this old; cache events are
  /// published this late.
  std::chrono::milliseconds report_lag{0};
  std::string incarnation;
};

/// A model engine with continuous batching, docs/design.md, section 2.6.
///
/// Further fault fields: `lose_orders` (next orders are answered with 202 and
/// not carried out) and `order_delay_ms` (orders are carried out late).
class engine_standin final : public endpoint_standin {
 public:
  engine_standin(clock& time, engine_options options);

  nlohmann::json Counters() const override;
  nlohmann::json LoadReport() const;

 protected:
  bool IsWork(const http_request& request) const override;
  void HandleWork(const exchange_ptr& exchange) override;
  void HandleOther(const exchange_ptr& exchange) override;
  bool HandleAdmin(const exchange_ptr&) override { return false; }
  std::map<std::string, field_reader> FaultReaders() override;

 private:
  struct stream {
    std::string id;
    std::string request_id;
    std::string model;
    std::string prompt;
    std::int64_t first = 0;
    std::int64_t next = 0;
    std::int64_t limit = 0;
    int priority = 0;
    std::uint64_t sequence = 0;
    bool streamed = false;
    bool chat = false;
    bool running = false;
    exchange_ptr exchange;
    timer_handle step;
  };
  using stream_ptr = std::shared_ptr<stream>;

  // Streams.
  stream_ptr ReadStream(const exchange_ptr& exchange,
                        const nlohmann::json& body) const;
  void Admit(const stream_ptr& added);
  void StartWaiting();
  void Start(const stream_ptr& started);
  void Step(stream& running);
  void Emit(stream& running);
  void Complete(const stream_ptr& ended);
  void Drop(const stream_ptr& ended);
  void Leave(const stream_ptr& ended);
  void CancelStream(const exchange_ptr& exchange, const std::string& id);
  nlohmann::json WholeAnswer(const stream& ended) const;

  // Orders.
  void HandleOrder(const exchange_ptr& exchange);
  void CarryOut(const std::string& operation, const model_size& target);

  // Reports.
  void SampleLoad();
  nlohmann::json CurrentLoad() const;
  bool TouchPrefix(const std::string& model, const std::string& prompt);
  void AddCacheEvent(const std::string& kind, const std::string& prefix);
  nlohmann::json CacheEvents(std::uint64_t after) const;

  engine_options options_;
  engine_memory memory_;
  std::map<std::string, stream_ptr> streams_;
  std::map<std::pair<int, std::uint64_t>, stream_ptr> waiting_;
  std::size_t running_ = 0;
  std::uint64_t next_sequence_ = 1;

  std::uint64_t highest_fence_ = 0;
  std::set<std::string> orders_seen_;
  int lose_orders_ = 0;
  std::chrono::milliseconds order_delay_{0};

  nlohmann::json sample_;
  clock::time_point sampled_at_;
  timer_handle next_sample_;
  // Cached prefixes, the least recently used first.
  std::deque<std::string> prefixes_;
  struct cache_event {
    std::uint64_t sequence;
    clock::time_point at;
    nlohmann::json body;
  };
  std::deque<cache_event> cache_events_;
  std::uint64_t next_cache_event_ = 1;

  std::map<std::string, std::int64_t> counters_;
};

}  // namespace bluebell::standins
