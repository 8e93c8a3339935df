/// ActiveRequest: streams that must not run twice, and that go on from the backup of their run when their
/// engine has ended. An engine that has only lost the connection may still work on the run.
#include <algorithm>
#include <utility>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// How often a request that waits for the fate of its engine looks.
constexpr Duration kOriginPollInterval = 10ms;
/// Data that an engine has sent before it ended arrives within this time.
constexpr Duration kDataDelay = 100ms;
/// An engine of which nothing was received for this long, and that no probe has reached, counts as
/// unreachable.
constexpr Duration kMaxOriginWait = 1s;

}  // namespace

bool ActiveRequest::may_hold_backup(const Backend& backend) const {
  return backend.record.state == fleet::BackendState::kReady && context_.pool.is_sound(backend) &&
         backend.backoff.may_send(backend.outstanding, context_.loop.now());
}

BackendPtr ActiveRequest::choose_backup(const Backend& target) const {
  const fleet::Service* service = plan_.table->service(plan_.service);
  const bool wanted = plan_.route->kind == fleet::RouteKind::kStreaming && !plan_.route->resumable;
  if (!wanted || service == nullptr || !service->engine.backups) {
    return nullptr;
  }
  BackendPtr best;
  for (const BackendPtr& backend : context_.pool.subset(plan_.service, target.name_hash, kSubsetSize)) {
    // A rate-limited backend might not accept a request when its backup is needed.
    if (!may_hold_backup(*backend) || backend->record.id == target.record.id ||
        context_.limits.per_second(backend->record.id) > 0 ||
        !may_go_on_at(*backend, {plan_.service, target.record.software}) ||
        backend->record.version_of(plan_.fields.model) != target.record.version_of(plan_.fields.model)) {
      continue;
    }
    // Backups within a zone are cheapest, and none crosses regions while an engine of the region can hold it.
    // Among equals, the less loaded engine has more room.
    const auto rank = [&](const Backend& entry) {
      return std::make_pair(topology::distance(entry.place, target.place),
                            entry.outstanding + entry.others_outstanding);
    };
    if (best == nullptr || rank(*backend) < rank(*best)) {
      best = backend;
    }
  }
  return best;
}

const char* ActiveRequest::backup_unusable_reason(const Backend& origin) const {
  const std::string& model = plan_.fields.model;
  // Without an event id to resume after, the engine would treat the request as a new run.
  if (!streaming_ || !last_event_id_) {
    return "no event yet";
  }
  if (backup_ == nullptr) {
    return resumed_from_backup_ ? "went on from a copy already" : "no copy";
  }
  // A backup is useless once the weights of either engine have changed, since it was made with the old ones.
  if (origin.record.loading || origin.record.version_of(model) != run_weights_ ||
      backup_->record.version_of(model) != run_weights_) {
    return "weights changed";
  }
  if (!may_hold_backup(*backup_) || !may_go_on_at(*backup_, {plan_.service, origin.record.software})) {
    return "the engine with the copy is not sound";
  }
  if (context_.loop.now() >= deadline_) {
    return "no time left";
  }
  if (suspected()) {
    return "back ends crashed under it";
  }
  const bool has_room = !counts_as_brittle(*backup_) || may_send_without_lease(*backup_);
  if (!has_room || !context_.limits.may_send(backup_->record.id, context_.loop.now())) {
    return "the engine with the copy takes no more requests now";
  }
  return nullptr;
}

bool ActiveRequest::resume_from_backup(const BackendPtr& origin, ExchangeFailure failure) {
  if (plan_.route->kind != fleet::RouteKind::kStreaming || plan_.route->resumable) {
    return false;  // no backups are made
  }
  if (const char* reason = backup_unusable_reason(*origin)) {
    event_log_.add(events::KvCacheCopyNotUsed{origin->record.id, reason, run_weights_});
    return false;
  }
  failed_origin_ = origin;
  origin_failed_at_ = context_.loop.now();
  if (failure == ExchangeFailure::kSilent) {
    send_to_backup();  // probes have failed already
    return true;
  }
  context_.pool.check(origin);
  decide_on_backup();
  return true;
}

ActiveRequest::OriginFate ActiveRequest::origin_fate() const {
  const Backend& origin = *failed_origin_;
  const TimePoint last_received = std::max(origin.direct.last_received_at, origin.relayed.last_received_at);
  if (origin.last_answered_send_at >= origin_failed_at_ || last_received >= origin_failed_at_ + kDataDelay) {
    return OriginFate::kAnswers;
  }
  const bool unreachable = origin.last_unreached_at >= origin_failed_at_ ||
                           context_.loop.now() - origin_failed_at_ >= kMaxOriginWait;
  return origin.ended_unexpectedly || unreachable ? OriginFate::kUnreachable : OriginFate::kUnknown;
}

void ActiveRequest::decide_on_backup() {
  switch (origin_fate()) {
    case OriginFate::kUnreachable:
      send_to_backup();
      break;
    case OriginFate::kAnswers:
      event_log_.add(events::KvCacheCopyNotUsed{failed_origin_->record.id,
                                                "its engine answers and may still work on it", run_weights_});
      failed_origin_ = nullptr;
      abort_stream("the engine broke off");
      break;
    case OriginFate::kUnknown:
      arm_timer(std::min(deadline_, context_.loop.now() + kOriginPollInterval));
      break;
  }
}

void ActiveRequest::send_to_backup() {
  const BackendPtr origin = std::exchange(failed_origin_, nullptr);
  const char* reason = backup_unusable_reason(*origin);  // it may have changed while the request waited
  if (reason == nullptr &&
      !context_.budget_of(plan_.service).take(context_.loop.now(), context_.router_count_estimate.count())) {
    reason = "no budget for repeats";
  }
  if (reason != nullptr) {
    event_log_.add(events::KvCacheCopyNotUsed{origin->record.id, reason, run_weights_});
    abort_stream("the engine broke off");
    return;
  }
  context_.metrics.count("stoat_router_copies_used_total");
  CachePlan cache;
  cache.resume_from = origin->record.address + "/" + plan_.fields.id;
  send_to(std::exchange(backup_, nullptr), cache, mean_others_outstanding());
}

}  // namespace stoat::dispatch
