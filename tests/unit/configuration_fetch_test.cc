// Configurations as members publish them, and as routers fetch them in parts.
#include "src/gateway/configuration_fetch.h"

#include <gtest/gtest.h>

#include <set>

#include "src/control/configuration_publisher.h"
#include "src/wire/codec.h"
#include "tests/support/configurations.h"

namespace stoat {
namespace {

using control::ConfigurationPublisher;
using fleet::FleetConfiguration;
using gateway::ConfigurationFetch;
using test::make_configuration;

constexpr char kNear[] = "near:1";
constexpr char kFar[] = "far:1";

/// A router's fetch between members whose answers are delivered at once, or not at all.
class FetchTest : public ::testing::Test {
 protected:
  /// All members apply the configuration and announce it.
  void publish(const FleetConfiguration& configuration) {
    newest_ = configuration;
    for (auto& [member, publisher] : members_) {
      publisher.publish(configuration);
      fetch_.on_announcement(member, configuration.version, now_);
    }
  }
  /// Delivers the answers to all requests. Returns the number of parts.
  size_t deliver() {
    size_t parts = 0;
    for (size_t more = deliver_answer(); more > 0; more = deliver_answer()) {
      parts += more;
    }
    return parts;
  }
  /// Delivers the answer to the request that is due now, if there is one. Returns its number of parts.
  size_t deliver_answer() {
    const auto next = fetch_.next_request(kNear, {kNear, kFar}, now_);
    if (!next) {
      return 0;
    }
    asked_.push_back(next->member);
    const auto parts = members_[next->member].parts_for(next->request, newest_);
    for (const fleet::ConfigurationPart& part : parts) {
      bytes_ += part.bytes.size();
      take(next->member, part);
    }
    return parts.size();
  }
  /// Drops the answer to the request that is due now.
  void lose_answer() { asked_.push_back(fetch_.next_request(kNear, {kNear, kFar}, now_).value().member); }
  void take(const std::string& member, const fleet::ConfigurationPart& part) {
    const auto received = fetch_.on_part(member, part, now_);
    ASSERT_TRUE(received.has_value()) << received.error();
    if (*received) {
      held_ = (*received)->configuration;
    }
  }
  uint64_t held_version() const { return held_ == nullptr ? 0 : held_->version; }

  std::map<std::string, ConfigurationPublisher> members_ = {{kNear, {}}, {kFar, {}}};
  ConfigurationFetch fetch_;
  FleetConfiguration newest_;
  std::shared_ptr<const FleetConfiguration> held_;
  std::vector<std::string> asked_;
  uint64_t bytes_ = 0;
  TimePoint now_{1000s};
};

TEST_F(FetchTest, ARouterThatStartsGetsTheWholeInParts) {
  publish(make_configuration(3, 2000));
  EXPECT_GT(deliver(), 5U);
  ASSERT_EQ(held_version(), 3U);
  EXPECT_EQ(*held_, newest_);
  EXPECT_FALSE(fetch_.next_request(kNear, {kNear, kFar}, now_).has_value());
}

TEST_F(FetchTest, AChangeCostsWhatItChanges) {
  publish(make_configuration(1, 2000));
  deliver();
  bytes_ = 0;
  FleetConfiguration next = make_configuration(2, 2001);
  next.routes.erase(next.routes.begin() + 7);
  publish(next);
  deliver();
  EXPECT_EQ(held_version(), 2U);
  EXPECT_EQ(held_->routes.size(), 2000U);
  EXPECT_LT(bytes_, 1000U);
}

// A router asked all members at once, and each sent the whole.
TEST_F(FetchTest, OneMemberIsAskedAtATime) {
  publish(make_configuration(1, 2000));
  while (held_version() == 0) {
    deliver_answer();
    now_ += 100ms;
  }
  EXPECT_EQ(std::set<std::string>(asked_.begin(), asked_.end()), std::set<std::string>{kNear});
  EXPECT_EQ(bytes_, wire::encode(newest_).size());
}

// A transfer that was cut off began anew elsewhere, each time.
TEST_F(FetchTest, AnotherMemberGoesOnWhereTheFirstStopped) {
  publish(make_configuration(1, 2000));
  deliver_answer();
  lose_answer();
  now_ += 700ms;
  deliver();
  EXPECT_EQ(held_version(), 1U);
  EXPECT_EQ(asked_.at(2), kFar);
  EXPECT_EQ(bytes_, wire::encode(newest_).size());
}

// A newer version began the transfer anew, so that a slow link never got to its end.
TEST_F(FetchTest, ANewerVersionDoesNotInterruptATransfer) {
  publish(make_configuration(1, 2000));
  deliver_answer();
  publish(make_configuration(2, 2001));
  deliver();
  EXPECT_EQ(held_version(), 2U);
  EXPECT_LT(bytes_, wire::encode(newest_).size() + 1000);
}

TEST_F(FetchTest, TheFeedMemberIsAskedFirst) {
  publish(make_configuration(1, 10));
  deliver();
  members_[kFar].publish(make_configuration(2, 10));
  fetch_.on_announcement(kFar, 2, now_);
  EXPECT_FALSE(fetch_.next_request(kNear, {kFar, kNear}, now_).has_value());
  now_ += 400ms;
  const auto next = fetch_.next_request(kNear, {kFar, kNear}, now_);
  ASSERT_TRUE(next.has_value());
  EXPECT_EQ(next->member, kFar);
}

TEST_F(FetchTest, AChangeThatDoesNotFitIsReplacedByTheWhole) {
  publish(make_configuration(1, 100));
  deliver();
  auto other = std::make_shared<FleetConfiguration>(make_configuration(1, 100));
  other->routes[3].timeout_ms = 7;
  fetch_.set_held(other);
  publish(make_configuration(2, 101));
  auto next = fetch_.next_request(kNear, {kNear}, now_);
  ASSERT_TRUE(next.has_value());
  const auto change = members_[kNear].parts_for(next->request, newest_);
  EXPECT_FALSE(fetch_.on_part(kNear, change.at(0), now_).has_value());
  deliver();
  ASSERT_EQ(held_version(), 2U);
  EXPECT_EQ(*held_, newest_);
}

TEST_F(FetchTest, AChangeThatIsSentUnaskedIsTaken) {
  publish(make_configuration(1, 100));
  deliver();
  publish(make_configuration(2, 101));
  take(kNear, make_part(*members_[kNear].last_change(), 0));
  EXPECT_EQ(held_version(), 2U);
  EXPECT_FALSE(fetch_.next_request(kNear, {kNear, kFar}, now_).has_value());
}

}  // namespace
}  // namespace stoat
