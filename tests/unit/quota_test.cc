/// Quotas at one router and at its control member, over the real messages.
#include <gtest/gtest.h>

#include "src/control/fleet_soft_state.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ScriptedEngine;
using standins::SeenRequest;
using test::status_of;

/// A fleet whose tenant "t1" may spend 100 tokens a second, and 200 at once.
class QuotaGatewayTest : public test::SmallFleet {
 protected:
  void SetUp() override {
    fleet::FleetConfiguration configuration = make_configuration(1);
    for (fleet::Tenant& tenant : configuration.tenants) {
      if (tenant.name == "t1") {
        tenant.quota = {100, 200, fleet::QuotaUnit::kTokens, 10};
      }
    }
    ASSERT_TRUE(configure(configuration));
  }
  std::string ask_for(const std::string& id, int tokens, const std::string& key = "k1") {
    return ask("GET", "/safe/", id, "X-Token-Counts: " + std::to_string(tokens) + ",0\r\n", key);
  }
  /// Asks until an answer has this status, for some seconds at most.
  bool comes_to(const std::string& status, int tokens) {
    for (int number = 0; number < 100; ++number) {
      if (status_of(ask_for("q" + std::to_string(number), tokens)) == status) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    return false;
  }
};

TEST_F(QuotaGatewayTest, RefusesWhatIsBeyondTheQuotaAndSaysWhenToComeBack) {
  ScriptedEngine engine([](const SeenRequest& request) { return test::succeed(request); });
  add_engine("e1", "calls", engine);
  ASSERT_TRUE(comes_to("HTTP/1.1 200", 1)) << "a member that has just started begins low";
  ASSERT_TRUE(comes_to("HTTP/1.1 429", 1000));
  const std::string refused = ask_for("again", 1000);
  EXPECT_EQ(status_of(refused), "HTTP/1.1 429");
  EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(status_of(ask_for("other", 1000, "k2")), "HTTP/1.1 200") << "another tenant has no quota";
}

TEST_F(QuotaGatewayTest, NamesTheHeaderWhoseTokenCountsCannotBeRead) {
  for (const char* counts : {"100", "a,b", "1,-5", ",", "100,99999999999"}) {
    const std::string answer = ask("GET", "/safe/", "q1", "X-Token-Counts: " + std::string(counts) + "\r\n");
    EXPECT_EQ(status_of(answer), "HTTP/1.1 400") << counts;
    EXPECT_NE(answer.find("X-Token-Counts"), std::string::npos) << counts;
  }
}

fleet::Tenant limited_tenant() {
  fleet::Tenant tenant;
  tenant.name = "t";
  tenant.quota = {1000, 1000, fleet::QuotaUnit::kTokens, 0};
  return tenant;
}

TEST(QuotaEnforcer, ASendThatDidNotRunGivesItsPartBack) {
  admission::QuotaEnforcer gate({}, 1);
  gate.configure({limited_tenant()});
  EXPECT_TRUE(gate.admit("t", 300, TimePoint(1s)).admitted);
  gate.give_back("t", 300, TimePoint(1s));
  EXPECT_TRUE(gate.take_unreported().spending.empty());
}

TEST(QuotaEnforcer, ALevelHoldsForAsLongAsControlTellsAnythingAtAll) {
  admission::QuotaEnforcer gate({}, 1);
  gate.configure({limited_tenant()});
  gate.on_level({"t", -5, true});
  gate.on_news(1s);
  gate.on_news(3s);
  EXPECT_FALSE(gate.admit("t", 10, 3s + 100ms).admitted);
  EXPECT_TRUE(gate.admit("t", 10, 5s).admitted) << "alone it has its part of the rate";
}

TEST(QuotaEnforcer, TellsAgainWhatWasNotConfirmedBeforeAnotherMemberTookOver) {
  admission::QuotaEnforcer gate({}, 1);
  gate.configure({limited_tenant()});
  gate.admit("t", 100, TimePoint(1s));
  const auto first = gate.take_unreported();
  gate.admit("t", 30, TimePoint(1s));
  gate.take_unreported();
  gate.confirm(first.number);
  gate.on_member_change();
  const auto again = gate.take_unreported();
  ASSERT_EQ(again.spending.size(), 1U);
  EXPECT_EQ(again.spending.front().amount, 30);
}

TEST(QuotaLedger, AMemberThatMissedNewsIsRightAgainWithTheNext) {
  admission::QuotaLedger first({}, 1, TimePoint(0));
  admission::QuotaLedger second({}, 2, TimePoint(0));
  const TimePoint now = 20s;
  for (auto* book : {&first, &second}) {
    book->configure({limited_tenant()}, now);
  }
  second.on_peer("first", 1, admission::SumsScope::kAll, first.sums(), now);
  first.on_router({{"t", 400}}, now);
  first.take_changed_sums();  // lost
  first.on_router({{"t", 200}}, now);
  second.on_peer("first", 1, admission::SumsScope::kChanged, first.take_changed_sums(), now);
  EXPECT_EQ(second.windows(now).front().bucket, 400);
}

/// A book of one tenant that has spent evenly at its rate of 1,000 a second for ten seconds.
class LowerQuotaTest : public testing::Test {
 protected:
  LowerQuotaTest() : book_(tolerance(), 1, TimePoint(0)) {
    book_.configure({limited_tenant()}, TimePoint(0));
    spend_until(kChange, 1000);
  }
  static admission::QuotaTolerance tolerance() {
    admission::QuotaTolerance tolerance;
    tolerance.lower_after = 1s;
    return tolerance;
  }
  static fleet::Tenant tenant_with(double per_second) {
    fleet::Tenant tenant = limited_tenant();
    tenant.quota.per_second = per_second;
    tenant.quota.burst = per_second;
    return tenant;
  }
  /// Spends at a rate, in steps of 100 ms, as far as the told level allows. Returns what was spent.
  double spend_until(TimePoint until, double per_second) {
    double spent = 0;
    for (; now_ < until; now_ += 100ms) {
      book_.update(0, now_);
      const fleet::QuotaLevel* told = book_.told().find("t");
      if (told != nullptr && told->metered && told->level <= 0) {
        continue;
      }
      book_.on_router({{"t", static_cast<int64_t>(per_second / 10)}}, now_);
      spent += per_second / 10;
    }
    return spent;
  }

