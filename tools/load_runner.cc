#include "tools/load_runner.h"

#include <sstream>

#include "src/common/hash.h"
#include "standins/engine_model.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

constexpr Duration kSendTick = 1ms;
constexpr Duration kAnswerTimeout = 30s;
constexpr double kMicrosecondsPerMillisecond = 1000;

std::string expected_text(const PlannedRequest& planned) {
  const uint64_t prompt_hash = hash_bytes(planned.prompt);
  std::string text;
  for (uint32_t index = 0; index < planned.max_tokens; ++index) {
    text += standins::EngineModel::token_text(prompt_hash, index);
  }
  return text;
}

double to_ms(Duration span) { return static_cast<double>(span.count()) / kMicrosecondsPerMillisecond; }

json quantiles_json(const Samples& samples) {
  return {{"count", samples.count()},
          {"p50", samples.quantile(0.5)},
          {"p95", samples.quantile(0.95)},
          {"p99", samples.quantile(0.99)}};
}

}  // namespace

LoadRunner::LoadRunner(EventLoop& loop, std::vector<Endpoint> sidecars, std::vector<PlannedRequest> plan)
    : loop_(loop), client_(loop), sidecars_(std::move(sidecars)) {
  for (PlannedRequest& planned : plan) {
    records_.emplace_back().planned = std::move(planned);
  }
  readings_.resize(records_.size());
}

void LoadRunner::start() {
  started_ = loop_.now();
  loop_.every(kSendTick, [this] { send_due(); });
}

void LoadRunner::send_due() {
  while (next_ < records_.size() && started_ + records_[next_].planned.at <= loop_.now()) {
    send(next_++);
  }
  if (next_ == records_.size() && open_ == 0 && !finished_) {
    finished_ = true;
    if (on_finished) {
      on_finished();
    }
  }
}

void LoadRunner::send(size_t position) {
  RequestRecord& record = records_[position];
  const PlannedRequest& planned = record.planned;
  record.intended = started_ + planned.at;
  ++open_;
  http::ClientRequest request;
  request.endpoint = sidecars_[position % sidecars_.size()];
  request.timeout = kAnswerTimeout;
  request.method = "POST";
  request.headers.push_back({"Authorization", "Bearer " + tool_api_key(planned.tenant)});
  if (!planned.repeatable) {
    request.headers.push_back({"X-Repeatable", "no"});
    request.headers.push_back({"Idempotency-Key", planned.idempotency_key});
  }
  http::PieceHandler on_piece;
  if (planned.request_class == RequestClass::kPlainWork) {
    request.path = "/services/" + planned.serves + "/work";
    request.body = planned.prompt;
  } else {
    request.path = "/v1/completions";
    request.body = json{
        {"model", planned.serves},
        {"prompt", planned.prompt},
        {"max_tokens", planned.max_tokens},
        {"stream",
         true}}.dump();
    on_piece = [this, position](const std::string& bytes) { on_bytes(position, bytes); };
  }
  client_.start(request, on_piece,
                [this, position](const http::ClientResult& result) { on_done(position, result); });
}

void LoadRunner::on_bytes(size_t position, const std::string& bytes) {
  readings_[position].stream.feed(bytes, [this, position](const std::string& data) {
    on_event(position, data);
    return true;
  });
}

void LoadRunner::on_event(size_t position, const std::string& data) {
  RequestRecord& record = records_[position];
  Reading& reading = readings_[position];
  if (data == http::kStreamEndMark) {
    reading.done = true;
    return;
  }
  const json body = json::parse(data, nullptr, false);
  if (!body.is_object()) {
    record.text_correct = false;
    return;
  }
  if (body.contains("error")) {
    record.error_code = body["error"].value("code", "unnamed");
    record.outcome = body["error"].value("outcome", "");
    return;
  }
  if (body.contains("usage")) {
    record.prompt_tokens = body["usage"].value("prompt_tokens", 0U);
    record.cached_tokens = body["usage"].value("/prompt_tokens_details/cached_tokens"_json_pointer, 0U);
    return;
  }
  const std::string text = body.value("/choices/0/text"_json_pointer, "");
  if (text.empty()) {
    return;  // the closing event
  }
  reading.text += text;
  record.last_token = loop_.now();
  if (record.pieces++ == 0) {
    record.first_token = record.last_token;
  }
}

void LoadRunner::on_done(size_t position, const http::ClientResult& result) {
  RequestRecord& record = records_[position];
  Reading& reading = readings_[position];
  --open_;
  record.finished = true;
  record.ended = loop_.now();
  record.status = result.status;
  for (const http::Header& header : result.headers) {
    record.has_retry_after |= header.name == "Retry-After";
  }
  const bool is_plain = record.planned.request_class == RequestClass::kPlainWork;
  if (result.status == 200) {
    if (!is_plain && record.error_code.empty()) {
      record.text_correct &= reading.done && reading.text == expected_text(record.planned);
      record.outcome = "complete";
    } else if (!is_plain) {
      // What came before the error must still be the beginning of the right answer.
      record.text_correct &= expected_text(record.planned).starts_with(reading.text) && !reading.done;
    } else {
      record.outcome = "complete";
    }
    return;
  }
  const json body = json::parse(result.body, nullptr, false);
  record.error_code = "connection_lost";
  record.outcome = "lost";
  if (body.is_object() && body.contains("error")) {
    record.error_code = body["error"].value("code", "unnamed");
    record.outcome = body["error"].value("outcome", "");
  }
}

