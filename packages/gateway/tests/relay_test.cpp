#include "gateway_fixture.h"

namespace bluebell::gateway {
namespace {

const std::string kCompletionRequest =
    R"({"model":"m","prompt":"hello","max_tokens":8})";
const std::string kStreamRequest =
    R"({"model":"m","prompt":"hello","max_tokens":8,"stream":true})";

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

TEST_F(gateway_test, RelaysFullResponseAndRefundsUnusedTokens) {
  scripted_endpoint engine({[](const std::string& request) {
    return FullResponse(request, R"({"usage":{"completion_tokens":3}})");
  }});
  Start({engine.address()});
  const std::string response = Post("/v1/completions", kCompletionRequest);
  EXPECT_TRUE(Has(response, "completion_tokens")) << response;
  ASSERT_EQ(admission_.settled.size(), 1u);
  EXPECT_EQ(admission_.settled[0].first, token_count(10));
  EXPECT_EQ(admission_.settled[0].second, token_count(5));
}

// Guards against forwarding the key to an endpoint in any form, for
// completions and for plain services.
TEST_F(gateway_test, EndpointNeverSeesTheKey) {
  scripted_endpoint endpoint(
      {[](const std::string& r) { return FullResponse(r, "{}"); },
       [](const std::string& r) { return FullResponse(r, "{}"); }});
  Start({endpoint.address()});
  Post("/v1/completions", kCompletionRequest);
  Post("/orders/1", "{}", "Idempotency-Key: one\r\nCookie: session=1\r\n");
  ASSERT_EQ(endpoint.requests().size(), 2u);
  for (const auto& request : endpoint.requests()) {
    EXPECT_FALSE(Has(request, kKey));
    EXPECT_FALSE(Has(request, "Authorization"));
    EXPECT_FALSE(Has(request, "Cookie"));
  }
  const std::string leaking =
      Post("/v1/completions",
           R"({"model":"m","prompt":"my key is secret\u002dkey-of-ndiaye"})");
  EXPECT_TRUE(Has(leaking, "malformed_request")) << leaking;
  EXPECT_EQ(endpoint.requests().size(), 2u);
  for (const auto& entry : events_.After(0)) {
    for (const auto& [name, value] : entry.fields) {
      EXPECT_FALSE(Has(value, kKey)) << name;
    }
  }
}

// Guards against relaying the response to another request.
TEST_F(gateway_test, ResponseToAnotherRequestIsNotRelayed) {
  const auto crossed = [](const std::string&) {
    return FullResponse("\r\nx-request-id: other\r\n", R"({"crossed":1})");
  };
  scripted_endpoint first({crossed});
  scripted_endpoint second({[](const std::string& request) {
    return FullResponse(request, R"({"own":1})");
  }});
  Start({first.address(), second.address()});
  const std::string response = Post("/v1/completions", kCompletionRequest);
  EXPECT_TRUE(Has(response, "own")) << response;
  EXPECT_FALSE(Has(response, "crossed"));
}

// Guards against a truncated response that looks complete.
TEST_F(gateway_test, TruncatedResponseIsRetriedOnAnotherEndpoint) {
  scripted_endpoint first({[](const std::string& request) {
    const std::string response = FullResponse(request, R"({"text":"abcdef"})");
    return response.substr(0, response.size() - 4);
  }});
  scripted_endpoint second({[](const std::string& request) {
    return FullResponse(request, R"({"text":"abcdef"})");
  }});
  Start({first.address(), second.address()});
  EXPECT_TRUE(Has(Post("/v1/completions", kCompletionRequest), "abcdef"));
  EXPECT_EQ(scheduler_.outcomes, (std::vector<routing::dispatch_outcome>{
                                     routing::dispatch_outcome::kBroken,
                                     routing::dispatch_outcome::kSucceeded}));
}

// `response` with another status line.
std::string WithStatus(const std::string& status, const std::string& response) {
  return "HTTP/1.1 " + status + " X" + response.substr(response.find("\r\n"));
}

// Guards against a response with a status that does not exist, which is no
// answer and does not tell whether the request ran.
TEST_F(gateway_test, StatusThatDoesNotExistIsNotRelayed) {
  std::vector<scripted_endpoint::script> scripts;
  for (const std::string status : {"000", "042", "101", "600", "999"}) {
    scripts.emplace_back([status](const std::string& request) {
      return WithStatus(status, FullResponse(request, R"({"broken":1})"));
    });
  }
  const auto count = scripts.size();
  scripted_endpoint only(scripts);
  Start({only.address()});
  for (std::size_t i = 0; i < count; ++i) {
    const auto key = "Idempotency-Key: k" + std::to_string(i) + "\r\n";
    const std::string response = Post("/orders/1", "{}", key);
    EXPECT_TRUE(Has(response, "endpoint_failed")) << response;
    EXPECT_FALSE(Has(response, "broken")) << response;
  }
  EXPECT_EQ(only.requests().size(), count);
}

// The same where the request may be repeated.
TEST_F(gateway_test, StatusThatDoesNotExistIsRetriedOnAnotherEndpoint) {
  scripted_endpoint first({[](const std::string& request) {
    return WithStatus("000", FullResponse(request, R"({"broken":1})"));
  }});
  scripted_endpoint second({[](const std::string& request) {
    return FullResponse(request, R"({"text":"abcdef"})");
  }});
  Start({first.address(), second.address()});
  EXPECT_TRUE(Has(Post("/v1/completions", kCompletionRequest), "abcdef"));
  EXPECT_EQ(scheduler_.outcomes, (std::vector<routing::dispatch_outcome>{
                                     routing::dispatch_outcome::kBroken,
                                     routing::dispatch_outcome::kSucceeded}));
}

// Guards against an interim response that is relayed as the answer.
TEST_F(gateway_test, InterimResponsesAreNotRelayed) {
  scripted_endpoint only({[](const std::string& request) {
    return "HTTP/1.1 100 Continue\r\n\r\n" +
           WithStatus("103", UnframedResponse(request, "")) +
           FullResponse(request, R"({"order":1})");
  }});
  Start({only.address()});
  const std::string response =
      Post("/orders/1", "{}", "Idempotency-Key: one\r\n");
  EXPECT_TRUE(Has(response, "HTTP/1.1 200")) << response;
  EXPECT_TRUE(Has(response, R"({"order":1})")) << response;
}

// Guards against the first part of an answer without length that is relayed as
// whole because its endpoint crashed.
TEST_F(gateway_test, UnframedResponseOfACrashedEndpointIsAnError) {
  const auto cut = [](const std::string& request) {
    return UnframedResponse(request, R"({"order":1)");
  };
  scripted_endpoint only({cut}, after_scripts::kCrash);
  Start({only.address()});
  const std::string response =
      Post("/orders/1", "{}", "Idempotency-Key: one\r\n");
  EXPECT_TRUE(Has(response, "endpoint_failed")) << response;
  EXPECT_FALSE(Has(response, "order\":1"));
}

// Guards against whole answers that are withheld because they have no length.
TEST_F(gateway_test, UnframedResponseIsRelayed) {
  const auto whole = [](const std::string& request) {
    return UnframedResponse(request, R"({"order":1})");
  };
  scripted_endpoint only({whole});
  Start({only.address()});
  EXPECT_TRUE(Has(Post("/orders/1", "{}", "Idempotency-Key: one\r\n"),
                  R"({"order":1})"));
}

TEST_F(gateway_test, BrokenStreamResumesWithoutLostOrDuplicateTokens) {
  scripted_endpoint first({[](const std::string& request) {
    return StreamHeader(request) + TokenEvent(0) + TokenEvent(1);
  }});
  scripted_endpoint second({[](const std::string& request) {
    EXPECT_TRUE(Has(request, "\"resume_from\":2")) << request;
    // Repeats a token that was already sent to the caller.
    return StreamHeader(request) + TokenEvent(1) + TokenEvent(2) +
           "data: [DONE]\n\n";
  }});
  Start({first.address(), second.address()});
  const std::string response = Post("/v1/completions", kStreamRequest);
  for (const char* token : {"\"t0\"", "\"t1\"", "\"t2\""}) {
    EXPECT_EQ(CountOf(response, token), 1u) << response;
  }
  EXPECT_TRUE(Has(response, "[DONE]"));
  EXPECT_TRUE(Has(response, "\r\n0\r\n\r\n"));
}

// Guards against a truncated stream that looks complete to the caller: the
// last chunk, which ends a complete body, must not be sent.
TEST_F(gateway_test, StreamThatCannotResumeEndsAsAnError) {
  const auto cut = [](const std::string& request) {
    return StreamHeader(request) + TokenEvent(0);
  };
  scripted_endpoint only({cut});
  Start({only.address()});
  const std::string response = Post("/v1/completions", kStreamRequest);
  EXPECT_TRUE(Has(response, "answer_incomplete")) << response;
  EXPECT_FALSE(Has(response, "[DONE]"));
  EXPECT_FALSE(Has(response, "\r\n0\r\n\r\n"));
}

// Guards against a stream with a missing token.
TEST_F(gateway_test, SkippedTokenBreaksTheStream) {
  scripted_endpoint only({[](const std::string& request) {
    return StreamHeader(request) + TokenEvent(0) + TokenEvent(2) +
           "data: [DONE]\n\n";
  }});
  Start({only.address()});
  const std::string response = Post("/v1/completions", kStreamRequest);
  EXPECT_FALSE(Has(response, "t2"));
  EXPECT_TRUE(Has(response, "answer_incomplete"));
}

// Guards against executing an order twice after its endpoint closed the
// connection without a response.
TEST_F(gateway_test, OrderWithoutResponseIsNotRetried) {
  const auto silent = [](const std::string&) { return ""; };
  scripted_endpoint first({silent});
  scripted_endpoint second({silent});
  Start({first.address(), second.address()});
  const std::string response =
      Post("/orders/7", "{}", "Idempotency-Key: seven\r\n");
  EXPECT_TRUE(Has(response, "endpoint_failed")) << response;
  EXPECT_TRUE(Has(response, "\"executed\":\"unknown\""));
  EXPECT_TRUE(second.requests().empty());
  EXPECT_EQ(records_.abandoned, 1);
}

TEST_F(gateway_test, OrderIsRetriedAfterRefusedConnection) {
  boost::asio::io_context unused;
  boost::asio::ip::tcp::acceptor closed(
      unused, {boost::asio::ip::address_v4::loopback(), 0});
  const std::string address =
      "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  scripted_endpoint second({[](const std::string& request) {
    return FullResponse(request, R"({"run":1})");
  }});
  Start({address, second.address()});
  EXPECT_TRUE(Has(Post("/orders/8", "{}", "Idempotency-Key: e\r\n"), "run"));
  EXPECT_TRUE(Has(Post("/orders/8", "{}", "Idempotency-Key: e\r\n"),
                  "Idempotent-Replayed: true"));
  EXPECT_EQ(second.requests().size(), 1u);
}

