/// A simulation of how routers and control members enforce the quota of one tenant, in simulated time.
/// Messages are delayed and lost, links are cut, and processes restart. Every admitted request is recorded,
/// and its cost is compared with the fleet-wide spending bound after each step.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/admission/quota_enforcer.h"
#include "src/admission/quota_ledger.h"
#include "src/common/random.h"
#include "tests/support/delayed_actions.h"

namespace stoat::test {

/// Returns the maximum amount that a tenant may spend within any window under a quota.
inline double max_spending_per_window(const fleet::TenantQuota& quota,
                                      const admission::QuotaTolerance& tolerance) {
  return (quota.per_second * to_seconds(tolerance.window) + quota.burst) * (1 + tolerance.overage) +
         tolerance.slack;
}

/// Settings of the simulation.
struct QuotaFleetOptions {
  size_t routers = 79;
  size_t members = 5;
  double rate = 118000;     ///< of the quota, in tokens per second
  double burst = 118000;    ///< of the quota, in tokens
  double demand = 160000;   ///< of all requests, in tokens per second
  double mean_cost = 9000;  ///< of a request, in tokens
  double max_cost = 46000;  ///< maximum cost of a request, in tokens
  Duration delay = 3ms;     ///< of a message, in addition to the wait for the next round of messages
  admission::QuotaTolerance tolerance{8s, 0.1, 110000};
  uint64_t seed = 1;
};

/// The simulated routers and control members, and the times and costs of all requests admitted for the
/// tenant.
class QuotaFleet {
 public:
  explicit QuotaFleet(const QuotaFleetOptions& options) : options_(options), random_(options.seed) {
    quota_.per_second = options.rate;
    quota_.burst = options.burst;
    quota_.unit = fleet::QuotaUnit::kTokens;
    for (size_t index = 0; index < options.members; ++index) {
      members_.push_back(std::make_unique<Member>(options_.tolerance, ++last_start_id_, now_));
      members_.back()->ledger.configure(tenants(), now_);
    }
    for (size_t index = 0; index < options.routers; ++index) {
      routers_.push_back(std::make_unique<Router>(options_.tolerance, random_.bits()));
      start_enforcer(*routers_.back());
    }
  }

  /// Advances time, with requests arriving.
  void run_for(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      step();
    }
  }
  /// Advances time without requests.
  void run_idle_for(Duration duration) {
    const double saved_demand = std::exchange(options_.demand, 0);
    run_for(duration);
    options_.demand = saved_demand;
  }

  void set_demand(double demand) { options_.demand = demand; }
  /// Sends all requests to one router; SIZE_MAX: spreads them over all routers.
  void set_target_router(size_t router) { target_router_ = router; }
  /// Changes the rate of the quota, and sets its burst to one second of the rate.
  void set_rate(double rate) {
    const double highest_rate = std::max(quota_.per_second, earlier_rate_);
    quota_.per_second = rate;
    quota_.burst = rate;
    earlier_rate_ = highest_rate;
    earlier_rate_until_ = now_ + kConfigurationDelay + options_.tolerance.window;
    for (auto& member : members_) {
      member->ledger.configure(tenants(), now_);
    }
    for (auto& router : routers_) {
      router->enforcer.configure(tenants());
    }
  }
  void restart_router(size_t index) {
    routers_[index] = std::make_unique<Router>(options_.tolerance, random_.bits());
    start_enforcer(*routers_[index]);
  }
  void restart_member(size_t index) {
    members_[index] = std::make_unique<Member>(options_.tolerance, ++last_start_id_, now_);
    members_[index]->ledger.configure(tenants(), now_);
    for (auto& router : routers_) {
      router->received_revisions.erase(index);
    }
  }
  /// Cuts a router off from all members, or reconnects it. While cut off, it accepts requests until its key
  /// lease ends.
  void cut_router(size_t index, bool cut) {
    routers_[index]->cut = cut;
    routers_[index]->link_changed_at = now_;
  }
  /// Cuts a member off from all routers and members, or reconnects it.
  void cut_member(size_t index, bool cut) {
    members_[index]->cut = cut;
    members_[index]->link_changed_at = now_;
  }
  /// Cuts a member off from the other members only, or reconnects it.
  void isolate_member(size_t index, bool isolated) {
    members_[index]->isolated = isolated;
    members_[index]->link_changed_at = now_;
  }
  /// Sets the probability that a message between members is lost. After a detected loss, all sums are sent
  /// again.
  void set_loss(double chance) { loss_ = chance; }

