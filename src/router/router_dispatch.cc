// RouterCore: placement, calls to back ends, resumes and retries.
#include <algorithm>
#include <array>

#include "src/common/hash.h"
#include "src/router/router_core.h"

namespace stoat::router {

namespace {

using control::BackendKind;
using control::ClaimState;
using wire::FailureReason;
using wire::Outcome;

/// How long a back end is passed over after a refusal that will last for a while.
constexpr Duration kAvoidAfterRefusal = 500ms;
constexpr Duration kLostRetryAfter = 1s;
constexpr uint32_t kMaxResumes = 2;
/// A store of kept blocks that was not heard of for so long is not used.
constexpr Duration kStoreSilence = 5s;
/// Refusals by engines that have restarted, which do not count as tries of a request.
constexpr uint32_t kMaxRestartsMet = 8;

BackendKind backend_kind(const wire::SubmitRequest& submit) {
  return submit.kind == wire::RequestKind::kCompletion ? BackendKind::kEngine : BackendKind::kPlain;
}

}  // namespace

bool RouterCore::accepts_work(const ServingEntry& entry, TimePoint now) const {
  return !entry.backend->draining && !entry.leaving && !entry.state->load.leaving &&
         now >= entry.state->avoid_until && outliers_.usable(entry.health, now);
}

bool RouterCore::usable(const Request& request, const ServingEntry& entry, TimePoint now) const {
  const control::Backend& backend = *entry.backend;
  if (backend.kind != backend_kind(request.submit) ||
      entry.state->outstanding >= options_.max_engine_outstanding) {
    return false;
  }
  if (!request.excluded.empty() && request.excluded.count(backend.name) > 0) {
    return false;
  }
  return accepts_work(entry, now);
}

const ServingEntry* RouterCore::store_for(const Request& request, TimePoint now) const {
  const ServingEntry* best = nullptr;
  uint64_t best_weight = 0;
  for (const ServingEntry& entry : serving_.of(request.submit.serves).stores) {
    const bool known = entry.state->load.incarnation != 0 && now - entry.state->load_seen_at < kStoreSilence;
    // Rendezvous, so that all blocks of a prefix are in one store.
    const uint64_t weight = hash_pair(request.prefix_key, entry.name_hash);
    if (entry.local && known && accepts_work(entry, now) && (best == nullptr || weight > best_weight)) {
      best = &entry;
      best_weight = weight;
    }
  }
  return best;
}

RouterCore::PlacementInput RouterCore::placement_input(const Request& request, TimePoint now) {
  PlacementInput input;
  const ServingList& serving = serving_.of(request.submit.serves);
  const auto model = configuration_.models.find(request.submit.serves);
  const std::string_view wanted_weights =
      model == configuration_.models.end() ? std::string_view() : model->second.weights_version;
  std::vector<placement::Candidate>& candidates = input.candidates;
  candidates.reserve(serving.entries.size());
  constexpr uint32_t kNoCandidate = UINT32_MAX;
  std::vector<uint32_t> candidate_of(serving.entries.size(), kNoCandidate);
  for (size_t position = 0; position < serving.entries.size(); ++position) {
    const ServingEntry& entry = serving.entries[position];
    const EngineState& state = *entry.state;
    const bool other_weights = !wanted_weights.empty() && !state.load.weights_version.empty() &&
                               state.load.weights_version != wanted_weights;
    const bool out_of_reach = serving.served_locally && !entry.local;
    if (out_of_reach || other_weights || !usable(request, entry, now)) {
      continue;
    }
    placement::Candidate candidate;
    candidate.name = entry.backend->name;
    candidate.name_hash = entry.name_hash;
    candidate.incarnation = state.load.incarnation;
    candidate.reported_running = state.load.running;
    candidate.reported_tokens = state.load.waiting_tokens;
    candidate.outstanding = state.outstanding;
    candidate.pending_tokens = state.pending_tokens;
    candidate_of[position] = static_cast<uint32_t>(candidates.size());
    candidates.push_back(candidate);
  }
  input.store = store_for(request, now);
  const auto add_match = [&](const cache::PrefixMatch& match) {
    if (input.store != nullptr && match.engine_hash == input.store->name_hash) {
      if (match.incarnation == input.store->state->load.incarnation) {
        input.stored_blocks = std::max(input.stored_blocks, match.blocks);
      }
      return;
    }
    input.shared_blocks = std::max(input.shared_blocks, match.blocks);
    const auto position = serving.position_of_hash.find(match.engine_hash);
    if (position == serving.position_of_hash.end() || candidate_of[position->second] == kNoCandidate) {
      return;
    }
    placement::Candidate& candidate = candidates[candidate_of[position->second]];
    // An incarnation that no load report has named yet may be the one that the index knows.
    if (candidate.incarnation == 0 || candidate.incarnation == match.incarnation) {
      candidate.cached_tokens = std::max(candidate.cached_tokens, match.blocks * options_.block_tokens);
    }
  };
  const std::array<const cache::PrefixIndex*, 3> indexes{&index_, expected_.get(), expected_before_.get()};
  for (const cache::PrefixIndex* index : indexes) {
    for (const cache::PrefixMatch& match : index->match(request.chain)) {
      add_match(match);
    }
  }
  return input;
}

KvTransfer RouterCore::plan_transfer(Request& request, const PlacementInput& input,
                                     const placement::Candidate& chosen) {
  KvTransfer transfer;
  request.import_tokens = 0;
  if (input.store == nullptr) {
    return transfer;
  }
  const uint32_t stored_tokens = input.stored_blocks * options_.block_tokens;
  const uint32_t importable = stored_tokens - std::min(stored_tokens, chosen.cached_tokens);
  if (costs_.import_pays(importable)) {
    transfer.import_blocks = input.stored_blocks;
    request.import_tokens = importable;
    request.missing_tokens -= std::min(request.missing_tokens, importable);
    metrics_->count("stoat_router_imported_tokens_total", {}, importable);
  } else if (importable > 0) {
    costs_.note_no_import();
  }
  // What another request had in common with this one is worth keeping.
  if (input.shared_blocks > input.stored_blocks) {
    transfer.export_blocks = input.shared_blocks;
    const uint64_t incarnation = input.store->state->load.incarnation;
    const cache::EngineSlot slot = expected_->slot_of(input.store->backend->name, incarnation);
    for (uint32_t block = input.stored_blocks; block < input.shared_blocks; ++block) {
      expected_->store(slot, request.chain[block]);
    }
    metrics_->count("stoat_router_exported_blocks_total", {}, input.shared_blocks - input.stored_blocks);
  }
  if (transfer.import_blocks > 0 || transfer.export_blocks > 0) {
    transfer.store = input.store->backend->endpoint;
    transfer.store_name = input.store->backend->name;
  }
  return transfer;
}

Duration RouterCore::expected_first_token(const Request& request, const placement::Candidate& chosen) const {
  const double queued = std::max(chosen.reported_tokens, chosen.pending_tokens);
  const double first_us = costs_.base_us() + costs_.prefill_us(queued + request.missing_tokens);
  return Duration(static_cast<int64_t>(first_us));
}

bool RouterCore::try_dispatch(Request& request, TimePoint now) {
  hash_prompt(request);
  const PlacementInput input = placement_input(request, now);
  if (input.candidates.empty()) {
    return false;
  }
  const placement::RequestView view{request.prompt_tokens, request.prefix_key,
                                    input.stored_blocks * options_.block_tokens};
  const placement::Candidate& chosen = input.candidates[policy_->choose(view, input.candidates, random_)];
  request.missing_tokens = request.prompt_tokens - std::min(request.prompt_tokens, chosen.cached_tokens);
  request.expected_first_token = expected_first_token(request, chosen);
  request.queue_was_empty = chosen.reported_tokens + chosen.pending_tokens == 0 && chosen.outstanding == 0;
  const control::Backend& backend = configuration_.backends.at(std::string(chosen.name));
  const CallKind kind =
      request.submit.kind == wire::RequestKind::kCompletion ? CallKind::kComplete : CallKind::kPlain;
  const KvTransfer transfer = plan_transfer(request, input, chosen);
  start_call(request, kind, backend, transfer, now);
  return true;
}

void RouterCore::start_call(Request& request, CallKind kind, const control::Backend& backend,
                            const KvTransfer& transfer, TimePoint now) {
  EngineState& state = engines_.at(backend.name);
  const uint64_t request_id = request.submit.request_id;
  request.phase = Phase::kRunning;
  request.backend = backend.name;
  request.dispatched_at = now;
  request.call_id = ++last_call_id_;
  ++request.dispatches;
  calls_[request.call_id] = request_id;
  ++state.outstanding;
  outliers_.on_dispatch(backend.name, now);

  request.first_index = request.next_index;
  if (kind == CallKind::kResume) {
    StartCall call = new_run(request, backend, KvTransfer());
    call.call_id = request.call_id;
    call.kind = kind;
    call.engine_attempt = request.engine_attempt;
    call.expected_incarnation = request.incarnation;
    call.prompt.clear();
    actions_.push_back(std::move(call));
    return;
  }
  StartCall call = new_run(request, backend, transfer);
  call.call_id = request.call_id;
  call.kind = kind;
  request.engine_attempt = call.engine_attempt;
  request.incarnation = call.expected_incarnation;
  request.ran_before_call = request.may_have_run;
  request.may_have_run = true;
  state.pending_tokens += request.missing_tokens;
  request.pending_tokens = request.missing_tokens;
  if (kind == CallKind::kComplete) {
    expect_blocks(request, backend.name, request.incarnation);
  }
  tell_where(request);
  actions_.push_back(std::move(call));
}

StartCall RouterCore::new_run(const Request& request, const control::Backend& backend,
                              const KvTransfer& transfer) {
  StartCall call;
  call.backend = backend.name;
  call.endpoint = backend.endpoint;
  call.request_id = request.submit.request_id;
  call.idempotency_key = request.submit.idempotency_key;
  call.tenant = request.submit.tenant;
  call.first_index = request.next_index;
  call.repeatable = request.submit.repeatable;
  // Attempt numbers at engines must not meet those that another router gave to the same request.
  call.engine_attempt = static_cast<uint32_t>(random_.bits() >> 33U) | 1U;
  call.expected_incarnation = engines_.at(backend.name).load.incarnation;
  call.expected_weights = request.weights_version;
  call.prompt = request.submit.prompt;
  call.method = request.submit.method;
  call.path = request.submit.path;
  call.cache_seed = request.seed;
  call.max_tokens = request.submit.max_tokens;
  call.priority = request.tenant_row.priority;
  call.kv_transfer = transfer;
  return call;
}

void RouterCore::expect_blocks(const Request& request, const std::string& backend, uint64_t incarnation) {
  const cache::EngineSlot slot = expected_->slot_of(backend, incarnation);
  for (const cache::BlockHash block : request.chain) {
    expected_->store(slot, block);
  }
}

void RouterCore::tell_where(const Request& request) {
  if (request.sidecar == 0) {
    return;
  }
  const wire::ResumePoint where{request.backend, request.incarnation, request.engine_attempt,
                                request.claim_id};
  const wire::RequestDispatched dispatched{request.submit.request_id, request.submit.attempt, where};
  actions_.push_back(SendToSidecar{request.sidecar, dispatched});
}

void RouterCore::start_resume(Request& request, const wire::ResumePoint& where, TimePoint now) {
  request.backend = where.engine;
  request.incarnation = where.incarnation;
  request.engine_attempt = where.engine_attempt;
  request.may_have_run = true;
  request.ran_before_call = true;  // whatever becomes of the resume, the run may have begun
  request.claim_id = where.claim_id;
  ++request.resumes;
  const auto backend = configuration_.backends.find(where.engine);
  if (backend == configuration_.backends.end() || request.resumes > kMaxResumes ||
      request.submit.kind != wire::RequestKind::kCompletion) {
    retry_elsewhere(request, now);
    return;
  }
  start_call(request, CallKind::kResume, backend->second, KvTransfer(), now);
}

void RouterCore::leave_call(Request& request) {
  if (request.call_id == 0) {
    return;
  }
  drop_hedge(request);
  actions_.push_back(StopCall{request.call_id, false});
  calls_.erase(request.call_id);
  release_backend(request);
}

void RouterCore::release_backend(Request& request) {
  request.call_id = 0;
  release_backend(request.backend, request.pending_tokens);
  request.pending_tokens = 0;
}

void RouterCore::release_backend(const std::string& backend, uint32_t pending_tokens) {
  EngineState& state = engines_.at(backend);
  state.outstanding -= state.outstanding > 0 ? 1 : 0;
  state.pending_tokens -= std::min(state.pending_tokens, pending_tokens);
}

void RouterCore::end_pending(Request& request) {
  EngineState& state = engines_.at(request.backend);
  state.pending_tokens -= std::min(state.pending_tokens, request.pending_tokens);
  request.pending_tokens = 0;
}

void RouterCore::note_first_piece(Request& request, TimePoint now) {
  end_pending(request);
  if (request.queue_was_empty && request.dispatches == 1 &&
      request.submit.kind == wire::RequestKind::kCompletion) {
    if (request.import_tokens > 0) {
      costs_.observe_import(request.import_tokens, request.missing_tokens, now - request.dispatched_at);
    } else {
      costs_.observe(request.missing_tokens, now - request.dispatched_at);
    }
  }
  request.queue_was_empty = false;
}

void RouterCore::on_piece(CallId call_id, uint32_t index, const std::string& text, TimePoint now) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) {
    metrics_->count("stoat_router_late_pieces_total");
    return;
  }
  Request& request = requests_[call->second];
  if (call_id == request.hedge.call_id) {
    promote_hedge(request, now);
  } else {
    drop_hedge(request);
  }
  if (index < request.next_index) {
    return;
  }
  if (index > request.next_index) {
    leave_call(request);
    on_broken(request, now);
    return;
  }
  note_first_piece(request, now);
  ++request.next_index;
  request.text += text;
  if (request.sidecar != 0) {
    actions_.push_back(SendToSidecar{
        request.sidecar, wire::StreamPiece{request.submit.request_id, request.submit.attempt, index, text}});
  }
}

