/// A fleet of routers and control members as far as one tenant's quota concerns them, in simulated time:
/// messages are delayed, links are cut, processes restart. Every run is noted, and the bound that holds over
/// the whole fleet is checked after each step.
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

/// The most that a quota lets a tenant spend in any window.
inline double bound_of(const fleet::TenantQuota& quota, const admission::QuotaTolerance& tolerance) {
  return (quota.per_second * to_seconds(tolerance.window) + quota.burst) * (1 + tolerance.overage) +
         tolerance.slack;
}

/// Settings of a simulated fleet.
struct QuotaFleetOptions {
  size_t routers = 79;
  size_t members = 5;
  double rate = 118000;
  double burst = 118000;
  double demand = 160000;   ///< tokens a second
  double mean_cost = 9000;  ///< tokens of a request
  double max_cost = 46000;
  Duration delay = 3ms;  ///< of a message, besides waiting for the next round
  admission::QuotaTolerance tolerance{8s, 0.1, 110000};
  uint64_t seed = 1;
};

/// See the head of this file.
class QuotaFleet {
 public:
  explicit QuotaFleet(const QuotaFleetOptions& options) : options_(options), random_(options.seed) {
    quota_.per_second = options.rate;
    quota_.burst = options.burst;
    quota_.unit = fleet::QuotaUnit::kTokens;
    for (size_t index = 0; index < options.members; ++index) {
      members_.push_back(std::make_unique<Member>(options_.tolerance, ++starts_, now_));
      members_.back()->book.configure(tenants(), now_);
    }
    for (size_t index = 0; index < options.routers; ++index) {
      routers_.push_back(std::make_unique<Router>(options_.tolerance, random_.bits()));
      start_gate(*routers_.back());
    }
  }

  /// Lets time pass, with requests coming in.
  void run_for(Duration span) {
    const TimePoint end = now_ + span;
    while (now_ < end) {
      step();
    }
  }
  /// Lets time pass without requests.
  void run_idle_for(Duration span) {
    const double demand = std::exchange(options_.demand, 0);
    run_for(span);
    options_.demand = demand;
  }

  void set_demand(double demand) { options_.demand = demand; }
  /// Requests of one router only, or of all (SIZE_MAX).
  void set_target_router(size_t router) { only_router_ = router; }
  void set_rate(double rate) {
    const double before = std::max(quota_.per_second, allowed_rate_);
    quota_.per_second = rate;
    quota_.burst = rate;
    allowed_rate_ = before;
    allowed_until_ = now_ + kConfigurationTime + options_.tolerance.window;
    for (auto& member : members_) {
      member->book.configure(tenants(), now_);
    }
    for (auto& router : routers_) {
      router->gate.configure(tenants());
    }
  }
  void restart_router(size_t index) {
    routers_[index] = std::make_unique<Router>(options_.tolerance, random_.bits());
    start_gate(*routers_[index]);
  }
  void restart_member(size_t index) {
    members_[index] = std::make_unique<Member>(options_.tolerance, ++starts_, now_);
    members_[index]->book.configure(tenants(), now_);
    for (auto& router : routers_) {
      router->told.erase(index);
    }
  }
  /// A router that reaches no member serves for as long as its keys are honoured.
  void cut_router(size_t index, bool cut) {
    routers_[index]->cut = cut;
    routers_[index]->since = now_;
  }
  void cut_member(size_t index, bool cut) {
    members_[index]->cut = cut;
    members_[index]->since = now_;
  }
  /// A member that the others don't hear; routers reach it.
  void isolate_member(size_t index, bool isolated) {
    members_[index]->isolated = isolated;
    members_[index]->since = now_;
  }
  /// Messages are lost with this chance; what was lost between members is asked for anew.
  void set_loss(double chance) { loss_ = chance; }

  double max_fraction_of_bound() const { return worst_share_; }
  double served() const { return served_; }
  double asked() const { return asked_; }
  size_t refused() const { return refused_; }
  void reset_counts() { served_ = asked_ = 0, refused_ = 0; }
  size_t router_count() const { return routers_.size(); }
  size_t member_count() const { return members_.size(); }

