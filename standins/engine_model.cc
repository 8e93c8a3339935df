#include "standins/engine_model.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::standins {

const char* refusal_name(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kWrongIncarnation:
      return "wrong_incarnation";
    case Refusal::kWrongWeights:
      return "wrong_weights";
    case Refusal::kLeaving:
      return "leaving";
    case Refusal::kFull:
      return "full";
    case Refusal::kLoading:
      return "loading";
  }
  return "unknown";
}

EngineModel::EngineModel(const EngineSettings& settings, uint64_t incarnation, uint64_t seed)
    : settings_(settings),
      incarnation_(incarnation),
      weights_version_(settings.weights_version),
      cache_(settings.cache_blocks, settings.feed, seed) {}

std::string EngineModel::token_text(uint64_t prompt_hash, uint32_t index) {
  return " " + to_hex(hash_pair(prompt_hash, index)).substr(0, 4);
}

Duration EngineModel::scaled(Duration span) const {
  return Duration(static_cast<int64_t>(static_cast<double>(span.count()) / settings_.time_scale));
}

Refusal EngineModel::submit(const EngineRequest& request, TimePoint now) {
  if (request.expected_incarnation != 0 && request.expected_incarnation != incarnation_) {
    return Refusal::kWrongIncarnation;
  }
  if (leaving_) {
    return Refusal::kLeaving;
  }
  if (!loading_version_.empty()) {
    return Refusal::kLoading;
  }
  if (!request.expected_weights.empty() && request.expected_weights != weights_version_) {
    return Refusal::kWrongWeights;
  }
  if (waiting_.size() >= settings_.max_waiting) {
    return Refusal::kFull;
  }
  const StreamKey key{request.request_id, request.attempt};
  Stream stream;
  stream.request = request;
  stream.chain = cache::block_chain(request.cache_seed, request.prompt, settings_.block_tokens);
  stream.prompt_hash = hash_bytes(request.prompt);
  stream.prompt_tokens = cache::count_tokens(request.prompt);
  stream.next_index = request.first_index;
  stream.ledger_line = ledger_.size();
  ledger_.push_back({request.request_id, request.attempt, request.idempotency_key, request.tenant,
                     weights_version_, stream.prompt_tokens, 0, 0, false, false, false});
  streams_[key] = std::move(stream);
  const auto place = std::find_if(waiting_.begin(), waiting_.end(), [&](const StreamKey& other) {
    return streams_[other].request.priority < request.priority;
  });
  waiting_.insert(place, key);
  ++active_;
  note_load(now);
  if (!iteration_running_) {
    begin_iteration(now);
  }
  return Refusal::kNone;
}

void EngineModel::start_prefill(Stream& stream, TimePoint now) {
  const size_t held = cache_.match(stream.chain);
  stream.cached_tokens = static_cast<uint32_t>(held * settings_.block_tokens);
  const size_t importable = std::min<size_t>(stream.request.import_blocks, stream.chain.size());
  stream.phase = Phase::kPrefill;
  if (importable > held) {
    stream.imported_tokens = static_cast<uint32_t>((importable - held) * settings_.block_tokens);
    const double import_us = settings_.import_us_per_token * stream.imported_tokens;
    stream.imported_at = now + scaled(settings_.import_base + Duration(static_cast<int64_t>(import_us)));
    stream.phase = Phase::kImport;
  }
  LedgerLine& line = ledger_[stream.ledger_line];
  line.cached_tokens = stream.cached_tokens;
  line.imported_tokens = stream.imported_tokens;
  line.started = true;
  // The last token is always computed, so that there is something to sample from.
  const uint32_t whole = stream.prompt_tokens + stream.request.first_index;
  const uint32_t reused = stream.cached_tokens + stream.imported_tokens;
  stream.prefill_left = std::max<uint32_t>(1, whole - std::min(whole, reused));
}

void EngineModel::end_import(Stream& stream, TimePoint now) {
  const uint32_t reused = stream.cached_tokens + stream.imported_tokens;
  cache_.store(stream.chain, 0, reused / settings_.block_tokens, now);
  stream.phase = Phase::kPrefill;
}

void EngineModel::start_waiting(TimePoint now) {
  while (!waiting_.empty() && running_.size() < settings_.max_running) {
    const StreamKey key = waiting_.front();
    waiting_.erase(waiting_.begin());
    Stream& stream = streams_[key];
    start_prefill(stream, now);
    running_.push_back(key);
  }
  note_load(now);
}

void EngineModel::begin_iteration(TimePoint now) {
  start_waiting(now);
  if (running_.empty()) {
    iteration_running_ = false;
    return;
  }
  uint32_t prefill_budget = settings_.prefill_chunk_tokens;
  Duration length = settings_.iteration_base;
  for (const StreamKey& key : running_) {
    Stream& stream = streams_[key];
    if (stream.phase == Phase::kDecode) {
      length += settings_.decode_per_sequence;
      continue;
    }
    if (stream.phase == Phase::kImport && stream.imported_at <= now) {
      end_import(stream, now);
    }
    if (stream.phase == Phase::kImport) {
      continue;
    }
    stream.planned_prefill = std::min(prefill_budget, stream.prefill_left);
    prefill_budget -= stream.planned_prefill;
    length += Duration(static_cast<int64_t>(settings_.prefill_us_per_token * stream.planned_prefill));
  }
  iteration_running_ = true;
  iteration_end_ = now + scaled(length);
}