void RouterCore::on_call_end(CallId call_id, const CallResult& result, TimePoint now) {
  const auto call = calls_.find(call_id);
  if (call == calls_.end()) {
    return;
  }
  Request& request = requests_[call->second];
  calls_.erase(call);
  if (call_id == request.hedge.call_id) {
    on_hedge_end(request, result, now);
    return;
  }
  const bool other_runs = request.hedge.call_id != 0;
  if (other_runs && (result.end == CallEnd::kBroken || result.end == CallEnd::kNotSent)) {
    outliers_.on_failure(request.backend, now);
    promote_hedge(request, now);
    return;
  }
  release_backend(request);
  switch (result.end) {
    case CallEnd::kComplete:
      on_complete(request, result, now);
      break;
    case CallEnd::kNotSent:
      outliers_.on_failure(request.backend, now);
      request.may_have_run = request.ran_before_call;
      retry_elsewhere(request, now);
      break;
    case CallEnd::kRefused:
      on_refused(request, result, now);
      break;
    case CallEnd::kUnknownStream:
      retry_elsewhere(request, now);
      break;
    case CallEnd::kBroken:
      outliers_.on_failure(request.backend, now);
      on_broken(request, now);
      break;
    case CallEnd::kRejected: {
      outliers_.on_success(request.backend);
      wire::RequestFinished finished;
      finished.outcome = Outcome::kFailed;
      finished.reason = FailureReason::kBackendRejected;
      finished.http_status = result.http_status;
      finished.message = "the back end answered with an error";
      finished.body = result.body;
      end_claim(request, ClaimState::kUnknown, "");
      finish(request, finished, now);
      break;
    }
  }
  pump_queues(now);
}

