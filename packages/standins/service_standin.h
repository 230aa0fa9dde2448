#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "standins/endpoint_standin.h"

namespace bluebell::standins {

struct service_options {
  /// Duration of one run.
  std::chrono::milliseconds run{20};
  /// Runs at a time; others wait in order of arrival.
  int slots = 16;
  std::string incarnation;
};

/// A plain service for orders, bookings and payments, docs/design.md, section
/// 2.6. `POST` under any path runs the order that the field `order` of the
/// JSON body names; other methods answer without a run. A run counts from its
/// start and goes on if the client disconnects. `GET /admin/runs` answers
/// `{"runs":{order: count},"total":n}`.
class service_standin final : public endpoint_standin {
 public:
  service_standin(clock& time, service_options options);

  nlohmann::json Counters() const override;
  nlohmann::json Runs() const;

 protected:
  bool IsWork(const http_request& request) const override;
  void HandleWork(const exchange_ptr& exchange) override;
  void HandleOther(const exchange_ptr& exchange) override;
  bool HandleAdmin(const exchange_ptr& exchange) override;

 private:
  void StartWaiting();
  void Start(const exchange_ptr& exchange, const std::string& order);
  http_response Answer(const http_request& request) const;

  service_options options_;
  std::deque<exchange_ptr> waiting_;
  int running_ = 0;
  std::map<std::string, std::int64_t> runs_;
  std::int64_t total_ = 0;
};

}  // namespace bluebell::standins
