#pragma once

#include <string>

#include "base/problem.h"
#include "gateway/http_server.h"

namespace bluebell::gateway {

/// Handler that answers 200 without a body.
inline void AnswerOk(const http_request&, response_writer& sink,
                     boost::asio::yield_context yield) {
  http_response answer;
  answer.status = 200;
  sink.SendResponse(answer, yield);
}

/// Error handler that answers with the status of the problem, without a body.
inline http_response AnswerProblem(problem_code code, const std::string&) {
  http_response answer;
  answer.status = Describe(code).http_status;
  return answer;
}

}  // namespace bluebell::gateway
