// Configurations on their way from the members to routers behind slow links.
#include <gtest/gtest.h>

#include "tests/support/configurations.h"
#include "tests/support/fleet_members.h"
#include "tests/support/thin_link.h"

namespace stoat {
namespace {

using test::eventually;

/// A link of 10 Mbit/s.
constexpr size_t kLinkBytesPerSecond = 1250000;
/// From the acknowledgement of a configuration until it must be in force at all routers.
constexpr Duration kInForceWithin = 3s;
constexpr size_t kRouters = 4;

/// Three members, and routers each of which has a slow link of its own.
class ConfigurationDeliveryTest : public test::MembersFixture {
 protected:
  ConfigurationDeliveryTest() {
    start_all();
    for (size_t number = 0; number < kRouters; ++number) {
      links_.push_back(std::make_unique<test::ThinLink>(seeds_, kLinkBytesPerSecond));
    }
    configuration_ = test::make_configuration(1, 10);
    EXPECT_TRUE(commit_configuration());
    for (size_t number = 0; number < kRouters; ++number) {
      add_router(number);
    }
    thread_ = std::thread([this] { loop_.run(); });
    EXPECT_TRUE(eventually([this] { return slowest_version() == 1; }));
  }
  ~ConfigurationDeliveryTest() override {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
    routers_.clear();
  }

  void add_routes(size_t count) {
    for (size_t number = 0; number < count; ++number) {
      configuration_.routes.push_back(test::make_route(configuration_.routes.size()));
    }
  }
  bool commit_configuration() {
    fleet::PutConfiguration command;
    command.configuration = configuration_;
    command.source = "v" + std::to_string(configuration_.version);
    return eventually([&] { return members_.at(0)->commit(command); });
  }
  /// The lowest version in force at a router.
  uint64_t slowest_version() {
    return test::run_on(loop_, [this] {
      uint64_t version = UINT64_MAX;
      for (const auto& router : routers_) {
        version = std::min(version, router->configuration_version());
      }
      return version;
    });
  }
  /// Returns how long it takes from now until the newest configuration is in force at all routers.
  Duration time_until_in_force() {
    const TimePoint start = monotonic_now();
    EXPECT_TRUE(eventually([this] { return slowest_version() == configuration_.version; }));
    return monotonic_now() - start;
  }
  uint64_t received_bytes() const {
    uint64_t bytes = 0;
    for (const auto& link : links_) {
      bytes += link->received_bytes();
    }
    return bytes;
  }

  fleet::FleetConfiguration configuration_;
  std::vector<std::unique_ptr<test::ThinLink>> links_;

 private:
  void add_router(size_t number) {
    gateway::GatewaySettings settings;
    settings.name = "r" + std::to_string(number);
    settings.listen = {"127.0.0.1", test::free_port()};
    settings.link.seeds = seeds_;
    settings.link.router = settings.name;
    settings.link.connect_to = [link = links_[number].get()](const Endpoint& member) {
      return link->entrance_of(member);
    };
    routers_.push_back(std::make_unique<gateway::GatewayServer>(loop_, settings, dispatch::HeaderNames{}));
  }

  EventLoop loop_;
  std::vector<std::unique_ptr<gateway::GatewayServer>> routers_;
  std::thread thread_;
};

// Members sent each router whole configurations several times, and the newest one waited behind them.
TEST_F(ConfigurationDeliveryTest, ConfigurationAfterALargeOneIsInForceInTime) {
  configuration_.version = 2;
  add_routes(6000);
  ASSERT_TRUE(commit_configuration());
  const size_t whole_bytes = wire::encode(configuration_).size();
  const uint64_t bytes_before = received_bytes();
  configuration_.version = 3;
  add_routes(1);
  ASSERT_TRUE(commit_configuration());
  EXPECT_LT(to_milliseconds(time_until_in_force()), to_milliseconds(kInForceWithin));
  std::this_thread::sleep_for(1500ms);  // what is sent again is sent by then
  EXPECT_LT(received_bytes() - bytes_before, kRouters * whole_bytes * 3 / 2);
}

// A change of one route cost as much as the whole configuration, from each member.
TEST_F(ConfigurationDeliveryTest, ChangeOfOneRouteCostsLittleInALargeConfiguration) {
  configuration_.version = 2;
  add_routes(1800);
  ASSERT_TRUE(commit_configuration());
  ASSERT_LT(to_milliseconds(time_until_in_force()), to_milliseconds(kInForceWithin));
  std::this_thread::sleep_for(1500ms);
  constexpr uint64_t kMaxBytesPerVersion = 5000;
  constexpr uint64_t kVersions = 4;
  const uint64_t bytes_before = received_bytes();
  const TimePoint start = monotonic_now();
  for (uint64_t count = 0; count < kVersions; ++count) {
    ++configuration_.version;
    add_routes(1);
    ASSERT_TRUE(commit_configuration());
  }
  EXPECT_LT(to_milliseconds(time_until_in_force()), to_milliseconds(kInForceWithin));
  std::this_thread::sleep_for(1500ms);
  const uint64_t bytes_changed = received_bytes() - bytes_before;
  // The same time without a change, for what else is sent.
  const Duration span = monotonic_now() - start;
  const uint64_t bytes_idle_before = received_bytes();
  std::this_thread::sleep_for(span);
  const uint64_t bytes_idle = received_bytes() - bytes_idle_before;
  EXPECT_LT(bytes_changed, bytes_idle + kRouters * kVersions * kMaxBytesPerVersion);
}

}  // namespace
}  // namespace stoat
