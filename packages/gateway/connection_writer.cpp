#include "gateway/connection_writer.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace bluebell::gateway {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using io_error = boost::system::error_code;

void connection_writer::SendResponse(const http_response& response,
                                     asio::yield_context yield) {
  started_ = true;
  http::response<http::string_body> message{
      static_cast<http::status>(response.status), 11};
  for (const auto& field : response.fields.all()) {
    message.insert(field.name, field.value);
  }
  message.keep_alive(keep_alive_);
  message.body() = response.body;
  message.prepare_payload();
  io_error ec;
  stream_.expires_after(limits_.write_timeout);
  http::async_write(stream_, message, yield[ec]);
  CheckWrite(ec);
  finished_ = !ec;
}

void connection_writer::StartStream(const http_response& head,
                                    asio::yield_context yield) {
  started_ = true;
  http::response<http::empty_body> message{
      static_cast<http::status>(head.status), 11};
  for (const auto& field : head.fields.all()) {
    message.insert(field.name, field.value);
  }
  message.keep_alive(keep_alive_);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer{message};
  io_error ec;
  stream_.expires_after(limits_.write_timeout);
  http::async_write_header(stream_, serializer, yield[ec]);
  CheckWrite(ec);
}

void connection_writer::SendChunk(std::string_view chunk,
                                  asio::yield_context yield) {
  if (chunk.empty() || broken_) return;
  io_error ec;
  stream_.expires_after(limits_.write_timeout);
  asio::async_write(stream_,
                    http::make_chunk(asio::buffer(chunk.data(), chunk.size())),
                    yield[ec]);
  CheckWrite(ec);
}

void connection_writer::FinishStream(asio::yield_context yield) {
  if (broken_) return;
  io_error ec;
  stream_.expires_after(limits_.write_timeout);
  asio::async_write(stream_, http::make_chunk_last(), yield[ec]);
  CheckWrite(ec);
  finished_ = !ec;
}

void connection_writer::AbortStream() {
  if (!broken_) {
    cause_ = detector_->disconnected() ? connection_cause::kCallerClosed
                                       : connection_cause::kAborted;
  }
  broken_ = true;
  io_error ignored;
  stream_.socket().close(ignored);
}

response_progress connection_writer::progress() const {
  if (!started_) return response_progress::kNone;
  return finished_ ? response_progress::kComplete : response_progress::kPartial;
}

connection_cause connection_writer::cause() const {
  if (cause_ != connection_cause::kNone) return cause_;
  if (finished_) return connection_cause::kAnswered;
  return detector_->disconnected() ? connection_cause::kCallerClosed
                                   : connection_cause::kNoAnswer;
}

void connection_writer::CheckWrite(const io_error& ec) {
  if (!ec) return;
  if (!broken_) {
    cause_ = ec == beast::error::timeout ? connection_cause::kWriteTimeout
                                         : connection_cause::kWriteFailed;
    detail_ = ec.message();
  }
  broken_ = true;
  detector_->MarkDisconnected();
}

}  // namespace bluebell::gateway
