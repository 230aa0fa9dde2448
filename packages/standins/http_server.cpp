#include "standins/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/http/parser.hpp>
#include <cctype>
#include <charconv>
#include <deque>
#include <optional>
#include <set>

#include "base/address.h"

namespace bluebell::standins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t kMaxBodyBytes = 4'000'000;
constexpr std::uint32_t kMaxHeaderBytes = 65'536;

std::string LowerCase(std::string text) {
  for (char& c : text) {
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  }
  return text;
}

std::string PercentDecode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string HeadText(const http_response& response) {
  std::string text = "HTTP/1.1 " + std::to_string(response.status) + " ";
  text += std::string(
      http::obsolete_reason(static_cast<http::status>(response.status)));
  text += "\r\nContent-Type: " + response.content_type + "\r\n";
  for (const auto& [name, value] : response.headers) {
    text += name + ": " + value + "\r\n";
  }
  return text;
}

std::string ChunkText(const std::string& data) {
  char size[16];
  const auto end = std::to_chars(size, size + sizeof(size), data.size(), 16);
  return std::string(size, end.ptr) + "\r\n" + data + "\r\n";
}

class connection;
using connection_set = std::set<std::shared_ptr<connection>>;

}  // namespace

struct http_server::shared_state
    : std::enable_shared_from_this<http_server::shared_state> {
  shared_state(asio::io_context& io, exchange_handler on_request)
      : context(io), handler(std::move(on_request)), acceptor(io) {}

  void Accept();

  asio::io_context& context;
  exchange_handler handler;
  tcp::acceptor acceptor;
  connection_set connections;
  std::int64_t accepted = 0;
};

namespace {

// One client connection. It serves one request after the other; its writes are
// queued, so that a stream can be written without waiting.
class connection : public std::enable_shared_from_this<connection> {
 public:
  connection(tcp::socket socket,
             const std::shared_ptr<http_server::shared_state>& server)
      : socket_(std::move(socket)), server_(server) {}

  void ReadRequest();
  void Queue(std::string bytes);
  // Ends the answer; the next request is read or the connection is closed
  // after the queued bytes are written.
  void FinishAnswer(bool close);
  void Close();
  void Freeze() { frozen_ = true; }
  bool open() const { return socket_.is_open(); }
  // Number of requests read, to tell the current exchange from older ones.
  std::uint64_t request_number() const { return request_number_; }
  void set_on_disconnect(std::function<void()> callback) {
    on_disconnect_ = std::move(callback);
    WatchForDisconnect();
  }

 private:
  void HandleRequest();
  void Flush();
  void WatchForDisconnect();
  void ReportDisconnect();

  tcp::socket socket_;
  std::weak_ptr<http_server::shared_state> server_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<std::string> writes_;
  bool writing_ = false;
  bool watching_ = false;
  bool answering_ = false;
  bool keep_alive_ = true;
  bool close_when_flushed_ = false;
  bool frozen_ = false;
  std::uint64_t request_number_ = 0;
  std::function<void()> on_disconnect_;
};

// The exchange of one request on a connection.
class socket_exchange final : public http_exchange {
 public:
  explicit socket_exchange(std::shared_ptr<connection> peer)
      : connection_(std::move(peer)), number_(connection_->request_number()) {}

  bool IsOn(const std::shared_ptr<connection>& other) const {
    return connection_ == other;
  }

  void Send(http_response response) override;
  void StartStream(http_response head) override;
  void Write(std::string text) override;
  void EndStream() override;
  void Close() override {
    if (Active()) connection_->Close();
    ended_ = true;
  }
  void Freeze() override { connection_->Freeze(); }
  void OnDisconnect(std::function<void()> callback) override {
    if (Active()) connection_->set_on_disconnect(std::move(callback));
  }

 private:
  bool Active() const {
    return !ended_ && connection_->open() &&
           connection_->request_number() == number_;
  }

  std::shared_ptr<connection> connection_;
  std::uint64_t number_;
  int events_ = 0;
  bool ended_ = false;
};

void socket_exchange::Send(http_response response) {
  if (!Active()) return;
  if (fault() == answer_fault::kLose) return Close();
  std::string text = HeadText(response) +
                     "Content-Length: " + std::to_string(response.body.size()) +
                     "\r\n\r\n";
  const bool truncate = fault() == answer_fault::kTruncate;
  text += truncate ? response.body.substr(0, response.body.size() / 2)
                   : response.body;
  if (fault() == answer_fault::kDuplicate) text += text;
  connection_->Queue(std::move(text));
  ended_ = true;
  connection_->FinishAnswer(truncate);
}

void socket_exchange::StartStream(http_response head) {
  if (!Active()) return;
  if (fault() == answer_fault::kLose) return Close();
  connection_->Queue(HeadText(head) + "Transfer-Encoding: chunked\r\n\r\n");
}

void socket_exchange::Write(std::string text) {
  if (!Active()) return;
  if (fault() == answer_fault::kDuplicate) text += text;
  connection_->Queue(ChunkText(text));
  if (fault() != answer_fault::kTruncate) return;
  if (++events_ < kTruncatedEvents) return;
  ended_ = true;
  connection_->FinishAnswer(true);
}

void socket_exchange::EndStream() {
  if (!Active()) return;
  connection_->Queue("0\r\n\r\n");
  ended_ = true;
  connection_->FinishAnswer(false);
}

void connection::ReadRequest() {
  answering_ = false;
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  http::async_read(
      socket_, buffer_, *parser_,
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        if (self->frozen_) return;
        if (failure == http::error::body_limit) {
          self->Queue(
              "HTTP/1.1 413 Payload Too Large\r\n"
              "Content-Length: 0\r\nConnection: close\r\n\r\n");
          return self->FinishAnswer(true);
        }
        if (failure) return self->Close();
        self->HandleRequest();
      });
}

