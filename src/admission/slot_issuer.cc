#include "src/admission/slot_issuer.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "src/admission/permit_issuer.h"

namespace stoat::admission {

namespace {

/// Leases of a previous leader are used within kSlotGrantLifetime after it stopped granting, and reported
/// with the next report.
constexpr Duration kSlotTakeoverDelay = kPermitLease + kSlotGrantLifetime + kSlotReportInterval;
/// How often a slot is added to the room of a full backend. Longer than a rejection takes to be reported.
constexpr Duration kRoomGrowthInterval = 50ms;
/// The same for a backend that has rejected requests.
constexpr Duration kRoomGrowthIntervalAfterRejection = 1s;
/// Time constant of the moving average of a service's grants.
constexpr Duration kGrantRateWindow = 1s;

}  // namespace

void SlotIssuer::start_leading(TimePoint now) {
  routers_.clear();
  backends_.clear();
  services_.clear();
  waiting_.clear();
  wait_keys_.clear();
  answers_.clear();
  grants_from_ = now + kSlotTakeoverDelay;
  epoch_ = static_cast<uint64_t>(now.count());
}

SlotIssuer::Backend& SlotIssuer::backend_of(const std::string& id) {
  const auto [entry, added] = backends_.try_emplace(id);
  if (added) {
    BackendInfo info = lookup_(id);
    entry->second.room = std::max<uint32_t>(1, info.slots / 2);
    entry->second.service = std::move(info.service);
  }
  return entry->second;
}

void SlotIssuer::grow_room(const std::string& id, Backend& backend, TimePoint now) {
  const Duration interval = backend.has_rejected ? kRoomGrowthIntervalAfterRejection : kRoomGrowthInterval;
  if (backend.in_use < backend.room || now - backend.room_changed_at < interval) {
    return;
  }
  // What is in use beyond the room was sent before the backend became brittle, and was not rejected.
  const uint32_t slots = std::max<uint32_t>(1, lookup_(id).slots);
  backend.room = std::min(slots, backend.in_use + 1);
  backend.room_changed_at = now;
  capacity_freed_ = capacity_freed_ || backend.in_use < backend.room;
}

bool SlotIssuer::has_room(const std::string& id, TimePoint now) {
  Backend& backend = backend_of(id);
  if (now < backend.paused_until) {
    return false;
  }
  grow_room(id, backend, now);
  return backend.in_use < backend.room;
}

std::map<std::string, uint32_t> SlotIssuer::Router::total_use() const {
  std::map<std::string, uint32_t> total = in_use;
  for (const Grant& grant : unacknowledged) {
    ++total[grant.backend];
  }
  return total;
}

void SlotIssuer::set_use(Router& router, std::map<std::string, uint32_t> in_use, uint64_t last_grant) {
  const std::map<std::string, uint32_t> before = router.total_use();
  router.in_use = std::move(in_use);
  std::erase_if(router.unacknowledged,
                [last_grant](const Grant& grant) { return grant.number <= last_grant; });
  for (const auto& [id, slots] : router.total_use()) {
    backend_of(id).in_use += slots;
  }
  for (const auto& [id, slots] : before) {
    Backend& backend = backend_of(id);
    capacity_freed_ = capacity_freed_ || backend.in_use >= backend.room;
    backend.in_use -= slots;
  }
}

void SlotIssuer::note_rejection(const std::string& id, TimePoint now) {
  Backend& backend = backend_of(id);
  const bool already_paused = now < backend.paused_until;
  backend.paused_until = now + kPauseAfterRejection;
  backend.has_rejected = true;
  if (!already_paused) {
    // The rejected request itself is no longer in use.
    backend.room = std::max<uint32_t>(1, std::min(backend.room, backend.in_use));
  }
  backend.room_changed_at = backend.paused_until;
}

void SlotIssuer::on_report(const fleet::SlotReport& report, TimePoint now) {
  Router& router = routers_[report.router];
  if (router.start_id != report.start_id) {
    release(router);
    router = Router{};
    router.start_id = report.start_id;
  }
  router.reported_at = now;
  std::map<std::string, uint32_t> in_use;
  for (const fleet::SlotUse& use : report.in_use) {
    in_use[use.backend] += use.slots;
  }
  set_use(router, std::move(in_use), report.epoch == epoch_ ? report.last_grant : 0);
  for (const std::string& backend : report.rejected) {
    note_rejection(backend, now);
  }
  update_waiting(report, now);
  assign(now);
}

void SlotIssuer::update_waiting(const fleet::SlotReport& report, TimePoint now) {
  std::set<uint64_t> reported;
  for (const fleet::SlotRequest& request : report.waiting) {
    reported.insert(request.id);
  }
  remove_waiters(report.router, reported);
  const Router& router = routers_[report.router];
  for (const fleet::SlotRequest& request : report.waiting) {
    const bool granted = std::any_of(router.unacknowledged.begin(), router.unacknowledged.end(),
                                     [&](const Grant& grant) { return grant.request == request.id; });
    if (!granted && wait_keys_.count({report.router, request.id}) == 0) {
      add_waiter(report.router, request, now);
    }
  }
}

void SlotIssuer::remove_waiters(const std::string& router, const std::set<uint64_t>& retained) {
  for (auto known = wait_keys_.lower_bound({router, 0});
       known != wait_keys_.end() && known->first.first == router;) {
    const auto waiter = waiting_.find((known++)->second);
    if (retained.count(waiter->second.request) == 0) {
      remove_waiter(waiter);
    }
  }
}

void SlotIssuer::add_waiter(const std::string& router, const fleet::SlotRequest& request, TimePoint now) {
  if (request.backends.empty() || !granting(now)) {
    return;
  }
  const Duration max_wait(1000 * std::max<int64_t>(0, request.max_wait_ms));
  Waiter waiter{router, request.id, now + max_wait, backend_of(request.backends.front()).service,
                request.backends};
  for (const std::string& backend : request.backends) {
    if (has_room(backend, now)) {
      grant(waiter, backend, now);
      return;
    }
  }
  const Duration wait = expected_wait(waiter.service, now);
  if (wait > max_wait) {
    answers_[router].denials.push_back({request.id, to_milliseconds(wait)});
    return;
  }
  const WaitKey key{request.urgency, ++arrivals_};
  ++services_[waiter.service].waiting;
  wait_keys_[{router, request.id}] = key;
  waiting_.emplace(key, std::move(waiter));
}

std::map<SlotIssuer::WaitKey, SlotIssuer::Waiter>::iterator SlotIssuer::remove_waiter(
    std::map<WaitKey, Waiter>::iterator waiter) {
  --services_[waiter->second.service].waiting;
  wait_keys_.erase({waiter->second.router, waiter->second.request});
  return waiting_.erase(waiter);
}

Duration SlotIssuer::expected_wait(const std::string& service, TimePoint now) const {
  const auto known = services_.find(service);
  if (known == services_.end() || known->second.grants_per_second <= 0 ||
      now - known->second.last_grant_at > kGrantRateWindow) {
    return Duration(0);
  }
  return from_seconds((known->second.waiting + 1) / known->second.grants_per_second);
}

void SlotIssuer::grant(const Waiter& waiter, const std::string& backend, TimePoint now) {
  Router& router = routers_[waiter.router];
  const Grant granted{++router.last_grant, waiter.request, backend};
  router.unacknowledged.push_back(granted);
  ++backend_of(backend).in_use;
  answers_[waiter.router].grants.push_back({granted.number, granted.request, granted.backend});
  Service& service = services_[waiter.service];
  const double window_s = to_seconds(kGrantRateWindow);
  const double elapsed_s = to_seconds(now - service.last_grant_at);
  service.grants_per_second = service.grants_per_second * std::exp(-elapsed_s / window_s) + 1 / window_s;
  service.last_grant_at = now;
}

void SlotIssuer::assign(TimePoint now) {
  if (!std::exchange(capacity_freed_, false) || !granting(now)) {
    return;
  }
  for (auto waiter = waiting_.begin(); waiter != waiting_.end();) {
    const auto& backends = waiter->second.backends;
    const auto free = std::find_if(backends.begin(), backends.end(),
                                   [&](const std::string& backend) { return has_room(backend, now); });
    if (free == backends.end()) {
      ++waiter;
      continue;
    }
    grant(waiter->second, *free, now);
    waiter = remove_waiter(waiter);
  }
}

void SlotIssuer::expire(TimePoint now) {
  for (auto router = routers_.begin(); router != routers_.end();) {
    if (now - router->second.reported_at < kSlotReportTimeout) {
      ++router;
      continue;
    }
    release(router->second);
    remove_waiters(router->first, {});
    router = routers_.erase(router);
  }
  for (auto waiter = waiting_.begin(); waiter != waiting_.end();) {
    waiter = now >= waiter->second.deadline ? remove_waiter(waiter) : std::next(waiter);
  }
  for (auto& [id, backend] : backends_) {
    grow_room(id, backend, now);
  }
  std::erase_if(backends_, [this](const auto& entry) {
    return entry.second.in_use == 0 && lookup_(entry.first).service.empty();
  });
  assign(now);
}

std::map<std::string, fleet::SlotAnswer> SlotIssuer::take_answers(const std::string& waiting_router,
                                                                  TimePoint now) {
  std::map<std::string, fleet::SlotAnswer> answers = std::exchange(answers_, {});
  if (!waiting_router.empty()) {
    answers.try_emplace(waiting_router);
  }
  for (auto& [router, answer] : answers) {
    answer.granting = granting(now);
    answer.epoch = epoch_;
    answer.start_id = routers_[router].start_id;
  }
  return answers;
}

}  // namespace stoat::admission
