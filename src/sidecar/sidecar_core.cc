#include "src/sidecar/sidecar_core.h"

#include <algorithm>

#include "src/cache/block_chain.h"
#include "src/common/hash.h"
#include "src/common/zone.h"
#include "src/control/prompt_namespace.h"

namespace stoat::sidecar {

namespace {

using wire::FailureReason;
using wire::Outcome;

constexpr Duration kAvoidLostRouter = 1s;
constexpr int64_t kRetryAfterMs = 1000;

}  // namespace

SidecarCore::SidecarCore(const SidecarOptions& options, uint64_t seed, Metrics* metrics)
    : options_(options), random_(seed), metrics_(metrics) {}

std::vector<SidecarAction> SidecarCore::take_actions() {
  std::vector<SidecarAction> actions;
  actions.swap(actions_);
  return actions;
}

uint64_t SidecarCore::prefix_key_of(const CallerRequest& caller) const {
  if (caller.kind != wire::RequestKind::kCompletion) {
    return hash_bytes(caller.path);
  }
  const cache::Namespace name_space =
      control::prompt_namespace(configuration_, caller.tenant, caller.serves, options_.block_tokens);
  return cache::chain_root(cache::namespace_seed(name_space), caller.prompt, options_.block_tokens);
}

uint64_t SidecarCore::on_caller(ExchangeId exchange, const CallerRequest& caller, TimePoint now) {
  const uint64_t request_id = random_.bits() | 1U;
  Request& request = requests_[request_id];
  request.exchange = exchange;
  request.prefix_key = prefix_key_of(caller);
  const int64_t deadline_ms = caller.deadline_ms > 0 ? caller.deadline_ms : options_.default_deadline_ms;
  request.first_token_by = now + Duration(1000 * deadline_ms);
  wire::SubmitRequest& submit_message = request.submit;
  submit_message.request_id = request_id;
  submit_message.kind = caller.kind;
  submit_message.tenant = caller.tenant;
  submit_message.serves = caller.serves;
  submit_message.prompt = caller.prompt;
  submit_message.method = caller.method;
  submit_message.path = caller.path;
  submit_message.max_tokens = caller.max_tokens;
  submit_message.repeatable = caller.repeatable;
  submit_message.idempotency_key = caller.idempotency_key;
  if (!caller.repeatable && caller.idempotency_key.empty()) {
    submit_message.idempotency_key = "made/" + to_hex(random_.bits()) + to_hex(random_.bits());
  }
  exchanges_[exchange] = request_id;
  submit(request_id, request, now);
  return request_id;
}

std::vector<std::string> SidecarCore::eligible_routers(const Request& request, TimePoint now) const {
  const std::string region = region_of(options_.zone);
  const std::set<std::string>& serving = serving_regions_.of(request.submit.serves);
  const bool served_here = serving.empty() || serving.count(region) > 0;
  std::vector<std::string> preferred;
  std::vector<std::string> others;
  for (const auto& [name, state] : routers_) {
    if (state.draining || state.node.draining || now < state.avoid_until) {
      continue;
    }
    const std::string router_region = region_of(state.node.zone);
    const bool fits = served_here ? router_region == region : serving.count(router_region) > 0;
    (fits ? preferred : others).push_back(name);
  }
  return preferred.empty() ? others : preferred;
}

std::string SidecarCore::choose_router(const Request& request, TimePoint now) const {
  const std::vector<std::string> usable = eligible_routers(request, now);
  std::vector<std::string> untried;
  for (const std::string& name : usable) {
    if (request.tried.count(name) == 0) {
      untried.push_back(name);
    }
  }
  const std::vector<std::string>& choice = untried.empty() ? usable : untried;
  const uint32_t owners = hot_prefixes_.owners(request.prefix_key, now);
  if (owners <= 1 || choice.size() <= 1) {
    return rendezvous_first(request.prefix_key, choice);
  }
  const std::vector<std::string> order = rendezvous_order(request.prefix_key, choice);
  return order[request.submit.request_id % std::min<size_t>(owners, order.size())];
}

size_t SidecarCore::usable_routers(TimePoint now) const {
  return static_cast<size_t>(std::count_if(routers_.begin(), routers_.end(), [now](const auto& entry) {
    return !entry.second.draining && !entry.second.node.draining && now >= entry.second.avoid_until;
  }));
}

void SidecarCore::submit(uint64_t request_id, Request& request, TimePoint now) {
  const std::string router = choose_router(request, now);
  if (router.empty()) {
    request.router.clear();
    if (request.unroutable_since == TimePoint(0)) {
      request.unroutable_since = now;
    }
    if (now - request.unroutable_since >= options_.give_up_after ||
        request.submissions >= options_.max_submissions) {
      give_up(request_id, request);
    }
    return;
  }
  request.unroutable_since = TimePoint(0);
  request.router = router;
  request.tried.insert(router);
  ++request.submissions;
  RouterState& state = routers_[router];
  if (state.open++ == 0) {
    state.heard_at = now;
    state.next_ping = now + options_.ping_interval;
  }
  request.submit.attempt = request.submissions;
  request.submit.configuration_version = configuration_.version;
  request.submit.next_index = request.assembler.next_index();
  request.submit.deadline_left_ms = std::max<int64_t>(1, to_milliseconds(request.first_token_by - now));
  actions_.push_back(SendToRouter{router, request.submit});
  // Once it has left, another router may have to reckon with its having run.
  request.submit.may_have_run = true;
}

void SidecarCore::leave_router(Request& request) {
  const auto state = routers_.find(request.router);
  if (state != routers_.end() && state->second.open > 0) {
    --state->second.open;
  }
  request.router.clear();
}

void SidecarCore::resubmit(uint64_t request_id, Request& request, TimePoint now) {
  leave_router(request);
  metrics_->count("stoat_sidecar_resubmissions_total");
  if (request.submissions >= options_.max_submissions) {
    give_up(request_id, request);
    return;
  }
  submit(request_id, request, now);
}

void SidecarCore::give_up(uint64_t request_id, const Request& request) {
  wire::RequestFinished finished;
  finished.reason = FailureReason::kRouterUnavailable;
  finished.retry_after_ms = kRetryAfterMs;
  finished.message = "no router could be reached";
  if (request.submissions == 0) {
    finished.outcome = Outcome::kNotRun;
  } else {
    finished.outcome = request.submit.repeatable ? Outcome::kFailed : Outcome::kUnknown;
  }
  end(request_id, finished);
}

void SidecarCore::end(uint64_t request_id, const wire::RequestFinished& finished) {
  const auto found = requests_.find(request_id);
  leave_router(found->second);
  actions_.push_back(EndToCaller{found->second.exchange, request_id, finished});
  exchanges_.erase(found->second.exchange);
  requests_.erase(found);
}

void SidecarCore::on_caller_gone(ExchangeId exchange) {
  const auto found = exchanges_.find(exchange);
  if (found == exchanges_.end()) {
    return;
  }
  const uint64_t request_id = found->second;
  Request& request = requests_[request_id];
  metrics_->count("stoat_sidecar_callers_gone_total");
  if (!request.router.empty()) {
    actions_.push_back(SendToRouter{request.router, wire::CancelRequest{request_id}});
  }
  leave_router(request);
  requests_.erase(request_id);
  exchanges_.erase(found);
}

SidecarCore::Request* SidecarCore::find(uint64_t request_id, uint32_t attempt) {
  const auto found = requests_.find(request_id);
  if (found == requests_.end() || found->second.submit.attempt != attempt) {
    metrics_->count("stoat_sidecar_late_answers_total");
    return nullptr;
  }
  return &found->second;
}

void SidecarCore::on_router_message(const std::string& router, const wire::Message& message, TimePoint now) {
  if (const auto state = routers_.find(router); state != routers_.end()) {
    state->second.heard_at = now;
  }
  if (const auto* piece = std::get_if<wire::StreamPiece>(&message.value)) {
    on_piece(*piece, now);
  } else if (const auto* finished = std::get_if<wire::RequestFinished>(&message.value)) {
    on_finished(*finished, now);
  } else if (const auto* dispatched = std::get_if<wire::RequestDispatched>(&message.value)) {
    if (Request* request = find(dispatched->request_id, dispatched->attempt)) {
      request->submit.resume = {dispatched->where};
    }
  } else if (const auto* hot = std::get_if<wire::HotPrefixes>(&message.value)) {
    for (const wire::HotPrefix& prefix : hot->prefixes) {
      hot_prefixes_.learn(prefix, now);
    }
  } else if (const auto* draining = std::get_if<wire::RouterDraining>(&message.value)) {
    routers_[router].draining = draining->draining;
  }
}

void SidecarCore::on_piece(const wire::StreamPiece& piece, TimePoint now) {
  Request* request = find(piece.request_id, piece.attempt);
  if (request == nullptr) {
    return;
  }
  switch (request->assembler.accept(piece.index)) {
    case delivery::PieceVerdict::kDuplicate:
      return;
    case delivery::PieceVerdict::kGap:
      metrics_->count("stoat_sidecar_gaps_total");
      resubmit(piece.request_id, *request, now);
      return;
    case delivery::PieceVerdict::kDeliver:
      request->submit.delivered += piece.text;
      actions_.push_back(PieceToCaller{request->exchange, piece.text});
      return;
  }
}

void SidecarCore::on_finished(const wire::RequestFinished& finished, TimePoint now) {
  Request* request = find(finished.request_id, finished.attempt);
  if (request == nullptr) {
    return;
  }
  const bool replayed = !finished.body.empty() && request->submit.kind == wire::RequestKind::kCompletion;
  const bool complete = finished.outcome == Outcome::kComplete;
  if (complete && replayed) {
    // The outcome of an earlier run under the same key, whole; what was passed on of it is not passed on
    // twice.
    const std::string& delivered = request->submit.delivered;
    if (finished.body.starts_with(delivered)) {
      actions_.push_back(PieceToCaller{request->exchange, finished.body.substr(delivered.size())});
    }
  } else if (complete && request->submit.kind == wire::RequestKind::kCompletion &&
             finished.piece_count != request->assembler.next_index()) {
    metrics_->count("stoat_sidecar_gaps_total");
    resubmit(finished.request_id, *request, now);
    return;
  }
  const bool router_stops = finished.reason == FailureReason::kDraining;
  if (router_stops) {
    routers_[request->router].draining = true;
    if (finished.outcome == Outcome::kNotRun || request->submit.repeatable) {
      request->submit.may_have_run = finished.outcome != Outcome::kNotRun;
    }
    resubmit(finished.request_id, *request, now);
    return;
  }
  end(finished.request_id, finished);
}

void SidecarCore::on_router_lost(const std::string& router, TimePoint now) {
  const auto state = routers_.find(router);
  if (state != routers_.end()) {
    state->second.avoid_until = now + kAvoidLostRouter;
  }
  std::vector<uint64_t> affected;
  for (const auto& [request_id, request] : requests_) {
    if (request.router == router) {
      affected.push_back(request_id);
    }
  }
  for (const uint64_t request_id : affected) {
    resubmit(request_id, requests_[request_id], now);
  }
}

void SidecarCore::on_configuration(const control::Configuration& configuration) {
  if (configuration.version >= configuration_.version) {
    configuration_ = configuration;
    serving_regions_ = control::ServingRegions(configuration);
  }
}

void SidecarCore::on_routers(const std::vector<wire::Node>& routers) {
  std::map<std::string, RouterState> next;
  for (const wire::Node& node : routers) {
    RouterState& state = next[node.name];
    const auto known = routers_.find(node.name);
    if (known != routers_.end() && known->second.node.start_id == node.start_id) {
      state = known->second;
    } else if (known != routers_.end()) {
      state.open = known->second.open;  // a new start: no longer draining
    }
    state.node = node;
  }
  routers_ = std::move(next);
}

void SidecarCore::tick(TimePoint now) {
  std::vector<uint64_t> waiting;
  for (const auto& [request_id, request] : requests_) {
    if (request.router.empty()) {
      waiting.push_back(request_id);
    }
  }
  for (const uint64_t request_id : waiting) {
    submit(request_id, requests_[request_id], now);
  }
  std::vector<std::string> silent;
  for (auto& [name, state] : routers_) {
    if (state.open == 0) {
      continue;
    }
    if (now - state.heard_at > options_.router_silence) {
      silent.push_back(name);
    } else if (now >= state.next_ping) {
      state.next_ping = now + options_.ping_interval;
      actions_.push_back(SendToRouter{name, wire::Ping{random_.bits()}});
    }
  }
  for (const std::string& name : silent) {
    metrics_->count("stoat_sidecar_silent_routers_total");
    actions_.push_back(DropRouter{name});
    on_router_lost(name, now);
  }
}

}  // namespace stoat::sidecar