void RouterCore::on_complete(Request& request, const CallResult& result, TimePoint now) {
  outliers_.on_success(request.backend);
  const bool is_completion = request.submit.kind == wire::RequestKind::kCompletion;
  if (is_completion && result.piece_count != request.next_index) {
    on_broken(request, now);
    return;
  }
  complete(request, result, now);
}

void RouterCore::complete(Request& request, const CallResult& result, TimePoint now) {
  const bool is_completion = request.submit.kind == wire::RequestKind::kCompletion;
  wire::RequestFinished finished;
  finished.outcome = Outcome::kComplete;
  finished.http_status = result.http_status == 0 ? 200 : result.http_status;
  finished.piece_count = request.next_index;
  finished.prompt_tokens = result.prompt_tokens;
  finished.cached_tokens = result.cached_tokens;
  finished.body = result.body;
  end_claim(request, ClaimState::kSettled, is_completion ? request.text : result.body);
  finish(request, finished, now);
}

void RouterCore::on_refused(Request& request, const CallResult& result, TimePoint now) {
  metrics_->count("stoat_router_engine_refusals_total", {{"refusal", result.refusal}});
  EngineState& state = engines_.at(request.backend);
  if (result.refusal == "wrong_incarnation") {
    // It restarted: nothing that was known of it holds.
    index_.drop_engine(request.backend);
    expected_->drop_engine(request.backend);
    expected_before_->drop_engine(request.backend);
    state.load = wire::EngineLoad();
    state.load.incarnation = result.incarnation;
    if (++request.restarts_met <= kMaxRestartsMet) {
      // It is up again, only empty: as good a choice as any.
      --request.dispatches;
      request.may_have_run = request.ran_before_call;
      retry_elsewhere(request, now, false);
      return;
    }
  } else {
    state.avoid_until = now + kAvoidAfterRefusal;
  }
  request.may_have_run = request.ran_before_call;
  retry_elsewhere(request, now);
}

