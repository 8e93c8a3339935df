/// Quotas at a router and at its control-plane member, using the real messages.
#include <gtest/gtest.h>

#include "src/control/fleet_soft_state.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::ScriptedEngine;
using test::status_of;

/// A fleet whose tenant "t1" may spend 100 tokens per second, and 200 at once.
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
    return send_request("GET", "/safe/", id, "X-Token-Counts: " + std::to_string(tokens) + ",0\r\n", key);
  }
  /// Sends requests until one is answered with this status, for a few seconds at most.
  bool reaches_status(const std::string& status, int tokens) {
    for (int number = 0; number < 100; ++number) {
      if (status_of(ask_for("q" + std::to_string(number), tokens)) == status) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
    }
    return false;
  }
};

TEST_F(QuotaGatewayTest, RefusesRequestsBeyondQuotaWithRetryAfter) {
  ScriptedEngine engine([](const ReceivedRequest& request) { return test::succeed(request); });
  add_engine("e1", "calls", engine);
  ASSERT_TRUE(reaches_status("HTTP/1.1 200", 1))
      << "a member that has just started assumes that most of the quota is spent";
  ASSERT_TRUE(reaches_status("HTTP/1.1 429", 1000));
  const std::string refused = ask_for("again", 1000);
  EXPECT_EQ(status_of(refused), "HTTP/1.1 429");
  EXPECT_NE(refused.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(status_of(ask_for("other", 1000, "k2")), "HTTP/1.1 200") << "another tenant has no quota";
}

TEST_F(QuotaGatewayTest, ErrorNamesTheMalformedTokenCountHeader) {
  for (const char* counts : {"100", "a,b", "1,-5", ",", "100,99999999999"}) {
    const std::string answer =
        send_request("GET", "/safe/", "q1", "X-Token-Counts: " + std::string(counts) + "\r\n");
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

TEST(QuotaEnforcer, RequestThatDidNotRunIsRefunded) {
  admission::QuotaEnforcer enforcer({}, 1);
  enforcer.configure({limited_tenant()});
  EXPECT_TRUE(enforcer.admit("t", 300, TimePoint(1s)).admitted);
  enforcer.refund("t", 300, TimePoint(1s));
  EXPECT_TRUE(enforcer.take_unreported().spending.empty());
}

TEST(QuotaEnforcer, LevelIsValidWhileAnyUpdatesArrive) {
  admission::QuotaEnforcer enforcer({}, 1);
  enforcer.configure({limited_tenant()});
  enforcer.on_level({"t", -5, true});
  enforcer.note_update(1s);
  enforcer.note_update(3s);
  EXPECT_FALSE(enforcer.admit("t", 10, 3s + 100ms).admitted);
  EXPECT_TRUE(enforcer.admit("t", 10, 5s).admitted)
      << "without the control plane, a router may spend its share of the rate";
}

TEST(QuotaEnforcer, ReportsUnconfirmedSpendingToNextMember) {
  admission::QuotaEnforcer enforcer({}, 1);
  enforcer.configure({limited_tenant()});
  enforcer.admit("t", 100, TimePoint(1s));
  const auto first = enforcer.take_unreported();
  enforcer.admit("t", 30, TimePoint(1s));
  enforcer.take_unreported();
  enforcer.confirm(first.number);
  enforcer.on_member_change();
  const auto again = enforcer.take_unreported();
  ASSERT_EQ(again.spending.size(), 1U);
  EXPECT_EQ(again.spending.front().amount, 30);
}

TEST(QuotaLedger, MemberThatMissedAMessageIsCorrectAfterTheNext) {
  admission::QuotaLedger first({}, 1, TimePoint(0));
  admission::QuotaLedger second({}, 2, TimePoint(0));
  const TimePoint now = 20s;
  for (auto* ledger : {&first, &second}) {
    ledger->configure({limited_tenant()}, now);
  }
  second.record_peer_sums("first", 1, admission::SumsScope::kAll, first.sums(), now);
  first.record_router_spending({{"t", 400}}, now);
  first.take_changed_sums();  // simulates a lost message
  first.record_router_spending({{"t", 200}}, now);
  second.record_peer_sums("first", 1, admission::SumsScope::kChanged, first.take_changed_sums(), now);
  EXPECT_EQ(second.windows(now).front().bucket, 400);
}

/// A QuotaLedger with one tenant that has spent evenly at its rate of 1,000 per second for ten seconds.
class LowerQuotaTest : public testing::Test {
 protected:
  LowerQuotaTest() : ledger_(tolerance(), 1, TimePoint(0)) {
    ledger_.configure({limited_tenant()}, TimePoint(0));
    spend_until(kChangeTime, 1000);
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
  /// Spends at a rate, in steps of 100 ms, as far as the reported level allows. Returns the amount spent.
  double spend_until(TimePoint until, double per_second) {
    double spent = 0;
    for (; now_ < until; now_ += 100ms) {
      ledger_.update(0, now_);
      const fleet::QuotaLevel* quota_level = ledger_.levels().find("t");
      if (quota_level != nullptr && quota_level->metered && quota_level->level <= 0) {
        continue;
      }
      ledger_.record_router_spending({{"t", static_cast<int64_t>(per_second / 10)}}, now_);
      spent += per_second / 10;
    }
    return spent;
  }

  static constexpr TimePoint kChangeTime = 20s;
  admission::QuotaLedger ledger_;
  TimePoint now_{0};
};

TEST_F(LowerQuotaTest, PreviousQuotaAppliesUntilLowerOneTakesEffect) {
  ledger_.configure({tenant_with(250)}, kChangeTime);
  EXPECT_GE(spend_until(kChangeTime + 1s, 1000), 900);
}

TEST_F(LowerQuotaTest, SpendingBeforeTheChangeDoesNotCountAgainstLowerQuota) {
  ledger_.configure({tenant_with(250)}, kChangeTime);
  spend_until(kChangeTime + 1s, 1000);
  const double first_second = spend_until(kChangeTime + 2s, 1000);
  EXPECT_GE(first_second, 250) << "burst and rate of the lower quota are available at once";
  const double window = first_second + spend_until(kChangeTime + 9s, 1000);
  EXPECT_LE(window, 250 * 8 + 250 + 100) << "one window of the lower quota, plus one step";
  EXPECT_GE(window, 250 * 8 * 0.9);
}

TEST_F(LowerQuotaTest, WindowsThatReachBackComplyWithPreviousQuota) {
  // The previous quota's whole window amount is spent right before the change.
  ledger_.record_router_spending({{"t", 1000}}, kChangeTime);
  ledger_.configure({tenant_with(900)}, kChangeTime);
  double spent = 1000;
  spent += spend_until(kChangeTime + 1s, 5000);
  spent += spend_until(kChangeTime + 4s, 5000);
  EXPECT_LE(spent, 1000 * 4 + 1000 + 500)
      << "the last four of eight seconds at the previous rate, plus the burst and one step";
}

TEST_F(LowerQuotaTest, HigherQuotaReplacesPendingLowerOneAtOnce) {
  ledger_.configure({tenant_with(250)}, kChangeTime);
  ledger_.configure({tenant_with(2000)}, kChangeTime + 500ms);
  now_ = kChangeTime + 500ms;
  EXPECT_GE(spend_until(kChangeTime + 2500ms, 2000), 3900);
}

}  // namespace
}  // namespace stoat