  /// Returns the maximum of spending within a window, as a fraction of the bound; above 1 it was exceeded.
  double max_fraction_of_bound() const { return max_fraction_of_bound_; }
  /// Returns the cost of the admitted requests, in tokens.
  double admitted_tokens() const { return admitted_tokens_; }
  /// Returns the cost of all requests, in tokens.
  double requested_tokens() const { return requested_tokens_; }
  /// Returns the number of requests refused because of the quota.
  size_t refused_requests() const { return refused_requests_; }
  /// Resets the totals of requested and admitted tokens and of refused requests.
  void reset_counts() { admitted_tokens_ = requested_tokens_ = 0, refused_requests_ = 0; }
  size_t router_count() const { return routers_.size(); }
  size_t member_count() const { return members_.size(); }

 private:
  static constexpr Duration kStep = 10ms;
  /// How long a router accepts access keys without contact to a member.
  static constexpr Duration kKeyLease = 4500ms;
  /// Time until members notice that a router is cut off.
  static constexpr Duration kRouterTimeout = 1500ms;
  /// Time until members notice that another member is cut off or isolated.
  static constexpr Duration kMemberTimeout = 600ms;
  /// Time until a new configuration is in force everywhere.
  static constexpr Duration kConfigurationDelay = 2500ms;

  struct Member {
    Member(const admission::QuotaTolerance& tolerance, uint64_t start_id, TimePoint now)
        : ledger(tolerance, start_id, now) {}
    admission::QuotaLedger ledger;
    bool cut = false;                ///< cut off from all routers and members
    bool isolated = false;           ///< cut off from the other members
    TimePoint link_changed_at{0};    ///< last change of `cut` or `isolated`
    std::map<size_t, bool> in_sync;  ///< by peer: no update from it has been lost since it last sent all sums
  };
  struct Router {
    Router(const admission::QuotaTolerance& tolerance, uint64_t seed) : enforcer(tolerance, seed) {}
    admission::QuotaEnforcer enforcer;
    bool cut = false;
    TimePoint link_changed_at{0};                   ///< last change of `cut`
    TimePoint last_contact{0};                      ///< last contact with a member
    size_t followed_member = SIZE_MAX;              ///< member that sends it the levels; SIZE_MAX: none yet
    std::map<size_t, uint64_t> received_revisions;  ///< last revision of the levels received, by member
  };

  std::vector<fleet::Tenant> tenants() const {
    fleet::Tenant tenant;
    tenant.name = "t";
    tenant.quota = quota_;
    return {tenant};
  }
  void start_enforcer(Router& router) {
    router.enforcer.configure(tenants());
    router.enforcer.set_router_count(static_cast<uint32_t>(options_.routers));
    router.last_contact = now_;
  }
  /// Delivers a message after the delay by running `action`, unless the message is lost.
  void send_message(std::function<void()> action) {
    if (!random_.chance(loss_)) {
      in_flight_.add(now_ + options_.delay, std::move(action));
    }
  }

  void step() {
    now_ += kStep;
    in_flight_.run_due(now_);
    const int64_t tick = now_ / kStep;
    for (size_t index = 0; index < routers_.size(); ++index) {
      if ((tick + static_cast<int64_t>(index)) % 10 == 0) {
        report_spending(index);
      }
      if ((tick + static_cast<int64_t>(index)) % 40 == 0) {
        confirm_reports(index);
      }
    }
    if (tick % 5 == 0) {
      exchange_sums();
      send_all_levels();
    }
    if (tick % 10 == 0) {
      for (size_t index = 0; index < members_.size(); ++index) {
        members_[index]->ledger.update(unheard_share(index), now_);
      }
    }
    make_requests();
    check_bound();
  }

