#include "tools/load_generator.h"

#include <utility>

#include "standins/backend_server.h"

namespace stoat::tools {

namespace {

constexpr Duration kSendInterval = 1ms;
/// The client waits this much longer than the deadline that it sends with the request.
constexpr Duration kClientTimeoutMargin = 500ms;
constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

std::string expected_stream(const std::string& prompt_parts, uint32_t tokens) {
  std::string text;
  for (uint32_t index = 0; index < tokens; ++index) {
    text += "id: " + std::to_string(index) + "\ndata: " + standins::token_text(prompt_parts, index) + "\n\n";
  }
  return text;
}

std::string header_of(const http::ClientResult& result, const std::string& name) {
  for (const http::Header& header : result.headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return "";
}

}  // namespace

std::vector<http::Header> request_headers(const LoadTarget& target, const std::string& request_id,
                                          int64_t deadline_ms) {
  const dispatch::HeaderNames& names = target.headers;
  return {{"Host", target.host},
          {names.request_id, request_id},
          {names.deadline_ms, std::to_string(deadline_ms)},
          {names.credential, names.credential_scheme + " " + target.key}};
}

LoadGenerator::LoadGenerator(EventLoop& loop, LoadTarget target, std::vector<RequestClass> classes,
                             std::vector<PlannedRequest> plan)
    : loop_(loop), client_(loop), target_(std::move(target)), classes_(std::move(classes)) {
  for (PlannedRequest& planned : plan) {
    records_.emplace_back().planned = std::move(planned);
  }
  bodies_.resize(records_.size());
}

void LoadGenerator::start() {
  started_ = loop_.now();
  loop_.every(kSendInterval, [this] { send_due(); });
}

void LoadGenerator::send_due() {
  while (next_position_ < records_.size() && started_ + records_[next_position_].planned.at <= loop_.now()) {
    send(next_position_++);
  }
  if (ended_count_ == records_.size() && on_finished) {
    std::exchange(on_finished, nullptr)();
  }
}

http::ClientRequest LoadGenerator::make_request(size_t position) const {
  const PlannedRequest& planned = records_[position].planned;
  const RequestClass& request_class = classes_[planned.request_class];
  http::ClientRequest request;
  request.endpoint = target_.routers[position % target_.routers.size()];
  request.method = "POST";
  request.path = "/" + request_class.route + "/" + planned.id;
  request.timeout = Duration(1000 * request_class.deadline_ms) + kClientTimeoutMargin;
  request.headers = request_headers(target_, planned.id, request_class.deadline_ms);
  if (request_class.streaming) {
    request.headers.push_back({names_.model, target_.model});
    request.headers.push_back({names_.prompt_parts, planned.prompt_parts});
    request.headers.push_back({names_.token_counts, std::to_string(planned.prompt_tokens) + "," +
                                                        std::to_string(request_class.output_tokens)});
  }
  request.body = "{}";
  return request;
}

void LoadGenerator::send(size_t position) {
  const bool streaming = classes_[records_[position].planned.request_class].streaming;
  http::PieceHandler on_stream_piece;
  if (streaming) {
    on_stream_piece = [this, position](const std::string& piece) { on_piece(position, piece); };
  }
  client_.start(make_request(position), on_stream_piece,
                [this, position](const http::ClientResult& result) { on_done(position, result); });
}

void LoadGenerator::on_piece(size_t position, const std::string& piece) {
  RequestRecord& record = records_[position];
  if (bodies_[position].empty()) {
    record.time_to_first_event = loop_.now() - (started_ + record.planned.at);
  }
  bodies_[position] += piece;
}

bool LoadGenerator::is_correct_response(size_t position, const http::ClientResult& result) const {
  const PlannedRequest& planned = records_[position].planned;
  const RequestClass& request_class = classes_[planned.request_class];
  return request_class.streaming
             ? bodies_[position] == expected_stream(planned.prompt_parts, request_class.output_tokens)
             : result.body == standins::kPlainResponse;
}

void LoadGenerator::on_done(size_t position, const http::ClientResult& result) {
  RequestRecord& record = records_[position];
  const RequestClass& request_class = classes_[record.planned.request_class];
  record.ended = true;
  record.status = result.status;
  ++ended_count_;
  if (result.status == kTooManyRequests || result.status == kUnavailable) {
    record.outcome = RequestOutcome::kRefused;
    return;
  }
  if (result.status != kOk) {
    return;
  }
  record.outcome = is_correct_response(position, result) ? RequestOutcome::kComplete : RequestOutcome::kWrong;
  if (!request_class.streaming) {
    record.time_to_first_event = loop_.now() - (started_ + record.planned.at);
  }
  record.late = record.time_to_first_event > Duration(1000 * request_class.target_ms);
  const std::string cached = header_of(result, standins::kCachedTokensHeader);
  record.cached_tokens = cached.empty() ? 0 : static_cast<uint32_t>(std::stoul(cached));
}

std::vector<RequestRecord> run_load(const LoadTarget& target, const std::vector<RequestClass>& classes,
                                    std::vector<PlannedRequest> plan,
                                    const std::vector<TimedAction>& actions) {
  EventLoop loop;
  LoadGenerator generator(loop, target, classes, std::move(plan));
  generator.on_finished = [&loop] { loop.stop(); };
  for (const TimedAction& timed : actions) {
    loop.after(timed.at, timed.action);
  }
  generator.start();
  loop.run();
  return generator.records();
}

}  // namespace stoat::tools
