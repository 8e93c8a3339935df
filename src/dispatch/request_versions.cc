/// ActiveRequest: versions. While a rollout of another software version is in progress for a service, selects
/// the backends that a request may be sent to by their version, and keeps statistics of the responses. Also
/// handles the weights version that produced a response.
#include <algorithm>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// Removes the backends of the version on trial that are not in the sample that receives its traffic share.
void restrict_to_sample(std::vector<BackendPtr>& found, const fleet::ServiceRollout& rollout) {
  std::vector<std::string> ids;
  for (const BackendPtr& backend : found) {
    if (backend->record.software == rollout.target_version && !backend->record.lost) {
      ids.push_back(backend->record.id);
    }
  }
  const std::vector<std::string> sample = rollout::sampled_backends(std::move(ids), rollout);
  if (sample.empty()) {
    return;
  }
  std::erase_if(found, [&](const BackendPtr& backend) {
    return backend->record.software == rollout.target_version &&
           std::find(sample.begin(), sample.end(), backend->record.id) == sample.end();
  });
}

}  // namespace

std::vector<BackendPtr> ActiveRequest::filter_by_version(std::vector<BackendPtr> found) const {
  if (origin_) {
    std::erase_if(found, [this](const BackendPtr& backend) { return !may_go_on_at(*backend, *origin_); });
    return found;
  }
  const rollout::VersionLimits limits = context_.versions.limits(plan_.service, in_trial_sample_);
  if (limits.rollout == nullptr) {
    return found;
  }
  if (limits.rollout->phase == fleet::RolloutPhase::kTrial && in_trial_sample_) {
    restrict_to_sample(found, *limits.rollout);
  }
  // A version counts as unavailable if each of its backends was already tried or is loading weights.
  int best = rollout::VersionLimits::kNever;
  for (const BackendPtr& backend : found) {
    if (!backend->record.loading && tried_.count(backend->record.id) == 0) {
      best = std::min(best, limits.rank(backend->record.software));
    }
  }
  std::erase_if(found, [&](const BackendPtr& backend) {
    return best == rollout::VersionLimits::kNever || limits.rank(backend->record.software) != best;
  });
  return found;
}

void ActiveRequest::sample_for_trial() {
  if (origin_ || context_.versions.find(plan_.service) == nullptr) {
    return;
  }
  in_trial_sample_ =
      context_.versions.draw(plan_.service, plan_.route->name, context_.random.uniform_real(), plan_.arrived);
  // The other versions may have room when the sampled backends have none: no request waits because of a
  // trial.
  in_trial_sample_ = in_trial_sample_ && has_room();
}

void ActiveRequest::record_rollout_send() {
  const fleet::ServiceRollout* rollout = context_.versions.find(plan_.service);
  if (rollout == nullptr || rollout->final()) {
    return;
  }
  const fleet::BackendRecord& record = backend_->record;
  rollout::CountedRequest request;
  request.key.rollout = rollout->id;
  request.key.target = record.software == rollout->target_version;
  request.key.engine = request.key.target ? record.id : "";
  request.key.route = plan_.route->name;
  request.key.condition = rollout::classify_condition(
      pending_prefill_tokens_, backend_->outstanding + backend_->others_outstanding, record.slots);
  request.objective = Duration(1000 * plan_.route->target_latency_ms);
  context_.answers.begin(request, context_.loop.now());
  rollout_send_ = request;
  if (request.key.target && rollout->phase == fleet::RolloutPhase::kTrial) {
    in_trial_sample_ = false;  // retries go to an established version
  }
}

void ActiveRequest::record_rollout_first_event() {
  if (rollout_send_) {
    context_.answers.first_event(*rollout_send_, context_.loop.now());
  }
}

void ActiveRequest::record_rollout_failure(ExchangeFailure failure) {
  const bool own_link = !connection_->relayed() && context_.pool.links().prefers_relay(backend_->record.id);
  const bool answered = failure == ExchangeFailure::kMalformed || failure == ExchangeFailure::kTooLong;
  if (own_link && !answered) {
    record_rollout_end(rollout::SendOutcome::kAbandoned);  // says nothing of the version
    return;
  }
  switch (failure) {
    case ExchangeFailure::kRelayLost:
      record_rollout_end(rollout::SendOutcome::kAbandoned);
      break;
    case ExchangeFailure::kNotConnected:
      record_rollout_end(rollout::SendOutcome::kNotRun);
      break;
    case ExchangeFailure::kMalformed:
    case ExchangeFailure::kTooLong:
      record_rollout_end(rollout::SendOutcome::kFailed);
      break;
    case ExchangeFailure::kBroken:
    case ExchangeFailure::kSilent:
      record_rollout_end(rollout::SendOutcome::kBroken);
      break;
  }
}

void ActiveRequest::record_rollout_end(rollout::SendOutcome end) {
  if (rollout_send_) {
    context_.answers.end(*rollout_send_, end, context_.loop.now());
    rollout_send_.reset();
  }
}

void ActiveRequest::note_weights(const http1::Headers& headers) {
  const std::string* text = headers.find(context_.names.weights_version);
  const auto version = text == nullptr ? std::nullopt : parse_integer(*text);
  const uint64_t known = backend_->record.version_of(plan_.fields.model);
  if (!version || known == 0 || static_cast<uint64_t>(*version) <= known) {
    return;
  }
  BackendPool::note_version(*backend_, plan_.fields.model, static_cast<uint64_t>(*version));
  tried_.erase(backend_->record.id);  // may be tried again: the request expected an outdated weights version
}

}  // namespace stoat::dispatch
