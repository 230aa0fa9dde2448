#include "gateway_fixture.h"

namespace bluebell::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

// Reads one request: the head, then Content-Length bytes.
std::string ReadRequest(tcp::socket& socket) {
  std::string bytes;
  boost::system::error_code ec;
  asio::read_until(socket, asio::dynamic_buffer(bytes), "\r\n\r\n", ec);
  if (ec) return bytes;
  const std::size_t head = bytes.find("\r\n\r\n") + 4;
  const std::string length = HeaderValue(bytes, "Content-Length");
  const std::size_t total = head + (length.empty() ? 0 : std::stoul(length));
  if (bytes.size() < total) {
    asio::read(socket, asio::dynamic_buffer(bytes),
               asio::transfer_exactly(total - bytes.size()), ec);
  }
  return bytes;
}

}  // namespace

void scripted_endpoint::Run() {
  for (std::size_t i = 0; i < scripts_.size(); ++i) {
    tcp::socket socket(context_);
    acceptor_.accept(socket);
    const std::string request = ReadRequest(socket);
    if (request.empty()) return;
    {
      std::lock_guard<std::mutex> lock(mutex_);
      requests_.push_back(request);
    }
    boost::system::error_code ignored;
    asio::write(socket, asio::buffer(scripts_[i](request)), ignored);
    if (i + 1 == scripts_.size() && then_ == after_scripts::kCrash) {
      acceptor_.close(ignored);
    }
    socket.shutdown(tcp::socket::shutdown_both, ignored);
  }
}

std::string HeaderValue(const std::string& request, const std::string& name) {
  const std::string mark = "\r\n" + name + ": ";
  const auto same = [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  };
  const auto found = std::search(request.begin(), request.end(), mark.begin(),
                                 mark.end(), same);
  if (found == request.end()) return {};
  const auto start = found + static_cast<std::ptrdiff_t>(mark.size());
  return {start, std::find(start, request.end(), '\r')};
}

std::string FullResponse(const std::string& request, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nx-request-id: " +
         HeaderValue(request, "x-request-id") +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string UnframedResponse(const std::string& request,
                             const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nx-request-id: " +
         HeaderValue(request, "x-request-id") + "\r\n\r\n" + body;
}

std::string StreamHeader(const std::string& request) {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "x-request-id: " +
         HeaderValue(request, "x-request-id") + "\r\n\r\n";
}

std::string TokenEvent(int index) {
  const std::string number = std::to_string(index);
  return "data: {\"index\":" + number + ",\"text\":\"t" + number + "\"}\n\n";
}

gateway_test::gateway_test() {
  options_.listen = "127.0.0.1:0";
  options_.dispatch.stream_idle_timeout = std::chrono::milliseconds(300);
  options_.dispatch.head_timeout = std::chrono::milliseconds(500);
  options_.http.header_timeout = std::chrono::milliseconds(300);
  options_.http.body_timeout = std::chrono::milliseconds(300);
  ApplyRow("accounts/ndiaye", {{"id", "ndiaye"},
                               {"weight", 1},
                               {"rate", 1000},
                               {"burst", 5000},
                               {"priority", 1}});
  const std::string digest = Sha256Hex(kKey);
  ApplyRow("keys/" + digest,
           {{"digest", digest}, {"account", "ndiaye"}, {"withdrawn", false}});
  ApplyRow("models/m",
           {{"id", "m"}, {"memory_bytes", 1000}, {"min_copies", 1}});
  ApplyRow("routes/orders", {{"id", "orders"},
                             {"prefix", "/orders"},
                             {"group", "orders"},
                             {"open", false},
                             {"repeatable", false}});
  ApplyRow("routes/info", {{"id", "info"},
                           {"prefix", "/info"},
                           {"group", "info"},
                           {"open", true},
                           {"repeatable", true}});
  rows_.set_complete();
}

gateway_test::~gateway_test() {
  context_.stop();
  if (thread_.joinable()) thread_.join();
}

void gateway_test::ApplyRow(const std::string& name,
                            const nlohmann::json& value) {
  EXPECT_TRUE(rows_.Apply({name, revision(next_version_++), value})) << name;
}

void gateway_test::Start(std::vector<std::string> endpoint_addresses) {
  scheduler_.addresses = std::move(endpoint_addresses);
  auto created = gateway::Create({context_, time_, events_, rows_, fleet_,
                                  admission_, records_, scheduler_, metrics_},
                                 options_);
  ASSERT_TRUE(created) << created.error().detail;
  gateway_ = std::move(*created);
  thread_ = std::thread([this] { context_.run(); });
}

std::string gateway_test::Exchange(const std::string& bytes) {
  asio::io_context client;
  tcp::socket socket(client);
  socket.connect({asio::ip::address_v4::loopback(), gateway_->server().port()});
  const timeval receive_timeout{2, 0};
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &receive_timeout,
             sizeof(receive_timeout));
  boost::system::error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  std::string response;
  char part[4096];
  while (true) {
    const ssize_t count = ::recv(socket.native_handle(), part, sizeof(part), 0);
    if (count <= 0) return response;
    response.append(part, static_cast<std::size_t>(count));
  }
}

std::string gateway_test::Post(const std::string& path, const std::string& body,
                               const std::string& extra_fields) {
  return Exchange("POST " + path + " HTTP/1.1\r\nHost: h\r\n" +
                  "Authorization: Bearer " + kKey +
                  "\r\nContent-Type: application/json\r\n"
                  "Connection: close\r\n" +
                  extra_fields + "Content-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace bluebell::gateway