 private:
  static constexpr Duration kStep = 10ms;
  static constexpr Duration kKeyLease = 4500ms;
  static constexpr Duration kRouterSilence = 1500ms;      ///< until a member notices that a router is cut off
  static constexpr Duration kMemberSilence = 600ms;       ///< the same of another member
  static constexpr Duration kConfigurationTime = 2500ms;  ///< until a configuration is in force everywhere

  struct Member {
    Member(const admission::QuotaTolerance& tolerance, uint64_t start_id, TimePoint now)
        : book(tolerance, start_id, now) {}
    admission::QuotaLedger book;
    bool cut = false;                 ///< from all
    bool isolated = false;            ///< from the other members
    TimePoint since{0};               ///< of either
    std::map<size_t, bool> complete;  ///< by peer: nothing of it is missing
  };
  struct Router {
    Router(const admission::QuotaTolerance& tolerance, uint64_t seed) : gate(tolerance, seed) {}
    admission::QuotaEnforcer gate;
    bool cut = false;
    TimePoint since{0};  ///< of the cut
    TimePoint heard{0};
    size_t follows = SIZE_MAX;
    std::map<size_t, uint64_t> told;  ///< revision, by member
  };

  std::vector<fleet::Tenant> tenants() const {
    fleet::Tenant tenant;
    tenant.name = "t";
    tenant.quota = quota_;
    return {tenant};
  }
  void start_gate(Router& router) {
    router.gate.configure(tenants());
    router.gate.set_router_count(static_cast<uint32_t>(options_.routers));
    router.heard = now_;
  }
  void later(std::function<void()> action) {
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
        tell(index);
      }
      if ((tick + static_cast<int64_t>(index)) % 40 == 0) {
        confirm(index);
      }
    }
    if (tick % 5 == 0) {
      exchange();
      feed();
    }
    if (tick % 10 == 0) {
      for (size_t index = 0; index < members_.size(); ++index) {
        members_[index]->book.update(unheard_share(index), now_);
      }
    }
    make_requests();
    check();
  }

  void make_requests() {
    double due = options_.demand * to_seconds(kStep) + left_over_;
    while (due > 0) {
      const double cost = std::min(options_.max_cost, 1 + random_.exponential(options_.mean_cost));
      due -= cost;
      const size_t index = only_router_ == SIZE_MAX ? random_.below(routers_.size()) : only_router_;
      ask(*routers_[index], static_cast<int64_t>(cost));
    }
    left_over_ = due;
  }
  void ask(Router& router, int64_t cost) {
    asked_ += static_cast<double>(cost);
    if (now_ - router.heard > kKeyLease || router.follows == SIZE_MAX) {
      return;  // it honours no keys
    }
    if (!router.gate.admit("t", cost, now_).admitted) {
      ++refused_;
      return;
    }
    served_ += static_cast<double>(cost);
    runs_.emplace_back(now_, static_cast<double>(cost));
    in_window_ += static_cast<double>(cost);
  }
  void check() {
    while (!runs_.empty() && runs_.front().first <= now_ - options_.tolerance.window) {
      in_window_ -= runs_.front().second;
      runs_.pop_front();
    }
    fleet::TenantQuota allowed = quota_;
    if (now_ < allowed_until_) {  // a lower limit takes hold one window later
      allowed.per_second = allowed.burst = std::max(allowed.per_second, allowed_rate_);
    }
    worst_share_ = std::max(worst_share_, in_window_ / bound_of(allowed, options_.tolerance));
  }

  /// The member that a router follows: by rendezvous among those that it reaches.
  size_t choose_member(size_t router) const {
    if (routers_[router]->cut) {
      return SIZE_MAX;
    }
    for (size_t step = 0; step < members_.size(); ++step) {
      const size_t member = (router + step) % members_.size();
      const Member& entry = *members_[member];
      if (!entry.cut && !(entry.isolated && now_ - entry.since > 2s)) {
        return member;
      }
    }
    return SIZE_MAX;
  }
  bool talk(size_t left, size_t right) const {
    const auto alone = [](const Member& member) { return member.cut || member.isolated; };
    return left == right || (!alone(*members_[left]) && !alone(*members_[right]));
  }
  double unheard_share(size_t index) const {
    double unheard = 0;
    for (const auto& router : routers_) {
      const bool silent = router->cut && now_ - router->since > kRouterSilence;
      if (silent && now_ - router->since < kKeyLease) {
        unheard += admission::kDisconnectedRateFraction;
      }
      const size_t follows = router->follows;
      if (!router->cut && follows != SIZE_MAX && !talk(index, follows)) {
        const TimePoint since = std::max(members_[index]->since, members_[follows]->since);
        unheard += now_ - since > kMemberSilence ? 1 : 0;
      }
    }
    return unheard / static_cast<double>(routers_.size());
  }
  void tell(size_t index) {
    Router& router = *routers_[index];
    const size_t member = choose_member(index);
    if (member == SIZE_MAX) {
      router.follows = SIZE_MAX == router.follows ? SIZE_MAX : router.follows;
      return;
    }
    router.heard = now_;
    if (router.follows != member || router.told.count(member) == 0) {
      router.follows = member;
      router.told[member] = 0;
      router.gate.on_member_change();
      feed_one(router, *members_[member], member);
    }
    if (router.gate.has_unreported()) {
      auto batch = std::make_shared<admission::NumberedSpending>(router.gate.take_unreported());
      taken_[index] = batch->number;
      Member* target = members_[member].get();
      const uint64_t start = target->book.start_id();
      in_flight_.add(now_ + options_.delay, [this, member, start, batch] {
        if (members_[member]->book.start_id() == start) {
          members_[member]->book.on_router(batch->spending, now_);
        }
      });
    }
  }
  void confirm(size_t index) {
    if (choose_member(index) != SIZE_MAX) {
      routers_[index]->gate.confirm(taken_[index]);
    }
  }
  void feed() {
    for (auto& router : routers_) {
      if (!router->cut && router->follows != SIZE_MAX && !members_[router->follows]->cut) {
        feed_one(*router, *members_[router->follows], router->follows);
      }
    }
  }
  void feed_one(Router& router, Member& member, size_t index) {
    router.gate.on_news(now_);
    router.told[index] = member.book.told().visit_since(
        router.told[index], SIZE_MAX, [&](const std::string&, const fleet::QuotaLevel* level) {
          if (level != nullptr) {
            router.gate.on_level(*level);
          }
        });
  }
  void exchange() {
    for (size_t from = 0; from < members_.size(); ++from) {
      const auto sums = members_[from]->book.take_changed_sums();
      for (size_t to = 0; to < members_.size(); ++to) {
        if (to == from) {
          continue;
        }
        if (!talk(from, to) || random_.chance(loss_)) {
          members_[to]->complete[from] = false;
          continue;
        }
        tell_peer(from, to, sums);
      }
    }
  }
  void tell_peer(size_t from, size_t to, const std::vector<fleet::TenantSpending>& sums) {
    const uint64_t start = members_[from]->book.start_id();
    bool& complete = members_[to]->complete[from];
    const bool whole = !complete || known_starts_[{to, from}] != start;
    complete = true;
    known_starts_[{to, from}] = start;
    const auto all = whole ? members_[from]->book.sums() : sums;
    const auto windows = members_[from]->book.windows(now_);
    const Duration age = members_[from]->book.age(now_);
    const auto scope = whole ? admission::SumsScope::kAll : admission::SumsScope::kChanged;
    later([this, from, to, start, whole, scope, all, windows, age] {
      members_[to]->book.on_peer("m" + std::to_string(from), start, scope, all, now_);
      if (whole) {
        members_[to]->book.adopt(windows, age, now_);
      }
    });
  }

  QuotaFleetOptions options_;
  Random random_;
  fleet::TenantQuota quota_;
  TimePoint now_{1s};
  uint64_t starts_ = 0;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<std::unique_ptr<Router>> routers_;
  DelayedActions in_flight_;
  std::map<std::pair<size_t, size_t>, uint64_t> known_starts_;
  std::map<size_t, uint64_t> taken_;
  size_t only_router_ = SIZE_MAX;
  double loss_ = 0;
  double left_over_ = 0;
  double allowed_rate_ = 0;
  TimePoint allowed_until_{0};
  std::deque<std::pair<TimePoint, double>> runs_;
  double in_window_ = 0;
  double worst_share_ = 0;
  double served_ = 0;
  double asked_ = 0;
  size_t refused_ = 0;
};

}  // namespace stoat::test