std::vector<RequestRecord> run_workload(const std::vector<Endpoint>& sidecars,
                                        const WorkloadSettings& workload,
                                        const std::vector<TimedAction>& actions) {
  EventLoop loop;
  LoadRunner runner(loop, sidecars, make_workload(workload));
  runner.on_finished = [&loop] { loop.stop(); };
  for (const TimedAction& timed : actions) {
    loop.after(timed.at, timed.action);
  }
  runner.start();
  loop.run();
  return runner.records();
}

json make_report(const std::vector<RequestRecord>& records) {
  Samples first_token;
  Samples between;
  std::map<std::string, Samples> by_class;
  std::map<std::string, uint64_t> errors;
  uint64_t prompt_tokens = 0;
  uint64_t cached_tokens = 0;
  uint64_t complete = 0;
  uint64_t wrong_texts = 0;
  uint64_t refusals_without_retry_after = 0;
  for (const RequestRecord& record : records) {
    wrong_texts += record.text_correct ? 0 : 1;
    if (!record.error_code.empty()) {
      ++errors[record.error_code];
      refusals_without_retry_after +=
          (record.status == 429 || record.status == 503) && !record.has_retry_after;
      continue;
    }
    ++complete;
    prompt_tokens += record.prompt_tokens;
    cached_tokens += record.cached_tokens;
    const bool streamed = record.pieces > 0;
    const double first = to_ms((streamed ? record.first_token : record.ended) - record.intended);
    by_class[request_class_name(record.planned.request_class)].add(first);
    if (streamed) {
      first_token.add(first);
    }
    if (record.pieces > 1) {
      between.add(to_ms(record.last_token - record.first_token) / (record.pieces - 1));
    }
  }
  json classes = json::object();
  for (const auto& [name, samples] : by_class) {
    classes[name] = quantiles_json(samples);
  }
  const double hit_rate =
      prompt_tokens == 0 ? 0 : static_cast<double>(cached_tokens) / static_cast<double>(prompt_tokens);
  return {{"requests", records.size()},
          {"complete", complete},
          {"errors", errors},
          {"wrong_texts", wrong_texts},
          {"refusals_without_retry_after", refusals_without_retry_after},
          {"prompt_tokens", prompt_tokens},
          {"cached_tokens", cached_tokens},
          {"hit_rate", hit_rate},
          {"first_token_ms", quantiles_json(first_token)},
          {"between_tokens_ms", quantiles_json(between)},
          {"first_answer_ms_by_class", classes}};
}

json check_ledgers(const std::vector<RequestRecord>& records,
                   const std::map<std::string, uint32_t>& runs_per_key) {
  uint64_t keys_run_twice = 0;
  uint64_t false_not_run = 0;
  uint64_t complete_without_run = 0;
  for (const RequestRecord& record : records) {
    const std::string& key = record.planned.idempotency_key;
    if (key.empty() || !record.finished) {
      continue;
    }
    const auto found = runs_per_key.find(key);
    const uint32_t runs = found == runs_per_key.end() ? 0 : found->second;
    keys_run_twice += runs > 1;
    false_not_run += record.outcome == "not_run" && runs > 0;
    complete_without_run += record.outcome == "complete" && runs == 0;
  }
  return {{"keys_run_twice", keys_run_twice},
          {"false_not_run", false_not_run},
          {"complete_without_run", complete_without_run}};
}

std::string report_table(const json& report) {
  std::ostringstream table;
  table.setf(std::ios::fixed);
  table.precision(2);
  const auto quantile_line = [&](const std::string& name, const json& quantiles) {
    table << name << "  p50 " << quantiles["p50"].get<double>() << "  p95 " << quantiles["p95"].get<double>()
          << "  p99 " << quantiles["p99"].get<double>() << "  (" << quantiles["count"].get<size_t>() << ")\n";
  };
  table << "requests             " << report["requests"].get<size_t>() << "\n";
  table << "complete             " << report["complete"].get<size_t>() << "\n";
  for (const auto& [code, count] : report["errors"].items()) {
    table << "error " << code << "  " << count.get<size_t>() << "\n";
  }
  table << "wrong texts          " << report["wrong_texts"].get<size_t>() << "\n";
  table << "prefix hit rate      " << report["hit_rate"].get<double>() << "\n";
  quantile_line("first token ms      ", report["first_token_ms"]);
  quantile_line("between tokens ms   ", report["between_tokens_ms"]);
  for (const auto& [name, quantiles] : report["first_answer_ms_by_class"].items()) {
    quantile_line("  " + name, quantiles);
  }
  if (report.contains("ledgers")) {
    for (const auto& [name, count] : report["ledgers"].items()) {
      table << name << "  " << count.get<size_t>() << "\n";
    }
  }
  return table.str();
}

}  // namespace stoat::tools
