#include "src/router/router_core.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/common/zone.h"
#include "src/control/prompt_namespace.h"
#include "src/router/router_limits.h"

namespace stoat::router {

namespace {

using control::ClaimState;
using control::RowKind;
using wire::FailureReason;
using wire::Outcome;

constexpr Duration kExpectedGeneration = 3s;
constexpr size_t kSweepEntriesPerTick = 2000;

}  // namespace

RouterCore::RouterCore(const RouterOptions& options, uint64_t seed, TimePoint now, Metrics* metrics)
    : options_(options),
      random_(seed),
      metrics_(metrics),
      owners_changed_at_(now),
      serving_(region_of(options.zone)),
      policy_(placement::make_policy(options.policy, costs_)),
      expected_(std::make_unique<cache::PrefixIndex>()),
      expected_before_(std::make_unique<cache::PrefixIndex>()),
      hot_detector_(options.hot_requests_per_second),
      last_hot_review_(now) {
  // Call ids of one start never meet those of another.
  last_control_call_ = random_.bits() >> 16U;
  last_call_id_ = random_.bits() >> 16U;
}

std::vector<RouterAction> RouterCore::take_actions() {
  std::vector<RouterAction> actions;
  actions.swap(actions_);
  return actions;
}

size_t RouterCore::queued_requests() const {
  size_t count = 0;
  for (const auto& [serves, queue] : queues_) {
    count += queue.size();
  }
  return count;
}

void RouterCore::on_sidecar_connected(SidecarId sidecar) {
  sidecars_.insert(sidecar);
  if (draining_) {
    actions_.push_back(SendToSidecar{sidecar, wire::RouterDraining{true}});
  }
  if (!spread_by_me_.prefixes.empty()) {
    actions_.push_back(SendToSidecar{sidecar, spread_by_me_});
  }
}

void RouterCore::on_sidecar_gone(SidecarId sidecar, TimePoint now) {
  sidecars_.erase(sidecar);
  for (auto& [request_id, request] : requests_) {
    if (request.sidecar == sidecar && request.orphaned_at == TimePoint(0)) {
      request.orphaned_at = now;
    }
  }
}

void RouterCore::start_draining() {
  draining_ = true;
  for (const SidecarId sidecar : sidecars_) {
    actions_.push_back(SendToSidecar{sidecar, wire::RouterDraining{true}});
  }
}

admission::RowLimiter& RouterCore::limiter(RowKind kind, const std::string& name, TimePoint now) {
  admission::RowLimiter& row_limiter = limiters_[{kind, name}];
  if (row_limiter.row().name != name) {
    row_limiter.configure(configuration_.row(kind, name), std::max<size_t>(1, region_routers().size()), now);
    if (row_limiter.limited()) {
      next_quota_ask_ = now;  // do not let the first requests of a row wait for the next round
    }
  }
  return row_limiter;
}

bool RouterCore::check_submit(const wire::SubmitRequest& submit, const Request& request, TimePoint now) {
  // Another router, frozen perhaps, may still run what it was sent; repeatable or not, "not run" might not
  // stay true.
  const bool ran_before = submit.may_have_run;
  const SidecarId sidecar = request.sidecar;
  if (draining_) {
    refuse(submit, sidecar, FailureReason::kDraining, "this router is stopping", Duration(0), ran_before);
    return false;
  }
  const bool is_model = submit.kind == wire::RequestKind::kCompletion;
  const bool known =
      is_model ? configuration_.models.count(submit.serves) > 0
               : std::any_of(configuration_.backends.begin(), configuration_.backends.end(),
                             [&](const auto& entry) { return entry.second.serves == submit.serves; });
  if (!known) {
    refuse(submit, sidecar, FailureReason::kUnknownModel, "no model or service named " + submit.serves,
           Duration(0), ran_before);
    return false;
  }
  if (!submit.resume.empty() || submit.may_have_run) {
    return true;  // admitted once already
  }
  if (queued_requests() >= options_.max_queue) {
    refuse(submit, sidecar, FailureReason::kQueueFull, "the queue is full", kBusyRetryAfter, ran_before);
    return false;
  }
  Duration retry_after{0};
  const uint32_t tokens = request.prompt_tokens + submit.max_tokens;
  admission::RowLimiter& tenant = limiter(RowKind::kTenant, submit.tenant, now);
  if (!tenant.admit(tokens, now, retry_after)) {
    refuse(submit, sidecar, FailureReason::kOverCeiling, "over the ceiling of tenant " + submit.tenant,
           retry_after, ran_before);
    return false;
  }
  admission::RowLimiter& service = limiter(RowKind::kService, submit.serves, now);
  if (!service.admit(tokens, now, retry_after)) {
    refuse(submit, sidecar, FailureReason::kOverCeiling, "over the ceiling of service " + submit.serves,
           retry_after, ran_before);
    return false;
  }
  return true;
}

void RouterCore::prepare(Request& request, TimePoint now) {
  const wire::SubmitRequest& submit = request.submit;
  request.tenant_row = configuration_.row(RowKind::kTenant, submit.tenant);
  const control::PolicyRow service_row = configuration_.row(RowKind::kService, submit.serves);
  const int64_t queue_ms = std::min(request.tenant_row.queue_time_ms, service_row.queue_time_ms);
  const int64_t deadline_ms = submit.deadline_left_ms > 0 ? submit.deadline_left_ms : queue_ms;
  request.start_by = now + Duration(1000 * std::min(queue_ms, deadline_ms));
  request.prompt_tokens = cache::count_tokens(submit.prompt);
  request.digest =
      hash_bytes(submit.prompt, hash_bytes(submit.serves + submit.method + submit.path) + submit.max_tokens);
  request.next_index = submit.next_index;
  request.text = submit.delivered;
  request.may_have_run = submit.may_have_run;
  if (submit.kind != wire::RequestKind::kCompletion) {
    request.prefix_key = hash_bytes(submit.path);
    return;
  }
  hash_prompt(request);
}

void RouterCore::hash_prompt(Request& request) const {
  const wire::SubmitRequest& submit = request.submit;
  const bool up_to_date =
      request.hashed_at_version != 0 && request.hashed_at_version == configuration_.version;
  if (submit.kind != wire::RequestKind::kCompletion || up_to_date) {
    return;
  }
  request.hashed_at_version = configuration_.version;
  const cache::Namespace name_space =
      control::prompt_namespace(configuration_, submit.tenant, submit.serves, options_.block_tokens);
  const uint64_t seed = cache::namespace_seed(name_space);
  if (seed == request.seed) {
    return;
  }
  request.seed = seed;
  request.weights_version = name_space.weights_version;
  request.chain = cache::block_chain(seed, submit.prompt, options_.block_tokens);
  request.prefix_key = request.chain.empty() ? cache::chain_root(seed, submit.prompt, options_.block_tokens)
                                             : request.chain.front();
}

bool RouterCore::is_whole(const Request& request) {
  return request.submit.kind == wire::RequestKind::kCompletion && request.submit.max_tokens > 0 &&
         request.next_index >= request.submit.max_tokens;
}

void RouterCore::on_submit(SidecarId sidecar, wire::SubmitRequest submit, TimePoint now) {
  const uint64_t request_id = submit.request_id;
  if (const auto former = requests_.find(request_id); former != requests_.end()) {
    // The sidecar lost its connection and asks again: read on from where the engine runs it.
    Request& old = former->second;
    const bool waits = old.phase == Phase::kClaiming || old.phase == Phase::kQueued;
    const bool goes_on =
        waits || (old.phase == Phase::kRunning && old.submit.kind == wire::RequestKind::kPlain);
    if (goes_on || submit.attempt <= old.submit.attempt) {
      old.sidecar = sidecar;
      old.orphaned_at = TimePoint(0);
      old.submit.attempt = std::max(old.submit.attempt, submit.attempt);
      // The sidecar may have tried other routers in between.
      old.submit.may_have_run |= submit.may_have_run;
      old.may_have_run |= submit.may_have_run;
      return;
    }
    submit.resume = {wire::ResumePoint{old.backend, old.incarnation, old.engine_attempt, old.claim_id}};
    leave_call(old);
    uncount(old, now);
    requests_.erase(former);
    Request& request = requests_[request_id];
    request.submit = std::move(submit);
    request.sidecar = sidecar;
    prepare(request, now);
    const wire::ResumePoint where = request.submit.resume.front();
    start_resume(request, where, now);
    return;
  }
  Request request;
  request.submit = std::move(submit);
  request.sidecar = sidecar;
  prepare(request, now);
  if (!check_submit(request.submit, request, now)) {
    return;
  }
  metrics_->count("stoat_router_requests_total");
  if (!request.chain.empty()) {
    hot_detector_.on_request(request.prefix_key);
  }
  retry_budget_.on_first_attempt();
  Request& kept = requests_[request_id] = std::move(request);
  if (!kept.submit.resume.empty()) {
    const wire::ResumePoint where = kept.submit.resume.front();
    start_resume(kept, where, now);
  } else if (!kept.submit.repeatable) {
    request_claim(kept, now);
  } else {
    enqueue(kept, now);
  }
}

void RouterCore::enqueue(Request& request, TimePoint now) {
  request.phase = Phase::kQueued;
  admission::FairQueue& queue = queues_[request.submit.serves];
  // What cannot start in time is refused now, not when its time is up.
  const double ahead = queue.cost_ahead(request.tenant_row.priority);
  const size_t engine_count = serving_.of(request.submit.serves).entries.size();
  if (queue.size() > 0 && engine_count > 0) {
    const Duration expected(
        static_cast<int64_t>(costs_.prefill_us(ahead) / static_cast<double>(engine_count)));
    if (now + expected > request.start_by) {
      end_claim(request, ClaimState::kReleased, "");
      finish_with(request, request.may_have_run ? Outcome::kUnknown : Outcome::kNotRun,
                  FailureReason::kDeadline, "the queue is longer than the request can wait",
                  now + expected - request.start_by + kBusyRetryAfter, now);
      return;
    }
  }
  admission::Waiting waiting;
  waiting.request_id = request.submit.request_id;
  waiting.flow = request.submit.tenant;
  waiting.priority = request.tenant_row.priority;
  waiting.share = request.tenant_row.share;
  waiting.cost = request.prompt_tokens + request.submit.max_tokens;
  queue.push(waiting);
  pump_queues(now);
}

void RouterCore::pump_queues(TimePoint now) {
  for (auto& [serves, queue] : queues_) {
    std::set<std::string> blocked_flows;
    while (queue.size() > 0) {
      const auto eligible = [&, &serves = serves](const admission::Waiting& waiting) {
        return blocked_flows.count(waiting.flow) == 0 &&
               limiter(RowKind::kTenant, waiting.flow, now).may_start(now) &&
               limiter(RowKind::kService, serves, now).may_start(now);
      };
      const auto waiting = queue.pop(eligible);
      if (!waiting) {
        break;
      }
      const auto found = requests_.find(waiting->request_id);
      if (found == requests_.end()) {
        continue;
      }
      Request& request = found->second;
      if (try_dispatch(request, now)) {
        request.counted_as_running = true;
        limiter(RowKind::kTenant, waiting->flow, now).started();
        limiter(RowKind::kService, serves, now).started();
        continue;
      }
      queue.put_back(*waiting);
      if (request.excluded.empty()) {
        break;  // no engine has room for anyone
      }
      blocked_flows.insert(waiting->flow);
    }
  }
}

void RouterCore::on_configuration(const control::Configuration& configuration, TimePoint now) {
  if (configuration.version < configuration_.version) {
    return;
  }
  configuration_ = configuration;
  const size_t router_count = std::max<size_t>(1, region_routers().size());
  for (auto& [key, row_limiter] : limiters_) {
    row_limiter.configure(configuration_.row(key.first, key.second), router_count, now);
  }
  assign_homes(now);
  serving_.rebuild(configuration_, engines_, outliers_);
  pump_queues(now);
}

void RouterCore::tick(TimePoint now) {
  expire_queued(now);
  drop_orphans(now);
  poll_feeds(now);
  send_digest(now);
  ask_quotas(now);
  review_hot_prefixes(now);
  start_hedges(now);
  index_.sweep(kSweepEntriesPerTick);
  if (now >= next_generation_) {
    next_generation_ = now + kExpectedGeneration;
    expected_before_ = std::move(expected_);
    expected_ = std::make_unique<cache::PrefixIndex>();
  }
  pump_queues(now);
}

}  // namespace stoat::router
