// RouterCore: second runs of repeatable requests whose first token is late.
#include "src/router/router_core.h"

namespace stoat::router {

bool RouterCore::hedge_due(const Request& request, TimePoint now) const {
  const bool may_be_hedged = request.submit.repeatable && request.phase == Phase::kRunning &&
                             request.submit.kind == wire::RequestKind::kCompletion && request.call_id != 0 &&
                             request.hedge.call_id == 0;
  if (!may_be_hedged || request.orphaned_at != TimePoint(0)) {
    return false;
  }
  const bool has_started = request.next_index > request.first_index;
  const auto factored =
      static_cast<int64_t>(options_.hedge_factor * static_cast<double>(request.expected_first_token.count()));
  return !has_started && now - request.dispatched_at > std::max(options_.hedge_floor, Duration(factored));
}

void RouterCore::start_hedges(TimePoint now) {
  if (options_.hedge_factor <= 0) {
    return;
  }
  for (auto& [request_id, request] : requests_) {
    if (!retry_budget_.allows_one()) {
      return;  // in an overload everything is late; do not look for engines that can't be paid
    }
    if (hedge_due(request, now)) {
      start_hedge(request, now);
    }
  }
}

void RouterCore::start_hedge(Request& request, TimePoint now) {
  const bool excluded_before = !request.excluded.insert(request.backend).second;
  const PlacementInput input = placement_input(request, now);
  if (!excluded_before) {
    request.excluded.erase(request.backend);
  }
  if (input.candidates.empty() || !retry_budget_.take()) {
    return;
  }
  const placement::Candidate& chosen = choose(request, input);
  const control::Backend& backend = configuration_.backends.at(std::string(chosen.name));
  StartCall call = new_run(request, backend, KvTransfer());
  call.call_id = ++last_call_id_;
  calls_[call.call_id] = request.submit.request_id;
  const uint32_t missing = missing_tokens(request, chosen);
  request.hedge = Hedge{call.call_id, backend.name, call.expected_incarnation, call.engine_attempt, missing};
  EngineState& state = engines_.at(backend.name);
  ++state.outstanding;
  state.pending_tokens += missing;
  outliers_.on_dispatch(backend.name, now);
  metrics_->count("stoat_router_hedges_total");
  actions_.push_back(std::move(call));
}

void RouterCore::promote_hedge(Request& request, TimePoint now) {
  if (request.import_tokens > 0 && request.queue_was_empty) {
    // It took at least this long: a store that is slow is not to be hidden by the hedge.
    costs_.observe_import(request.import_tokens, request.missing_tokens, now - request.dispatched_at);
  }
  if (calls_.erase(request.call_id) > 0) {
    actions_.push_back(StopCall{request.call_id, true});
  }
  release_backend(request);
  request.call_id = request.hedge.call_id;
  request.backend = request.hedge.backend;
  request.incarnation = request.hedge.incarnation;
  request.engine_attempt = request.hedge.engine_attempt;
  request.pending_tokens = request.hedge.pending_tokens;
  request.queue_was_empty = false;  // its first token says nothing of what prefill costs
  request.hedge = Hedge();
  metrics_->count("stoat_router_hedges_won_total");
  expect_blocks(request, request.backend, request.incarnation);
  tell_where(request);
}

void RouterCore::drop_hedge(Request& request) {
  if (request.hedge.call_id == 0) {
    return;
  }
  actions_.push_back(StopCall{request.hedge.call_id, true});
  calls_.erase(request.hedge.call_id);
  release_backend(request.hedge.backend, request.hedge.pending_tokens);
  request.hedge = Hedge();
}

void RouterCore::on_hedge_end(Request& request, const CallResult& result, TimePoint now) {
  if (result.end == CallEnd::kBroken || result.end == CallEnd::kNotSent) {
    outliers_.on_failure(request.hedge.backend, now);
  }
  release_backend(request.hedge.backend, request.hedge.pending_tokens);
  request.hedge = Hedge();
}

}  // namespace stoat::router
