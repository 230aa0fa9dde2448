#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <string_view>

#include "gateway/http_types.h"

namespace bluebell::gateway {

/// The caller's end of one request: takes either one whole answer or a stream.
class answer_sink {
 public:
  virtual ~answer_sink() = default;

  virtual void SendWhole(const http_answer& answer,
                         boost::asio::yield_context yield) = 0;
  /// Sends status and header fields; the body follows in parts.
  virtual void StartStream(const http_answer& head,
                           boost::asio::yield_context yield) = 0;
  virtual void SendPart(std::string_view part,
                        boost::asio::yield_context yield) = 0;
  /// Marks the body as complete.
  virtual void FinishStream(boost::asio::yield_context yield) = 0;
  /// Closes the connection without marking the body as complete, so that the
  /// caller sees a transport error instead of a short answer.
  virtual void BreakStream() = 0;

  /// Whether anything was sent to the caller.
  virtual bool started() const = 0;
  /// Whether the caller closed its connection.
  virtual bool caller_gone() const = 0;
  /// Calls `callback` when the caller closes its connection; replaces an
  /// earlier callback.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
};

}  // namespace bluebell::gateway