void RouterCore::linger(Request& request, TimePoint now) {
  // Its sidecar may have had the stream resumed through another router, which made the engine leave this one.
  // To resume it here would take it away again, and to end it would cut the other's answer.
  if (!request.submit.repeatable) {
    request.phase = Phase::kLingering;
    return;
  }
  request.sidecar = 0;
  finish_with(request, Outcome::kFailed, FailureReason::kBackendLost, "left", Duration(0), now);
}

void RouterCore::on_broken(Request& request, TimePoint now) {
  if (request.orphaned_at != TimePoint(0)) {
    linger(request, now);
    return;
  }
  if (request.submit.kind == wire::RequestKind::kCompletion && request.resumes < kMaxResumes &&
      request.incarnation != 0) {
    const wire::ResumePoint where{request.backend, request.incarnation, request.engine_attempt,
                                  request.claim_id};
    start_resume(request, where, now);
    return;
  }
  retry_elsewhere(request, now);
}

void RouterCore::retry_elsewhere(Request& request, TimePoint now, bool exclude_backend) {
  if (is_whole(request)) {
    CallResult whole;
    whole.end = CallEnd::kComplete;
    whole.piece_count = request.next_index;
    whole.prompt_tokens = request.prompt_tokens;
    complete(request, whole, now);
    return;
  }
  const bool may_go_on = request.submit.repeatable || !request.may_have_run;
  if (!may_go_on) {
    metrics_->count("stoat_router_unknown_total");
    end_claim(request, ClaimState::kUnknown, "");
    finish_with(request, Outcome::kUnknown, FailureReason::kOutcomeUnknown,
                "the back end was lost and may have run the request", Duration(0), now);
    return;
  }
  if (request.dispatches >= options_.max_dispatches || (request.may_have_run && !retry_budget_.take())) {
    end_claim(request, ClaimState::kReleased, "");
    finish_with(request, request.may_have_run ? Outcome::kFailed : Outcome::kNotRun,
                FailureReason::kBackendLost, "the back end was lost", kLostRetryAfter, now);
    return;
  }
  metrics_->count("stoat_router_retries_total");
  if (exclude_backend) {
    request.excluded.insert(request.backend);
  }
  if (!request.submit.repeatable && request.claim_id == 0) {
    request_claim(request, now);  // came for a resume, and the run turned out never to have begun
    return;
  }
  if (!has_candidates(request, now)) {
    request.excluded.clear();
  }
  if (request.start_by < now + kLostRetryAfter) {
    request.start_by = now + kLostRetryAfter;  // it was admitted in time; give the retry a chance
  }
  if (!try_dispatch(request, now)) {
    uncount(request, now);
    enqueue(request, now);
  }
}

}  // namespace stoat::router