void EngineModel::emit_token(Stream& stream, std::vector<EngineOutput>& outputs) {
  EngineOutput output;
  output.request_id = stream.request.request_id;
  output.attempt = stream.request.attempt;
  output.index = stream.next_index;
  output.text = token_text(stream.prompt_hash, stream.next_index);
  outputs.push_back(std::move(output));
  ++stream.next_index;
  if (stream.next_index < stream.request.max_tokens) {
    return;
  }
  stream.phase = Phase::kFinished;
  stream.finished_at = iteration_end_;
  ledger_[stream.ledger_line].finished = true;
  outputs.push_back(closing_output(stream));
  --active_;
}

EngineOutput EngineModel::closing_output(const Stream& stream) const {
  EngineOutput output;
  output.request_id = stream.request.request_id;
  output.attempt = stream.request.attempt;
  output.index = stream.next_index;
  output.finished = true;
  output.prompt_tokens = stream.prompt_tokens;
  output.cached_tokens = stream.cached_tokens + stream.imported_tokens;
  return output;
}

void EngineModel::finish_iteration(std::vector<EngineOutput>& outputs) {
  for (const StreamKey& key : running_) {
    Stream& stream = streams_[key];
    if (stream.phase == Phase::kImport) {
      continue;
    }
    if (stream.phase == Phase::kPrefill) {
      stream.prefill_left -= stream.planned_prefill;
      stream.planned_prefill = 0;
      if (stream.prefill_left > 0) {
        continue;
      }
      cache_.store(stream.chain, 0, stream.chain.size(), iteration_end_);
      stream.phase = Phase::kDecode;
      const size_t exported = std::min<size_t>(stream.request.export_blocks, stream.chain.size());
      if (exported > 0) {
        const auto end = stream.chain.begin() + static_cast<std::ptrdiff_t>(exported);
        exports_.push_back({key.first, key.second, {stream.chain.begin(), end}});
      }
    }
    emit_token(stream, outputs);
    if (stream.phase == Phase::kFinished) {
      finished_.push_back(key);
    }
  }
  std::erase_if(running_, [this](const StreamKey& key) { return streams_[key].phase == Phase::kFinished; });
}

std::vector<EngineOutput> EngineModel::advance(TimePoint now) {
  std::vector<EngineOutput> outputs;
  if (!loading_version_.empty() && now >= loading_until_) {
    weights_version_ = loading_version_;
    loading_version_.clear();
    cache_.clear(now);
  }
  while (iteration_running_ && iteration_end_ <= now) {
    const TimePoint ended_at = iteration_end_;
    finish_iteration(outputs);
    begin_iteration(ended_at);
  }
  forget_old_streams(now);
  return outputs;
}

std::vector<EngineExport> EngineModel::take_exports() {
  std::vector<EngineExport> exports;
  exports.swap(exports_);
  return exports;
}

void EngineModel::forget_old_streams(TimePoint now) {
  while (!finished_.empty()) {
    const auto found = streams_.find(finished_.front());
    if (found != streams_.end() && found->second.finished_at + settings_.stream_retention > now) {
      return;
    }
    if (found != streams_.end()) {
      streams_.erase(found);
    }
    finished_.pop_front();
  }
}

bool EngineModel::cancel(uint64_t request_id, uint32_t attempt) {
  const StreamKey key{request_id, attempt};
  const auto found = streams_.find(key);
  if (found == streams_.end()) {
    return false;
  }
  if (found->second.phase != Phase::kFinished) {
    ledger_[found->second.ledger_line].cancelled = true;
    --active_;
  }
  std::erase(waiting_, key);
  std::erase(running_, key);
  streams_.erase(found);
  return true;
}

bool EngineModel::resume(uint64_t request_id, uint32_t attempt, uint32_t first_index,
                         std::vector<EngineOutput>& outputs) const {
  const auto found = streams_.find({request_id, attempt});
  if (found == streams_.end() || first_index < found->second.request.first_index) {
    return false;
  }
  const Stream& stream = found->second;
  for (uint32_t index = first_index; index < stream.next_index; ++index) {
    outputs.push_back({request_id, attempt, index, token_text(stream.prompt_hash, index), false, 0, 0});
  }
  if (stream.phase == Phase::kFinished) {
    outputs.push_back(closing_output(stream));
  }
  return true;
}

bool EngineModel::order_load(uint64_t fence, const std::string& weights_version, TimePoint now) {
  if (fence < highest_fence_) {
    return false;
  }
  if (fence == highest_fence_) {
    return true;
  }
  highest_fence_ = fence;
  if (weights_version != weights_version_) {
    loading_version_ = weights_version;
    loading_until_ = now + scaled(settings_.weights_load_time);
  }
  return true;
}

void EngineModel::note_load(TimePoint now) {
  EngineLoadReport report;
  report.running = static_cast<uint32_t>(running_.size());
  report.waiting = static_cast<uint32_t>(waiting_.size());
  for (const StreamKey& key : waiting_) {
    report.waiting_tokens += streams_[key].prompt_tokens;
  }
  for (const StreamKey& key : running_) {
    report.waiting_tokens += streams_[key].prefill_left;
  }
  load_history_.emplace_back(now, report);
  while (load_history_.size() > 2 && load_history_[1].first + settings_.load_lag <= now) {
    load_history_.pop_front();
  }
}

EngineLoadReport EngineModel::load(TimePoint now) const {
  EngineLoadReport report;
  for (const auto& [noted_at, noted] : load_history_) {
    if (noted_at + settings_.load_lag > now) {
      break;
    }
    report = noted;
  }
  report.incarnation = incarnation_;
  report.leaving = leaving_;
  report.weights_version = weights_version_;
  return report;
}

}  // namespace stoat::standins