void connection::HandleRequest() {
  auto message = parser_->release();
  keep_alive_ = message.keep_alive();
  answering_ = true;
  ++request_number_;
  auto exchange = std::make_shared<socket_exchange>(shared_from_this());
  auto& request = exchange->request();
  request.method = std::string(message.method_string());
  ParseTarget(std::string(message.target()), request);
  for (const auto& field : message) {
    auto& value = request.headers[LowerCase(std::string(field.name_string()))];
    if (!value.empty()) value += ", ";
    value += std::string(field.value());
  }
  request.body = std::move(message.body());
  if (const auto server = server_.lock()) server->handler(std::move(exchange));
}

void connection::Queue(std::string bytes) {
  if (frozen_ || !socket_.is_open()) return;
  writes_.push_back(std::move(bytes));
  Flush();
}

void connection::Flush() {
  if (writing_ || frozen_) return;
  if (writes_.empty()) {
    if (close_when_flushed_) Close();
    return;
  }
  writing_ = true;
  asio::async_write(
      socket_, asio::buffer(writes_.front()),
      [self = shared_from_this()](const error_code& failure, std::size_t) {
        self->writing_ = false;
        if (failure) return self->ReportDisconnect();
        self->writes_.pop_front();
        self->Flush();
      });
}

void connection::FinishAnswer(bool close) {
  on_disconnect_ = nullptr;
  if (close || !keep_alive_) {
    close_when_flushed_ = true;
    return Flush();
  }
  // Reading starts from the event loop, so that a row of requests that are
  // answered at once does not nest calls.
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->socket_.is_open() && !self->frozen_) self->ReadRequest();
  });
}

void connection::Close() {
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_both, ignored);
  socket_.close(ignored);
  on_disconnect_ = nullptr;
  if (const auto server = server_.lock()) {
    server->connections.erase(shared_from_this());
  }
}

// Waits for readable data during an answer; none available means that the
// client has closed the connection.
void connection::WatchForDisconnect() {
  if (watching_ || !socket_.is_open()) return;
  watching_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](const error_code& failure) {
                       self->watching_ = false;
                       if (failure || !self->answering_ || self->frozen_)
                         return;
                       error_code unreadable;
                       if (self->socket_.available(unreadable) == 0)
                         self->ReportDisconnect();
                     });
}

void connection::ReportDisconnect() {
  if (frozen_) return;
  const auto callback = std::move(on_disconnect_);
  Close();
  if (callback) callback();
}

}  // namespace

void http_server::shared_state::Accept() {
  acceptor.async_accept([self = shared_from_this()](const error_code& failure,
                                                    tcp::socket socket) {
    if (!self->acceptor.is_open()) return;
    if (!failure) {
      ++self->accepted;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto accepted = std::make_shared<connection>(std::move(socket), self);
      self->connections.insert(accepted);
      accepted->ReadRequest();
    }
    self->Accept();
  });
}

http_server::http_server(asio::io_context& context, exchange_handler handler)
    : state_(std::make_shared<shared_state>(context, std::move(handler))) {}

http_server::~http_server() { Stop(); }

result<std::string> http_server::Listen(const std::string& address) {
  const auto parsed = ParseAddress(address);
  if (!parsed) return tl::unexpected<error>(parsed.error());
  error_code failure;
  auto& acceptor = state_->acceptor;
  acceptor.open(tcp::v4(), failure);
  if (!failure) acceptor.set_option(tcp::acceptor::reuse_address(true));
  if (!failure) acceptor.bind(*parsed, failure);
  if (!failure)
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  if (failure) {
    error_code ignored;
    acceptor.close(ignored);
    return Fail(bluebell::error_code::kUnavailable, failure.message());
  }
  state_->Accept();
  return parsed->address().to_string() + ":" +
         std::to_string(acceptor.local_endpoint().port());
}

void http_server::Stop() {
  error_code ignored;
  state_->acceptor.close(ignored);
  const auto connections = std::move(state_->connections);
  state_->connections.clear();
  for (const auto& open : connections) open->Close();
}

void http_server::FreezeConnections(const http_exchange* spared) {
  const auto* exchange = dynamic_cast<const socket_exchange*>(spared);
  for (const auto& open : state_->connections) {
    if (exchange == nullptr || !exchange->IsOn(open)) open->Freeze();
  }
}

std::int64_t http_server::accepted() const { return state_->accepted; }

void ParseTarget(const std::string& target, http_request& request) {
  request.target = target;
  const auto mark = target.find('?');
  request.path = PercentDecode(target.substr(0, mark));
  if (mark == std::string::npos) return;
  std::size_t begin = mark + 1;
  while (begin <= target.size()) {
    const auto end = std::min(target.find('&', begin), target.size());
    const std::string part = target.substr(begin, end - begin);
    const auto equals = std::min(part.find('='), part.size());
    const std::string value =
        equals < part.size() ? part.substr(equals + 1) : "";
    if (!part.empty()) {
      request.query[PercentDecode(part.substr(0, equals))] =
          PercentDecode(value);
    }
    begin = end + 1;
  }
}

}  // namespace bluebell::standins
