#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <memory>
#include <utility>

namespace bluebell::gateway {

/// Suspends the coroutine until an asynchronous operation calls its callback
/// with a value of type `T`, and returns that value.
///
/// `start` receives the callback, which must be called exactly once. The
/// coroutine always resumes from the event loop, never inside the callback, so
/// that the code that completes the operation is not re-entered.
template <class T, class Start>
T Await(boost::asio::io_context& context, boost::asio::yield_context yield,
        Start&& start) {
  auto value = boost::asio::async_initiate<boost::asio::yield_context,
                                           void(std::shared_ptr<T>)>(
      [&context](auto handler, auto&& begin) {
        auto resume = std::make_shared<decltype(handler)>(std::move(handler));
        begin(std::function<void(T)>([&context, resume](T outcome) {
          auto stored = std::make_shared<T>(std::move(outcome));
          boost::asio::post(context, [resume, stored] { (*resume)(stored); });
        }));
      },
      yield, std::forward<Start>(start));
  return std::move(*value);
}

}  // namespace bluebell::gateway