  static constexpr TimePoint kChange = 20s;
  admission::QuotaLedger book_;
  TimePoint now_{0};
};

TEST_F(LowerQuotaTest, TheFormerQuotaHoldsUntilTheLowerOneBinds) {
  book_.configure({tenant_with(250)}, kChange);
  EXPECT_GE(spend_until(kChange + 1s, 1000), 900);
}

TEST_F(LowerQuotaTest, WhatWasSpentBeforeItBindsIsNotHeldAgainstTheLowerOne) {
  book_.configure({tenant_with(250)}, kChange);
  spend_until(kChange + 1s, 1000);
  const double first_second = spend_until(kChange + 2s, 1000);
  EXPECT_GE(first_second, 250) << "its burst and its rate are there at once";
  const double window = first_second + spend_until(kChange + 9s, 1000);
  EXPECT_LE(window, 250 * 8 + 250 + 100) << "one window of the lower quota, and one step";
  EXPECT_GE(window, 250 * 8 * 0.9);
}

TEST_F(LowerQuotaTest, WindowsThatReachBackKeepToTheFormerQuota) {
  // All of the former window's amount is spent right before the change.
  book_.on_router({{"t", 1000}}, kChange);
  book_.configure({tenant_with(900)}, kChange);
  double spent = 1000;
  spent += spend_until(kChange + 1s, 5000);
  spent += spend_until(kChange + 4s, 5000);
  EXPECT_LE(spent, 1000 * 4 + 1000 + 500)
      << "the last four of eight seconds at the former rate, burst, one step";
}

TEST_F(LowerQuotaTest, AHigherQuotaInBetweenTakesItsPlaceAtOnce) {
  book_.configure({tenant_with(250)}, kChange);
  book_.configure({tenant_with(2000)}, kChange + 500ms);
  now_ = kChange + 500ms;
  EXPECT_GE(spend_until(kChange + 2500ms, 2000), 3900);
}

}  // namespace
}  // namespace stoat