  void make_requests() {
    double remaining_demand = options_.demand * to_seconds(kStep) + remaining_demand_;
    while (remaining_demand > 0) {
      const double cost = std::min(options_.max_cost, 1 + random_.exponential(options_.mean_cost));
      remaining_demand -= cost;
      const size_t index = target_router_ == SIZE_MAX ? random_.below(routers_.size()) : target_router_;
      handle_request(*routers_[index], static_cast<int64_t>(cost));
    }
    remaining_demand_ = remaining_demand;
  }
  void handle_request(Router& router, int64_t cost) {
    requested_tokens_ += static_cast<double>(cost);
    if (now_ - router.last_contact > kKeyLease || router.followed_member == SIZE_MAX) {
      return;  // the router accepts no access keys
    }
    if (!router.enforcer.admit("t", cost, now_).admitted) {
      ++refused_requests_;
      return;
    }
    admitted_tokens_ += static_cast<double>(cost);
    admitted_requests_.emplace_back(now_, static_cast<double>(cost));
    spent_in_window_ += static_cast<double>(cost);
  }
  /// Compares the spending within the last window with the bound.
  void check_bound() {
    while (!admitted_requests_.empty() &&
           admitted_requests_.front().first <= now_ - options_.tolerance.window) {
      spent_in_window_ -= admitted_requests_.front().second;
      admitted_requests_.pop_front();
    }
    fleet::TenantQuota allowed = quota_;
    if (now_ < earlier_rate_until_) {  // a lower limit takes effect one window later
      allowed.per_second = allowed.burst = std::max(allowed.per_second, earlier_rate_);
    }
    max_fraction_of_bound_ = std::max(
        max_fraction_of_bound_, spent_in_window_ / max_spending_per_window(allowed, options_.tolerance));
  }

