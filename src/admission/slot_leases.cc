#include "src/admission/slot_leases.h"

#include <algorithm>
#include <utility>

namespace stoat::admission {

namespace {

/// A leader that has not answered a report with waiting requests for this long is considered unreachable.
constexpr Duration kSlotAnswerTimeout = 500ms;
/// How long a leader that stated that it grants nothing is not waited for.
constexpr Duration kNotGrantingRetryDelay = 200ms;

}  // namespace

uint64_t SlotLeases::add_request(LeaseRequest request, OutcomeHandler on_outcome) {
  PendingRequest& added = requests_[++last_id_];
  added.request = std::move(request);
  added.on_outcome = std::move(on_outcome);
  return last_id_;
}

LeaseOutcome SlotLeases::outcome(uint64_t id) const {
  const auto known = requests_.find(id);
  return known == requests_.end() ? LeaseOutcome{} : known->second.outcome;
}

void SlotLeases::remove_request(uint64_t id) { requests_.erase(id); }

fleet::SlotReport SlotLeases::take_report(std::vector<fleet::SlotUse> in_use, TimePoint now) {
  fleet::SlotReport report;
  report.epoch = epoch_;
  report.last_grant = last_grant_;
  report.in_use = std::move(in_use);
  for (auto& [id, pending] : requests_) {
    if (!pending.outcome.backend.empty()) {
      report.in_use.push_back({pending.outcome.backend, 1});
    } else if (!pending.outcome.wait && now < pending.request.wait_until) {
      report.waiting.push_back({id, pending.request.urgency,
                                to_milliseconds(pending.request.wait_until - now), pending.request.backends});
      pending.reported_at = pending.reported_at.value_or(now);
    }
  }
  for (const std::string& backend : std::exchange(rejected_, {})) {
    report.rejected.push_back(backend);
  }
  report.answer_wanted = !report.waiting.empty() || !grants_expected(now);
  if (report.answer_wanted && !unanswered_since_) {
    unanswered_since_ = now;
  }
  return report;
}

bool SlotLeases::on_answer(const fleet::SlotAnswer& answer, TimePoint now) {
  unanswered_since_.reset();
  if (std::exchange(epoch_, answer.epoch) != answer.epoch) {
    last_grant_ = 0;
  }
  if (!answer.granting) {
    on_no_leader(now);
    return false;
  }
  not_granting_until_ = TimePoint(0);
  std::vector<OutcomeHandler> handlers;
  bool slot_returned = false;
  for (const fleet::SlotGrant& grant : answer.grants) {
    last_grant_ = std::max(last_grant_, grant.number);
    const auto known = requests_.find(grant.request);
    const bool usable = known != requests_.end() && known->second.reported_at &&
                        now - *known->second.reported_at < kSlotGrantLifetime;
    slot_returned = slot_returned || !usable;
    if (usable) {
      known->second.outcome.backend = grant.backend;
      handlers.push_back(known->second.on_outcome);
    }
  }
  for (const fleet::SlotDenial& denial : answer.denials) {
    const auto known = requests_.find(denial.request);
    if (known != requests_.end() && known->second.outcome.backend.empty()) {
      known->second.outcome.wait = Duration(1000 * std::max<int64_t>(0, denial.wait_ms));
      handlers.push_back(known->second.on_outcome);
    }
  }
  call(handlers);
  return slot_returned;
}

void SlotLeases::on_no_leader(TimePoint now) {
  not_granting_until_ = now + kNotGrantingRetryDelay;
  std::vector<OutcomeHandler> handlers;
  for (const auto& [id, pending] : requests_) {
    handlers.push_back(pending.on_outcome);
  }
  call(handlers);
}

void SlotLeases::call(const std::vector<OutcomeHandler>& handlers) {
  for (const OutcomeHandler& handler : handlers) {
    handler();
  }
}

bool SlotLeases::grants_expected(TimePoint now) const {
  const bool answers = !unanswered_since_ || now - *unanswered_since_ < kSlotAnswerTimeout;
  return answers && now >= not_granting_until_;
}

}  // namespace stoat::admission
