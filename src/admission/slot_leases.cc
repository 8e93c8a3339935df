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

uint64_t SlotLeases::add_wish(SlotWish wish, OutcomeHandler on_outcome) {
  Wish& added = wishes_[++last_id_];
  added.wish = std::move(wish);
  added.on_outcome = std::move(on_outcome);
  return last_id_;
}

SlotOutcome SlotLeases::outcome(uint64_t id) const {
  const auto known = wishes_.find(id);
  return known == wishes_.end() ? SlotOutcome{} : known->second.outcome;
}

void SlotLeases::remove_wish(uint64_t id) { wishes_.erase(id); }

fleet::SlotReport SlotLeases::take_report(std::vector<fleet::SlotUse> in_use, TimePoint now) {
  fleet::SlotReport report;
  report.epoch = epoch_;
  report.last_grant = last_grant_;
  report.in_use = std::move(in_use);
  for (auto& [id, wish] : wishes_) {
    if (!wish.outcome.backend.empty()) {
      report.in_use.push_back({wish.outcome.backend, 1});
    } else if (!wish.outcome.wait && now < wish.wish.wait_until) {
      report.waiting.push_back(
          {id, wish.wish.urgency, to_milliseconds(wish.wish.wait_until - now), wish.wish.backends});
      wish.reported_at = wish.reported_at.value_or(now);
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
    const auto known = wishes_.find(grant.request);
    const bool usable = known != wishes_.end() && known->second.reported_at &&
                        now - *known->second.reported_at < kSlotGrantLifetime;
    slot_returned = slot_returned || !usable;
    if (usable) {
      known->second.outcome.backend = grant.backend;
      handlers.push_back(known->second.on_outcome);
    }
  }
  for (const fleet::SlotDenial& denial : answer.denials) {
    const auto known = wishes_.find(denial.request);
    if (known != wishes_.end() && known->second.outcome.backend.empty()) {
      known->second.outcome.wait = Duration(1000 * std::max<int64_t>(0, denial.wait_ms));
      handlers.push_back(known->second.on_outcome);
    }
  }
  for (const OutcomeHandler& handler : handlers) {
    handler();
  }
  return slot_returned;
}

void SlotLeases::on_no_leader(TimePoint now) {
  not_granting_until_ = now + kNotGrantingRetryDelay;
  call_all_handlers();
}

void SlotLeases::call_all_handlers() {
  std::vector<OutcomeHandler> handlers;
  for (const auto& [id, wish] : wishes_) {
    handlers.push_back(wish.on_outcome);
  }
  for (const OutcomeHandler& handler : handlers) {
    handler();
  }
}

bool SlotLeases::grants_expected(TimePoint now) const {
  const bool answers = !unanswered_since_ || now - *unanswered_since_ < kSlotAnswerTimeout;
  return answers && now >= not_granting_until_;
}

}  // namespace stoat::admission
