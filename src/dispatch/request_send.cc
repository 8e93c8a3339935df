/// ActiveRequest: chooses the backend for a request, and builds and sends the request head.
#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_set>
#include <utility>

#include "src/dispatch/active_request.h"
#include "src/fleet/incarnation.h"

namespace stoat::dispatch {

namespace {

/// Engines with older weights are not at a disadvantage for this long after a version was announced, so that
/// the few engines that already have it are not overloaded.
constexpr Duration kOldWeightsGracePeriod = 1200ms;
/// Holders of a prompt's shared parts are announced to the other routers again after this time.
constexpr Duration kReannounceInterval = 3s;
/// Minimum number of shared tokens for a prompt to be written to a store. With fewer, writing is not worth
/// it, since the store also receives the part that belongs to the request alone.
constexpr uint32_t kMinStoredTokens = 1000;

}  // namespace

placement::EngineView ActiveRequest::view_of(const Backend& backend, double mean_others_outstanding) const {
  placement::EngineView view;
  view.name_hash = backend.name_hash;
  view.cache_estimate = &backend.cache_estimate;
  view.weights = backend.record.version_of(plan_.fields.model);
  view.outstanding = backend.outstanding + backend.others_outstanding;
  view.slots = backend.record.slots;
  const placement::ServiceSpeed& service = context_.speeds[plan_.service];
  view.ms_per_token = service.ms_per_token() * backend.speed.slowness();
  view.wait_ms =
      placement::expect_first_event(service, backend.speed, queue_of(backend, mean_others_outstanding), 0)
          .wait_ms();
  view.place = backend.place;
  view.distance = topology::distance(context_.place, backend.place);
  view.has_outdated_weights = outdated_for(backend).value_or(Duration(0)) > kOldWeightsGracePeriod;
  // An unreachable source would delay the request.
  view.usable_as_source = context_.pool.is_sound(backend);
  return view;
}

void ActiveRequest::dispatch(const std::vector<BackendPtr>& candidates) {
  std::vector<placement::EngineView> views;
  std::vector<BackendPtr> engines = candidates;
  views.reserve(candidates.size());
  const double others = mean_others_outstanding();
  for (const BackendPtr& backend : candidates) {
    views.push_back(view_of(*backend, others));
  }
  if (chain_.prompt_parts.empty()) {
    send_to(choose_without_prompt(candidates, views),
            CachePlan{.candidates = static_cast<uint32_t>(candidates.size())}, others);
    return;
  }
  // Engines that can't take the request may still hold KV cache that the chosen engine needs.
  const std::unordered_set<BackendPtr> eligible(candidates.begin(), candidates.end());
  for (const BackendPtr& backend : cache_sources_in_subset(candidates.size())) {
    if (eligible.count(backend) == 0) {
      engines.push_back(backend);
      views.push_back(view_of(*backend, others));
      views.back().candidate = false;
    }
  }
  const CacheStore* store = context_.stores.store_for(chain_);
  placement::StoreView store_view;
  placement::PlacementCosts costs = context_.costs;
  if (store != nullptr) {
    store_view = {&store->cache_estimate, place_of_store(store->address)};
  }
  if (const fleet::Service* service = plan_.table->service(plan_.service)) {
    const fleet::Service* stored = store == nullptr ? nullptr : plan_.table->store_at(store->address);
    costs.transfers = placement::make_transfer_costs(service->engine, stored);
  }
  const placement::Placement placed = placement::choose_placement(
      chain_, views, store == nullptr ? nullptr : &store_view, costs, context_.loop.now());
  const BackendPtr holder = placed.source ? engines[*placed.source] : nullptr;
  CachePlan cache = plan_cache(*engines[placed.target], holder.get(), store, placed.worth_taking_from_store);
  cache.candidates = static_cast<uint32_t>(candidates.size());
  send_to(engines[placed.target], std::move(cache), others);
}

bool ActiveRequest::is_router_header(const std::string& name) const {
  const HeaderNames& names = context_.names;
  const std::array<const std::string*, 12> own = {
      &names.credential, &names.tenant,  &names.deadline_ms, &names.expected_backend,
      &names.cache_salt, &names.urgency, &names.kv_source,   &names.kv_target,
      &names.pin_ms,     &names.hold,    &names.kv_backup,   &names.kv_from};
  return std::any_of(own.begin(), own.end(),
                     [&](const std::string* header) { return http1::equal_ignoring_case(*header, name); }) ||
         http1::equal_ignoring_case(names.expected_weights, name) ||
         http1::equal_ignoring_case(names.last_event_id, name);
}

const BackendPtr& ActiveRequest::choose_without_prompt(const std::vector<BackendPtr>& candidates,
                                                       const std::vector<placement::EngineView>& views) {
  const size_t chosen = placement::choose_nearest(views, context_.call_times[plan_.service].ms(),
                                                  context_.costs.distance_costs, context_.random.bits());
  if (views[chosen].outstanding < views[chosen].slots) {
    call_sent_at_ = context_.loop.now();
  }
  return candidates[chosen];
}

CachePlan ActiveRequest::plan_cache(const Backend& target, const Backend* holder, const CacheStore* store,
                                    bool worth_taking_from_store) const {
  CachePlan plan;
  const TimePoint now = context_.loop.now();
  const uint64_t weights = target.record.version_of(plan_.fields.model);
  const uint32_t shared = placement::shared_tokens(chain_);
  const std::string store_address = store == nullptr ? "" : store->address;
  const bool stored = store != nullptr && store->cache_estimate.held_tokens(chain_, weights, now) >= shared;
  // The store is the source even if it is not known to hold the prompt: an engine loads only what it lacks,
  // and a miss costs a millisecond. If loading from the store takes longer than prefilling, nothing is
  // written to it either.
  const bool store_useful = worth_taking_from_store && shared >= kMinStoredTokens;
  const bool surely_held = holder != nullptr && holder->cache_estimate.certainly_holds(chain_, weights, now);
  if (store_useful && (holder == nullptr || (stored && !surely_held))) {
    plan.source = store_address;
    plan.source_place = place_of_store(store_address);
  } else if (holder != nullptr) {
    plan.source = holder->record.address;
    plan.source_place = holder->place;
  }
  if (store_useful && !stored) {
    plan.target = store_address;
  }
  return plan;
}

std::string ActiveRequest::request_head(const Backend& backend, const CachePlan& cache, TimePoint now) const {
  const HeaderNames& names = context_.names;
  std::string head = plan_.request.method + " " + plan_.request.target + " HTTP/1.1\r\n";
  const auto add = [&head](const std::string& name, const std::string& value) {
    head += name + ": " + value + "\r\n";
  };
  for (const http1::HeaderLine& line : plan_.request.headers.lines()) {
    const bool named_by_connection = plan_.request.headers.has_token("Connection", line.name);
    if (!http1::is_hop_by_hop_header(line.name) && !is_router_header(line.name) && !named_by_connection) {
      add(line.name, line.value);
    }
  }
  const int64_t left_ms = std::max<int64_t>(1, to_milliseconds(deadline_ - now));
  add(names.deadline_ms, std::to_string(left_ms));
  add(names.expected_backend, std::string(fleet::backend_name(backend.record.id)));
  if (plan_.tenant != nullptr) {
    add(names.tenant, plan_.tenant->name);
  }
  if (last_event_id_) {
    add(names.last_event_id, std::to_string(*last_event_id_));
  }
  if (!chain_.prompt_parts.empty()) {
    const uint64_t version = backend.record.version_of(plan_.fields.model);
    add(names.cache_salt, placement::to_salt({plan_.cache_owner(), version}));
    add(names.urgency, std::to_string(urgency()));
    if (version > 0) {
      // The engine may have newer weights than this router knows. KV cache that it stored under this salt
      // would then be wrong for routers that know the newer version.
      add(names.expected_weights, std::to_string(version));
    }
    if (!cache.source.empty()) {
      add(names.kv_source, cache.source);
    }
    if (!cache.target.empty()) {
      add(names.kv_target, cache.target);
    }
    if (!cache.backup.empty()) {
      add(names.kv_backup, cache.backup);
    }
    if (!cache.resume_from.empty()) {
      add(names.kv_from, cache.resume_from);
    }
  }
  if (!plan_.request.body.empty() || plan_.request.method == "POST" || plan_.request.method == "PUT") {
    add("Content-Length", std::to_string(plan_.request.body.size()));
  }
  return head + "\r\n";
}

void ActiveRequest::send_to(const BackendPtr& backend, CachePlan cache, double mean_others_outstanding) {
  const TimePoint now = context_.loop.now();
  const auto connection = context_.pool.take_connection(backend);
  tried_.insert(backend->record.id);
  end_lease_request();
  lease_denied_ = false;
  if (connection != nullptr) {
    spend_permit(*backend);
    spend_trial();
  } else {
    event_log_.add(events::RequestNotRun{backend->record.id, 0});
    on_not_run(false);
    return;
  }
  events::RequestSent sent;
  sent.backend = backend->record.id;
  sent.candidates = cache.candidates;
  sent.outstanding = backend->outstanding + backend->others_outstanding;
  sent.queued_tokens = backend->prefill_tokens + backend->others_prefill_tokens;
  charge_retry();
  outcome_unknown_ = true;
  backend_ = backend;
  connection_ = connection;
  kind_ = ResponseKind::kNone;
  body_.reset();
  splitter_.reset();
  context_.pool.begin_request(backend);
  record_origin(*backend);
  first_event_received_ = false;
  exchange_first_event_at_ = TimePoint(0);
  last_activity_ = now;
  store_target_ = cache.target;
  resumed_from_backup_ = !cache.resume_from.empty();
  run_weights_ = resumed_from_backup_ ? run_weights_ : backend->record.version_of(plan_.fields.model);
  if (!resumed_from_backup_) {
    backup_ = choose_backup(*backend);
    cache.backup = backup_ == nullptr ? "" : backup_->record.address;
  }
  moved_tokens_ = 0;
  if (!chain_.prompt_parts.empty()) {
    add_pending_prefill(cache);
  }
  sent_at_ = now;
  expect_first_event(mean_others_outstanding);
  record_rollout_send();
  sent.missing_tokens = pending_prefill_tokens_;
  sent.expected_ms = std::llround(expected_->forecast.total_ms());
  sent.weights = run_weights_;
  sent.software = backend->record.software;
  sent.last_event_id = last_event_id_.value_or(-1);
  sent.cache_source = cache.source;
  sent.copy_of = cache.resume_from;
  note_distances(*backend, cache, sent);
  event_log_.add(sent);
  context_.pool.outliers().on_dispatch(backend->record.id, now);
  const std::string id = plan_.fields.id;
  const std::string id_name = context_.names.request_id;
  connection->send(request_head(*backend, cache, now), plan_.request.body, this,
                   [id, id_name](int, const http1::Headers& headers) {
                     const std::string* echoed = headers.find(id_name);
                     return echoed == nullptr || *echoed == id;
                   });
  connection->set_reading(!paused_);
  arm_timer(deadline_);
}

void ActiveRequest::add_pending_prefill(const CachePlan& cache) {
  const TimePoint now = context_.loop.now();
  const uint32_t own = backend_->cache_estimate.cached_tokens(chain_, run_weights_, now);
  uint32_t present = own;
  if (const CacheStore* store = context_.stores.find(cache.source)) {
    present = std::max(present, store->cache_estimate.held_tokens(chain_, run_weights_, now));
  } else if (!cache.source.empty()) {
    present = std::max(present, placement::shared_tokens(chain_));
  }
  moved_tokens_ = present - own;
  pending_prefill_tokens_ = chain_.prompt_tokens - std::min(chain_.prompt_tokens, present);
  backend_->prefill_tokens += pending_prefill_tokens_;
  backend_->cache_estimate.note_pending(chain_, run_weights_, now);
}

void ActiveRequest::note_prompt_cached() {
  const TimePoint now = context_.loop.now();
  fleet::ChainPlacement placement;
  placement.holder = backend_->record.id;
  placement.weights = run_weights_;
  for (size_t position = 0; position + 1 < chain_.prompt_parts.size(); ++position) {
    placement.links.push_back(chain_.prompt_parts[position].hash);
  }
  if (placement.links.empty()) {
    return;
  }
  const bool known = backend_->cache_estimate.observed_within(chain_, run_weights_, now, kReannounceInterval);
  backend_->cache_estimate.note_held(placement.links, run_weights_, now);
  if (!known) {
    context_.announce_placement(placement);
  }
  if (CacheStore* store = context_.stores.find(store_target_)) {
    store->cache_estimate.note_held(placement.links, run_weights_, now);
    placement.holder = store->address;
    context_.announce_placement(placement);
  }
}

}  // namespace stoat::dispatch