// Guards against sending an attempt after its record was abandoned.
TEST_F(gateway_test, AbandonedAttemptIsNotSent) {
  scripted_endpoint endpoint({});
  records_.may_dispatch = false;
  Start({endpoint.address()});
  const std::string response =
      Post("/orders/9", "{}", "Idempotency-Key: nine\r\n");
  EXPECT_TRUE(Has(response, "\"executed\":\"no\"")) << response;
  EXPECT_TRUE(endpoint.requests().empty());
  EXPECT_EQ(records_.not_run, 1);
}

TEST_F(gateway_test, IsolatedHostRefusesAndListsOtherHosts) {
  scripted_endpoint endpoint({});
  Start({endpoint.address()});
  fleet_.current = fleet::host_status::kIsolated;
  const std::string response = Post("/v1/completions", kCompletionRequest);
  EXPECT_TRUE(Has(response, "host_isolated"));
  EXPECT_TRUE(Has(response, "127.0.0.1:2"));
  EXPECT_TRUE(endpoint.requests().empty());
}

// Guards against an unresponsive endpoint that blocks the caller indefinitely.
TEST_F(gateway_test, UnresponsiveEndpointTimesOut) {
  boost::asio::io_context unused;
  boost::asio::ip::tcp::acceptor silent(
      unused, {boost::asio::ip::address_v4::loopback(), 0});
  scripted_endpoint second({[](const std::string& request) {
    return FullResponse(request, R"({"own":1})");
  }});
  Start({"127.0.0.1:" + std::to_string(silent.local_endpoint().port()),
         second.address()});
  EXPECT_TRUE(Has(Post("/v1/completions", kCompletionRequest), "own"));
}

}  // namespace
}  // namespace bluebell::gateway
