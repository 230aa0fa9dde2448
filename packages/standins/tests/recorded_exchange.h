#pragma once

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "standins/http_server.h"

namespace bluebell::standins {

/// An exchange without a socket that keeps what is sent on it.
class recorded_exchange final : public http_exchange {
 public:
  void Send(http_response sent) override { response = std::move(sent); }
  void StartStream(http_response sent) override { response = std::move(sent); }
  void Write(std::string text) override { stream += text; }
  void EndStream() override { ended = true; }
  void Close() override { closed = true; }
  void Freeze() override { frozen = true; }
  void OnDisconnect(std::function<void()> callback) override {
    on_disconnect = std::move(callback);
  }

  nlohmann::json Body() const { return nlohmann::json::parse(response->body); }
  answer_fault injected() const { return fault(); }

  std::optional<http_response> response;
  std::string stream;
  bool ended = false;
  bool closed = false;
  bool frozen = false;
  std::function<void()> on_disconnect;
};

/// Hands a request to a stand-in and returns its exchange.
template <class Standin>
std::shared_ptr<recorded_exchange> Request(
    Standin& standin, const std::string& method, const std::string& target,
    const nlohmann::json& body = nullptr,
    const std::map<std::string, std::string>& headers = {}) {
  auto exchange = std::make_shared<recorded_exchange>();
  exchange->request().method = method;
  ParseTarget(target, exchange->request());
  exchange->request().headers = headers;
  if (!body.is_null()) exchange->request().body = body.dump();
  standin.Handle(exchange);
  return exchange;
}

}  // namespace bluebell::standins