  /// Returns the member that a router follows, among those that it reaches; SIZE_MAX if it reaches none.
  /// Stands in for the rendezvous hashing of real routers.
  size_t choose_member(size_t router) const {
    if (routers_[router]->cut) {
      return SIZE_MAX;
    }
    for (size_t offset = 0; offset < members_.size(); ++offset) {
      const size_t member = (router + offset) % members_.size();
      const Member& candidate = *members_[member];
      if (!candidate.cut && !(candidate.isolated && now_ - candidate.link_changed_at > 2s)) {
        return member;
      }
    }
    return SIZE_MAX;
  }
  /// Returns whether two members can communicate.
  bool can_communicate(size_t left, size_t right) const {
    const auto disconnected = [](const Member& member) { return member.cut || member.isolated; };
    return left == right || (!disconnected(*members_[left]) && !disconnected(*members_[right]));
  }
  /// Returns the fraction of routers whose spending can't reach a member.
  double unheard_share(size_t index) const {
    double unheard = 0;
    for (const auto& router : routers_) {
      const bool timed_out = router->cut && now_ - router->link_changed_at > kRouterTimeout;
      if (timed_out && now_ - router->link_changed_at < kKeyLease) {
        unheard += admission::kDisconnectedRateFraction;
      }
      const size_t followed_member = router->followed_member;
      if (!router->cut && followed_member != SIZE_MAX && !can_communicate(index, followed_member)) {
        const TimePoint link_changed_at =
            std::max(members_[index]->link_changed_at, members_[followed_member]->link_changed_at);
        unheard += now_ - link_changed_at > kMemberTimeout ? 1 : 0;
      }
    }
    return unheard / static_cast<double>(routers_.size());
  }
  /// Sends a router's spending since its previous report to the member that it follows.
  void report_spending(size_t index) {
    Router& router = *routers_[index];
    const size_t member = choose_member(index);
    if (member == SIZE_MAX) {
      router.followed_member = SIZE_MAX == router.followed_member ? SIZE_MAX : router.followed_member;
      return;
    }
    router.last_contact = now_;
    if (router.followed_member != member || router.received_revisions.count(member) == 0) {
      router.followed_member = member;
      router.received_revisions[member] = 0;
      router.enforcer.on_member_change();
      send_levels(router, *members_[member], member);
    }
    if (router.enforcer.has_unreported()) {
      auto batch = std::make_shared<admission::NumberedSpending>(router.enforcer.take_unreported());
      last_report_numbers_[index] = batch->number;
      Member* target = members_[member].get();
      const uint64_t member_start = target->ledger.start_id();
      in_flight_.add(now_ + options_.delay, [this, member, member_start, batch] {
        if (members_[member]->ledger.start_id() == member_start) {
          members_[member]->ledger.record_router_spending(batch->spending, now_);
        }
      });
    }
  }
  /// Confirms to a router that its last report was received.
  void confirm_reports(size_t index) {
    if (choose_member(index) != SIZE_MAX) {
      routers_[index]->enforcer.confirm(last_report_numbers_[index]);
    }
  }
  void send_all_levels() {
    for (auto& router : routers_) {
      if (!router->cut && router->followed_member != SIZE_MAX && !members_[router->followed_member]->cut) {
        send_levels(*router, *members_[router->followed_member], router->followed_member);
      }
    }
  }
  /// Sends a router the levels that have changed since it last received any from the member.
  void send_levels(Router& router, Member& member, size_t index) {
    router.enforcer.note_update(now_);
    router.received_revisions[index] = member.ledger.levels().visit_since(
        router.received_revisions[index], SIZE_MAX, [&](const std::string&, const fleet::QuotaLevel* level) {
          if (level != nullptr) {
            router.enforcer.on_level(*level);
          }
        });
  }
  /// Sends the changed sums of each member to all others.
  void exchange_sums() {
    for (size_t from = 0; from < members_.size(); ++from) {
      const auto changed_sums = members_[from]->ledger.take_changed_sums();
      for (size_t to = 0; to < members_.size(); ++to) {
        if (to == from) {
          continue;
        }
        if (!can_communicate(from, to) || random_.chance(loss_)) {
          members_[to]->in_sync[from] = false;
          continue;
        }
        send_to_peer(from, to, changed_sums);
      }
    }
  }
  /// Sends a member's changed sums to another, or all sums if the other may have missed some.
  void send_to_peer(size_t from, size_t to, const std::vector<fleet::TenantSpending>& changed_sums) {
    const uint64_t member_start = members_[from]->ledger.start_id();
    bool& in_sync = members_[to]->in_sync[from];
    const bool send_all = !in_sync || known_start_ids_[{to, from}] != member_start;
    in_sync = true;
    known_start_ids_[{to, from}] = member_start;
    const auto sent_sums = send_all ? members_[from]->ledger.sums() : changed_sums;
    const auto windows = members_[from]->ledger.windows(now_);
    const Duration age = members_[from]->ledger.age(now_);
    const auto scope = send_all ? admission::SumsScope::kAll : admission::SumsScope::kChanged;
    send_message([this, from, to, member_start, send_all, scope, sent_sums, windows, age] {
      members_[to]->ledger.record_peer_sums("m" + std::to_string(from), member_start, scope, sent_sums, now_);
      if (send_all) {
        members_[to]->ledger.adopt_window_spending(windows, age, now_);
      }
    });
  }

  QuotaFleetOptions options_;
  Random random_;
  fleet::TenantQuota quota_;
  TimePoint now_{1s};
  uint64_t last_start_id_ = 0;  ///< last start ID given to a member
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Router>> routers_;
  DelayedActions in_flight_;
  std::map<std::pair<size_t, size_t>, uint64_t> known_start_ids_;  ///< by receiving and sending member
  std::map<size_t, uint64_t> last_report_numbers_;                 ///< number of the last report, by router
  size_t target_router_ = SIZE_MAX;
  double loss_ = 0;
  double remaining_demand_ = 0;      ///< demand so far minus the cost of the requests, in tokens; at most 0
  double earlier_rate_ = 0;          ///< highest rate before the last change
  TimePoint earlier_rate_until_{0};  ///< until when spending may still follow that rate
  std::deque<std::pair<TimePoint, double>> admitted_requests_;  ///< within the last window: time and cost
  double spent_in_window_ = 0;
  double max_fraction_of_bound_ = 0;
  double admitted_tokens_ = 0;
  double requested_tokens_ = 0;
  size_t refused_requests_ = 0;
};

}  // namespace stoat::test
