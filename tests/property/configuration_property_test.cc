// Changes between configurations, and fetches of configurations under losses.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/control/configuration_publisher.h"
#include "src/gateway/configuration_fetch.h"
#include "tests/support/configurations.h"

namespace stoat {
namespace {

using control::ConfigurationPublisher;
using fleet::FleetConfiguration;
using gateway::ConfigurationFetch;
using test::make_configuration;
using test::make_route;

constexpr char kNear[] = "near:1";
constexpr char kFar[] = "far:1";

/// A configuration with some of forty routes, in any order, and some repeated tenants.
FleetConfiguration draw_configuration(uint64_t version) {
  FleetConfiguration configuration;
  configuration.version = version;
  for (const uint64_t number :
       *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, 40))) {
    configuration.routes.push_back(make_route(number));
    configuration.routes.back().timeout_ms = *rc::gen::inRange(1, 3);
  }
  for (const uint64_t number : *rc::gen::container<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(0, 4))) {
    configuration.tenants.push_back({"tenant-" + std::to_string(number), {"key"}});
  }
  configuration.limits.body_bytes = *rc::gen::inRange<uint64_t>(1, 3);
  return configuration;
}

RC_GTEST_PROP(ConfigurationChangeTest, AChangeTurnsOneConfigurationIntoTheOther, ()) {
  const FleetConfiguration base = draw_configuration(1);
  const FleetConfiguration next = draw_configuration(2);
  const auto hashes = fleet::hash_items(next);
  const auto change = fleet::make_change(fleet::hash_items(base), next, hashes);
  const auto result = fleet::apply_change(base, change);
  RC_ASSERT(result.has_value());
  RC_ASSERT(fleet::digest_of(fleet::hash_items(*result)) == fleet::digest_of(hashes));
  RC_ASSERT(result->routes.size() == next.routes.size());
}

// Members lose parts and connections at random, and versions follow each other meanwhile.
RC_GTEST_PROP(ConfigurationFetchTest, ARouterReachesTheNewestVersionDespiteLosses, ()) {
  std::map<std::string, ConfigurationPublisher> members = {{kNear, {}}, {kFar, {}}};
  ConfigurationFetch fetch;
  FleetConfiguration newest;
  uint64_t held = 0;
  TimePoint now{1000s};
  const uint64_t disturbed_steps = *rc::gen::inRange<uint64_t>(0, 60);
  for (uint64_t step = 0; step < disturbed_steps + 60; ++step) {
    const bool disturbed = step < disturbed_steps;
    now += 100ms;
    if (step == 0 || (disturbed && *rc::gen::inRange(0, 10) == 0)) {
      newest = make_configuration(newest.version + 1, *rc::gen::inRange<uint64_t>(1, 800));
      for (auto& [member, publisher] : members) {
        publisher.publish(newest);
      }
    }
    for (const auto& [member, publisher] : members) {
      if (!disturbed || *rc::gen::inRange(0, 3) > 0) {
        fetch.on_announcement(member, publisher.version(), now);
      } else {
        fetch.on_member_lost(member);
      }
    }
    while (const auto next = fetch.next_request(kNear, {kNear, kFar}, now)) {
      for (const auto& part : members[next->member].parts_for(next->request, newest)) {
        if (disturbed && *rc::gen::inRange(0, 3) == 0) {
          break;
        }
        const auto received = fetch.on_part(next->member, part, now);
        RC_ASSERT(received.has_value());
        if (*received) {
          RC_ASSERT((*received)->configuration->version > held);
          held = (*received)->configuration->version;
        }
      }
    }
  }
  RC_ASSERT(held == newest.version);
}

}  // namespace
}  // namespace stoat
