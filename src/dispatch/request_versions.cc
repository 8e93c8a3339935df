/// ActiveRequest: versions. Services that are moved to another version of their program: which of its back
/// ends a request may go to, and what is counted of its answer; and the weights that an answer was made with.
#include <algorithm>

#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

namespace {

/// Keeps, of the back ends of the version on trial, those that bear its share.
void keep_sample(std::vector<BackendPtr>& found, const fleet::ServiceRollout& rollout) {
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

std::vector<BackendPtr> ActiveRequest::of_wanted_version(std::vector<BackendPtr> found) const {
  const rollout::VersionLimits limits = context_.versions.limits(plan_.service, sampled_);
  if (limits.rollout == nullptr) {
    return found;
  }
  if (limits.rollout->phase == fleet::RolloutPhase::kTrial && sampled_) {
    keep_sample(found, *limits.rollout);
  }
  // A version whose back ends were all tried, or load weights, is as good as not there.
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

void ActiveRequest::draw_version() {
  if (context_.versions.find(plan_.service) == nullptr) {
    return;
  }
  sampled_ = context_.versions.draw(plan_.service, plan_.route->name, context_.random.unit(), plan_.arrived);
  // The other versions may have room where the sampled back ends have none: nobody waits for a trial.
  sampled_ = sampled_ && has_room();
}

bool ActiveRequest::may_go_on_at(const Backend& copy, const Backend& origin) const {
  const rollout::VersionLimits limits = context_.versions.limits(plan_.service, sampled_);
  return limits.rollout == nullptr || (copy.record.software == origin.record.software &&
                                       limits.rank(copy.record.software) != rollout::VersionLimits::kNever);
}

void ActiveRequest::count_send() {
  const fleet::ServiceRollout* rollout = context_.versions.find(plan_.service);
  if (rollout == nullptr || rollout->final()) {
    return;
  }
  const fleet::BackendRecord& record = backend_->record;
  rollout::CountedRequest send;
  send.key.rollout = rollout->id;
  send.key.target = record.software == rollout->target_version;
  send.key.engine = send.key.target ? record.id : "";
  send.key.route = plan_.route->name;
  send.key.condition = rollout::classify_condition(
      counted_prefill_, backend_->outstanding + backend_->others_outstanding, record.slots);
  send.objective = Duration(1000 * plan_.route->target_latency_ms);
  context_.answers.begin(send, context_.loop.now());
  counted_send_ = send;
  if (send.key.target && rollout->phase == fleet::RolloutPhase::kTrial) {
    sampled_ = false;  // its repeats, if any, go to a version that is known
  }
}

void ActiveRequest::count_first_event() {
  if (counted_send_) {
    context_.answers.first_event(*counted_send_, context_.loop.now());
  }
}

void ActiveRequest::count_failure(ExchangeFailure failure) {
  switch (failure) {
    case ExchangeFailure::kNotConnected:
      count_end(rollout::SendOutcome::kNotRun);
      break;
    case ExchangeFailure::kMalformed:
      count_end(rollout::SendOutcome::kFailed);
      break;
    case ExchangeFailure::kBroken:
    case ExchangeFailure::kSilent:
      count_end(rollout::SendOutcome::kBroken);
      break;
  }
}

void ActiveRequest::count_end(rollout::SendOutcome end) {
  if (counted_send_) {
    context_.answers.end(*counted_send_, end, context_.loop.now());
    counted_send_.reset();
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
  tried_.erase(backend_->record.id);  // it was asked for the wrong weights; it may be asked again
}

}  // namespace stoat::dispatch
