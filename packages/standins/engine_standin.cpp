#include "standins/engine_standin.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"
#include "standins/token_text.h"

namespace bluebell::standins {
namespace {

using nlohmann::json;

constexpr int kDefaultPriority = 5;
constexpr std::int64_t kDefaultMaxTokens = 16;
constexpr std::size_t kPrefixBytes = 256;
constexpr std::size_t kCachedPrefixes = 64;
constexpr std::size_t kCacheEventsKept = 1024;
// Every so many cache events, one is not published.
constexpr std::uint64_t kCacheEventGap = 7;
const std::string kStreams = "/v1/streams/";

clock::duration TokenInterval(double tokens_per_second) {
  return std::chrono::duration_cast<clock::duration>(
      std::chrono::duration<double>(1 / tokens_per_second));
}

}  // namespace

engine_standin::engine_standin(clock& time, engine_options options)
    : endpoint_standin(time),
      options_(std::move(options)),
      memory_(time, options_.memory_bytes, options_.times) {
  if (options_.incarnation.empty()) options_.incarnation = MakeUniqueId();
  for (const auto& model : options_.models) memory_.Preload(model);
  SampleLoad();
}

bool engine_standin::IsWork(const http_request& request) const {
  return request.method == "POST" && (request.path == "/v1/completions" ||
                                      request.path == "/v1/chat/completions");
}

std::map<std::string, field_reader> engine_standin::FaultReaders() {
  return {{"lose_orders", Count(lose_orders_)},
          {"order_delay_ms", Duration(order_delay_)}};
}

json engine_standin::Counters() const {
  json all = {{"completions", 0},  {"tokens", 0},
              {"finished", 0},     {"cancelled", 0},
              {"disconnected", 0}, {"peak_running", 0},
              {"peak_queued", 0},  {"orders", 0},
              {"orders_stale", 0}, {"orders_repeated", 0},
              {"orders_lost", 0},  {"orders_outdated_accepted", 0},
              {"not_resident", 0}};
  for (const auto& [name, value] : counters_) all[name] = value;
  all["memory_total"] = memory_.total();
  all["memory_used"] = memory_.used();
  all["peak_memory"] = memory_.peak();
  all["overcommits"] = memory_.overcommits();
  all["loads"] = memory_.loads();
  all["unloads"] = memory_.unloads();
  all["highest_fence"] = highest_fence_;
  all["incarnation"] = options_.incarnation;
  return all;
}

void engine_standin::HandleWork(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  const json body = json::parse(request.body, nullptr, false);
  stream_ptr added;
  try {
    added = ReadStream(exchange, body);
  } catch (const json::exception& invalid) {
    return exchange->Send(ErrorResponse(400, "invalid_body", invalid.what()));
  }
  if (!memory_.Serves(added->model)) {
    ++counters_["not_resident"];
    return exchange->Send(
        ErrorResponse(404, "model_not_resident", added->model));
  }
  Admit(added);
}

// Reads the fields of a completion; throws `json::exception` on wrong types.
engine_standin::stream_ptr engine_standin::ReadStream(
    const exchange_ptr& exchange, const json& body) const {
  auto read = std::make_shared<stream>();
  const auto& request = exchange->request();
  read->exchange = exchange;
  read->request_id = Header(request, "x-request-id");
  read->model = body.at("model").get<std::string>();
  read->prompt = PromptOf(body);
  read->limit = body.value("max_tokens", kDefaultMaxTokens);
  read->first = body.value("resume_from", std::int64_t{0});
  read->next = read->first;
  read->priority = body.value("priority", kDefaultPriority);
  read->streamed = body.value("stream", false);
  read->id = body.value("stream_id", "");
  read->chat = request.path == "/v1/chat/completions";
  return read;
}

void engine_standin::Admit(const stream_ptr& added) {
  ++counters_["completions"];
  added->sequence = next_sequence_++;
  if (added->id.empty()) added->id = "s" + std::to_string(added->sequence);
  // A resumed stream replaces the one whose connection broke unnoticed.
  const auto previous = streams_.find(added->id);
  if (previous != streams_.end()) Drop(stream_ptr(previous->second));
  streams_[added->id] = added;
  memory_.AddUser(added->model);
  added->exchange->OnDisconnect([this, weak = std::weak_ptr<stream>(added)] {
    const auto lost = weak.lock();
    if (!lost) return;
    ++counters_["disconnected"];
    Leave(lost);
  });
  waiting_[{added->priority, added->sequence}] = added;
  StartWaiting();
  auto& peak = counters_["peak_queued"];
  peak = std::max<std::int64_t>(peak, waiting_.size());
}

void engine_standin::StartWaiting() {
  while (running_ < static_cast<std::size_t>(options_.slots) &&
         !waiting_.empty()) {
    const auto first = waiting_.begin()->second;
    waiting_.erase(waiting_.begin());
    Start(first);
  }
}

void engine_standin::Start(const stream_ptr& started) {
  ++running_;
  auto& peak = counters_["peak_running"];
  peak = std::max<std::int64_t>(peak, running_);
  started->running = true;
  if (started->streamed) {
    http_response head;
    head.content_type = "text/event-stream";
    head.headers = {{"x-request-id", started->request_id},
                    {"x-stream-id", started->id}};
    started->exchange->StartStream(std::move(head));
  }
  const bool cached = TouchPrefix(started->model, started->prompt);
  const clock::duration prefill = options_.first_token;
  started->step =
      time().CallAfter(cached ? prefill / 4 : prefill,
                       [this, &running = *started] { Step(running); });
}

// Generates one token and plans the next, or ends the stream.
void engine_standin::Step(stream& running) {
  if (running.next < running.limit) Emit(running);
  if (running.next >= running.limit) {
    return Complete(stream_ptr(streams_.at(running.id)));
  }
  running.step = time().CallAfter(TokenInterval(options_.tokens_per_second),
                                  [this, &running] { Step(running); });
}

void engine_standin::Emit(stream& running) {
  ++counters_["tokens"];
  const auto index = running.next++;
  if (!running.streamed) return;
  const json token = {
      {"index", index},
      {"text", TokenText(running.model, running.prompt, index)}};
  running.exchange->Write("data: " + token.dump() + "\n\n");
}

void engine_standin::Complete(const stream_ptr& ended) {
  ++counters_["finished"];
  if (ended->streamed) {
    ended->exchange->Write("data: [DONE]\n\n");
    ended->exchange->EndStream();
  } else {
    auto response = JsonResponse(200, WholeAnswer(*ended));
    response.headers = {{"x-request-id", ended->request_id}};
    ended->exchange->Send(std::move(response));
  }
  Leave(ended);
}

json engine_standin::WholeAnswer(const stream& ended) const {
  const auto text =
      GeneratedText(ended.model, ended.prompt, ended.first, ended.next);
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (ended.chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  const auto prompt_tokens = CountTokens(ended.prompt);
  const auto generated = ended.next - ended.first;
  return {{"id", ended.id},
          {"object", ended.chat ? "chat.completion" : "text_completion"},
          {"model", ended.model},
          {"choices", json::array({choice})},
          {"usage",
           {{"prompt_tokens", prompt_tokens},
            {"completion_tokens", generated},
            {"total_tokens", prompt_tokens + generated}}}};
}

// Ends a stream before its last token; its client sees the connection close.
void engine_standin::Drop(const stream_ptr& ended) {
  ++counters_["cancelled"];
  Leave(ended);
  ended->exchange->Close();
}

// Frees the slot or the place in the queue of a stream.
void engine_standin::Leave(const stream_ptr& ended) {
  const auto found = streams_.find(ended->id);
  if (found == streams_.end() || found->second != ended) return;
  streams_.erase(found);
  ended->step.reset();
  if (ended->running) {
    --running_;
  } else {
    waiting_.erase({ended->priority, ended->sequence});
  }
  memory_.RemoveUser(ended->model);
  StartWaiting();
}

void engine_standin::CancelStream(const exchange_ptr& exchange,
                                  const std::string& id) {
  const auto found = streams_.find(id);
  if (found == streams_.end()) {
    return exchange->Send(ErrorResponse(404, "unknown_stream", id));
  }
  Drop(stream_ptr(found->second));
  exchange->Send(JsonResponse(200, {{"cancelled", id}}));
}

void engine_standin::HandleOther(const exchange_ptr& exchange) {
  const auto& request = exchange->request();
  if (request.method == "GET" && request.path == "/v1/load") {
    return exchange->Send(JsonResponse(200, LoadReport()));
  }
  if (request.method == "POST" && request.path == "/v1/orders") {
    return HandleOrder(exchange);
  }
  if (request.method == "GET" && request.path == "/v1/cache-events") {
    return exchange->Send(
        JsonResponse(200, CacheEvents(NumberOf(Query(request, "after")))));
  }
  if (request.method == "DELETE" && request.path.rfind(kStreams, 0) == 0) {
    return CancelStream(exchange, request.path.substr(kStreams.size()));
  }
  exchange->Send(ErrorResponse(404, "unknown_route", request.target));
}

void engine_standin::HandleOrder(const exchange_ptr& exchange) {
  const json body = json::parse(exchange->request().body, nullptr,
                                /*allow_exceptions=*/false);
  std::string order_id;
  std::string operation;
  model_size target;
  std::uint64_t fence = 0;
  try {
    order_id = body.at("order_id").get<std::string>();
    operation = body.at("operation").get<std::string>();
    target.name = body.at("target").get<std::string>();
    target.bytes = body.value("memory_bytes", std::int64_t{0});
    fence = body.value("fence", std::uint64_t{0});
  } catch (const json::exception& invalid) {
    return exchange->Send(ErrorResponse(400, "invalid_order", invalid.what()));
  }
  static const std::set<std::string> kOperations = {
      "load_model", "unload_model", "load_adapter", "unload_adapter"};
  if (kOperations.count(operation) == 0) {
    return exchange->Send(ErrorResponse(400, "invalid_order", operation));
  }
  if (fence < highest_fence_) {
    if (options_.checks_fencing) {
      ++counters_["orders_stale"];
      return exchange->Send(JsonResponse(
          409, {{"error", "stale_fence"}, {"fence", highest_fence_}}));
    }
    ++counters_["orders_outdated_accepted"];
  }
  highest_fence_ = std::max(highest_fence_, fence);
  exchange->Send(JsonResponse(202, {{"order_id", order_id}}));
  if (!orders_seen_.insert(order_id).second) {
    ++counters_["orders_repeated"];
    return;
  }
  ++counters_["orders"];
  if (TakeOne(lose_orders_)) {
    ++counters_["orders_lost"];
    return;
  }
  Later(order_delay_,
        [this, operation, target] { CarryOut(operation, target); });
}

void engine_standin::CarryOut(const std::string& operation,
                              const model_size& target) {
  if (operation == "load_model") return memory_.Load(target, false);
  if (operation == "load_adapter") return memory_.Load(target, true);
  memory_.Unload(target.name);
}

// Takes the sample that the load report shows until the next one.
void engine_standin::SampleLoad() {
  if (options_.report_lag.count() == 0) return;
  sample_ = CurrentLoad();
  sampled_at_ = time().now();
  next_sample_ =
      time().CallAfter(options_.report_lag, [this] { SampleLoad(); });
}

json engine_standin::LoadReport() const {
  const bool live = options_.report_lag.count() == 0;
  json report = live ? CurrentLoad() : sample_;
  const auto age = live ? clock::duration::zero() : time().now() - sampled_at_;
  report["sampled_ms_ago"] =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return report;
}

json engine_standin::CurrentLoad() const {
  return {{"incarnation", options_.incarnation},
          {"state", leaving() ? "leaving" : "live"},
          {"running", running_},
          {"queued", waiting_.size()},
          {"tokens_per_second",
           static_cast<double>(running_) * options_.tokens_per_second},
          {"memory_total", memory_.total()},
          {"memory_used", memory_.used()},
          {"models", memory_.Models()},
          {"adapters", memory_.Adapters()},
          {"loading", memory_.Loading()}};
}

// Marks the prompt's prefix as used last and returns whether it was cached.
bool engine_standin::TouchPrefix(const std::string& model,
                                 const std::string& prompt) {
  const std::string prefix =
      Sha256Hex(model + '\n' + prompt.substr(0, kPrefixBytes));
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  const bool cached = found != prefixes_.end();
  if (cached) prefixes_.erase(found);
  prefixes_.push_back(prefix);
  if (!cached) AddCacheEvent("stored", prefix);
  if (prefixes_.size() > kCachedPrefixes) {
    AddCacheEvent("evicted", prefixes_.front());
    prefixes_.pop_front();
  }
  return cached;
}

void engine_standin::AddCacheEvent(const std::string& kind,
                                   const std::string& prefix) {
  const auto sequence = next_cache_event_++;
  if (sequence % kCacheEventGap == 0) return;
  cache_events_.push_back(
      {sequence, time().now(),
       json{{"sequence", sequence}, {"kind", kind}, {"prefix", prefix}}});
  if (cache_events_.size() > kCacheEventsKept) cache_events_.pop_front();
}

json engine_standin::CacheEvents(std::uint64_t after) const {
  json events = json::array();
  for (const auto& entry : cache_events_) {
    const bool published = time().now() - entry.at >= options_.report_lag;
    if (entry.sequence > after && published) events.push_back(entry.body);
  }
  return {{"events", events}};
}

}  // namespace bluebell::standins
