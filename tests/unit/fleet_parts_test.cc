/// Components without I/O: configuration checks, replicated state, registry, routes, placement, retry
/// budgets, event splitting, request fields.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "src/delivery/event_splitter.h"
#include "src/delivery/retry_budget.h"
#include "src/dispatch/active_request.h"
#include "src/dispatch/request_fields.h"
#include "src/fleet/backend_registry.h"
#include "src/fleet/fleet_state.h"
#include "src/placement/prompt_placement.h"
#include "src/routing/route_table.h"

namespace stoat {
namespace {

fleet::FleetConfiguration sample() {
  fleet::FleetConfiguration configuration;
  configuration.version = 3;
  configuration.services.resize(2);
  configuration.services[0].name = "a";
  configuration.services[1].name = "b";
  fleet::Route route;
  route.name = "r";
  route.host = "H.example";
  route.path_prefix = "/p/";
  route.timeout_ms = 100;
  route.shares = {{"a", 3}, {"b", 1}};
  configuration.routes = {route};
  configuration.tenants = {{"t", {"k"}, 0, false}};
  return configuration;
}

std::string findings_text(const fleet::FleetConfiguration& configuration) {
  Findings findings;
  fleet::check_configuration(configuration, findings);
  return findings.to_text();
}

TEST(FleetConfiguration, EachContradictionIsReportedAsAFindingWithItsLocation) {
  EXPECT_EQ(findings_text(sample()), "");
  auto broken = sample();
  broken.routes[0].shares = {{"nobody", 0}};
  broken.routes[0].timeout_ms = 0;
  broken.routes.push_back(broken.routes[0]);
  broken.tenants.push_back({"u", {"k"}, 0, false});
  const std::string text = findings_text(broken);
  EXPECT_NE(text.find("unknown service 'nobody'"), std::string::npos);
  EXPECT_NE(text.find("weights add up to 0"), std::string::npos);
  EXPECT_NE(text.find("time-out"), std::string::npos);
  EXPECT_NE(text.find("same host and path prefix"), std::string::npos);
  EXPECT_NE(text.find("shares a key with tenant 't'"), std::string::npos);
}

TEST(FleetState, OnlyAHigherVersionIsApplied) {
  fleet::FleetState state;
  auto configuration = sample();
  state.apply(fleet::PutConfiguration{configuration, "three"});
  configuration.version = 2;
  state.apply(fleet::PutConfiguration{configuration, "two"});
  configuration.version = 3;
  state.apply(fleet::PutConfiguration{configuration, "other three"});
  EXPECT_EQ(state.source(), "three");
  EXPECT_EQ(state.revision(), 1U);
}

TEST(FleetState, WeightsVersionNeverDecreasesAndRetirementIsPermanent) {
  fleet::FleetState state;
  state.apply(fleet::SetTargetWeights{"m", 4});
  state.apply(fleet::SetTargetWeights{"m", 2});
  EXPECT_EQ(state.weights().at("m"), 4U);
  state.apply(fleet::RetireBackend{"e", fleet::BackendState::kGone});
  state.apply(fleet::RetireBackend{"e", fleet::BackendState::kDraining});
  EXPECT_EQ(state.retired_state("e"), fleet::BackendState::kGone);
  EXPECT_EQ(state.retired_state("f"), fleet::BackendState::kReady);
}

fleet::BackendRecord heartbeat(const std::string& id, uint64_t sequence, const std::string& address = "x:1") {
  fleet::BackendRecord record;
  record.id = id;
  record.address = address;
  record.sequence = sequence;
  record.models = {{"m", 1}};
  return record;
}

TEST(BackendRegistry, OutOfOrderHeartbeatIsIgnored) {
  fleet::BackendRegistry registry({});
  EXPECT_TRUE(registry.on_heartbeat(heartbeat("e", 5), 1s));
  EXPECT_FALSE(registry.on_heartbeat(heartbeat("e", 4), 2s));
  EXPECT_FALSE(registry.on_heartbeat(heartbeat("e", 5), 2s));
}

TEST(BackendRegistry, FormerBackEndAtAReusedAddressIsRejected) {
  fleet::BackendRegistry registry({});
  registry.on_heartbeat(heartbeat("old", 5), 1s);
  registry.on_heartbeat(heartbeat("new", 1), 2s);
  EXPECT_EQ(registry.find("old"), nullptr);
  EXPECT_FALSE(registry.on_heartbeat(heartbeat("old", 6), 3s));
  ASSERT_NE(registry.find("new"), nullptr);
}

TEST(BackendRegistry, RetiredBackEndNeverBecomesReadyAgain) {
  fleet::BackendRegistry registry({});
  registry.on_heartbeat(heartbeat("e", 1), 1s);
  registry.retire("e", fleet::BackendState::kDraining);
  registry.on_heartbeat(heartbeat("e", 2), 2s);
  EXPECT_EQ(registry.find("e")->state, fleet::BackendState::kDraining);
}

TEST(BackendRegistry, MissingHeartbeatsMarkABackEndLostUntilTheNextOne) {
  fleet::BackendRegistry registry({});
  registry.on_heartbeat(heartbeat("e", 1), 1s);
  const uint64_t revision = registry.table().revision();
  registry.expire(6s);
  EXPECT_TRUE(registry.find("e")->lost);
  EXPECT_GT(registry.table().revision(), revision);
  registry.on_heartbeat(heartbeat("e", 2), 7s);
  EXPECT_FALSE(registry.find("e")->lost);
  registry.expire(60s);
  EXPECT_EQ(registry.find("e"), nullptr);
}

TEST(BackendRegistry, HeartbeatWithoutNewDataLeavesTheRevisionUnchanged) {
  fleet::BackendRegistry registry({});
  registry.on_heartbeat(heartbeat("e", 1), 1s);
  const uint64_t revision = registry.table().revision();
  EXPECT_TRUE(registry.on_heartbeat(heartbeat("e", 2), 2s));
  EXPECT_EQ(registry.table().revision(), revision);
}

TEST(BackendRegistry, WeightsVersionOfOneIncarnationNeverDecreases) {
  fleet::BackendRegistry registry({});
  registry.on_heartbeat(heartbeat("e", 1), 1s);
  registry.set_version("e", "m", 3);
  registry.on_heartbeat(heartbeat("e", 2), 2s);
  EXPECT_EQ(registry.find("e")->version_of("m"), 3U);
}

TEST(RouteTable, LongestPathPrefixOfTheHostWins) {
  auto configuration = sample();
  configuration.routes.push_back(configuration.routes[0]);
  configuration.routes[1].name = "long";
  configuration.routes[1].path_prefix = "/p/q/";
  const routing::RouteTable table(std::make_shared<const fleet::FleetConfiguration>(configuration));
  EXPECT_EQ(table.find("h.EXAMPLE:80", "/p/q/x?y=/")->name, "long");
  EXPECT_EQ(table.find("h.example", "/p/qq")->name, "r");
  EXPECT_EQ(table.find("h.example", "/p"), nullptr);
  EXPECT_EQ(table.find("other", "/p/"), nullptr);
  EXPECT_EQ(table.tenant_of_key("k")->name, "t");
  EXPECT_EQ(table.tenant_of_key("x"), nullptr);
}

TEST(TrafficSplitter, DistributesRequestsByWeight) {
  routing::TrafficSplitter chooser;
  const auto configuration = sample();
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    ++counts[chooser.choose(configuration.routes[0])];
  }
  EXPECT_EQ(counts["a"], 300);
  EXPECT_EQ(counts["b"], 100);
}

// Credits of the earlier weights were worked off after a change, by a service with weight 0 too.
TEST(TrafficSplitter, CreditsOfEarlierWeightsOutliveAChange) {
  constexpr size_t kRequests = 400;
  for (size_t before = 1; before <= kRequests; ++before) {
    routing::TrafficSplitter splitter;
    fleet::Route route;
    route.name = "split";
    route.shares = {{"app-a", 900}, {"app-b", 100}};
    for (size_t request = 0; request < before; ++request) {
      splitter.choose(route);
    }
    route.shares = {{"app-a", 1}, {"app-c", 0}};
    for (size_t request = 0; request < kRequests; ++request) {
      ASSERT_EQ(splitter.choose(route), "app-a") << before << " requests before the change";
    }
    route.shares = {{"app-a", 9}, {"app-b", 1}};
    std::map<std::string, size_t> counts;
    for (size_t request = 0; request < kRequests; ++request) {
      ++counts[splitter.choose(route)];
    }
    EXPECT_EQ(counts["app-b"], kRequests / 10);
  }
}

TEST(TrafficSplitter, ServiceWithZeroWeightGetsNoRequests) {
  routing::TrafficSplitter chooser;
  auto configuration = sample();
  configuration.routes[0].shares = {{"a", 0}, {"b", 2}};
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(chooser.choose(configuration.routes[0]), "b");
  }
}

placement::PromptChain chain(std::initializer_list<std::pair<uint64_t, uint32_t>> prompt_parts) {
  placement::PromptChain result;
  for (const auto& [hash, tokens] : prompt_parts) {
    result.prompt_parts.push_back({hash, tokens});
    result.prompt_tokens += tokens;
  }
  return result;
}

/// Three engines with the same weights, all usable.
class PartPlacementTest : public ::testing::Test {
 protected:
  static constexpr uint64_t kWeights = 4;
  PartPlacementTest() : cache_estimates_(3), engines_(3) {
    for (size_t i = 0; i < 3; ++i) {
      engines_[i].name_hash = i + 1;
      engines_[i].cache_estimate = &cache_estimates_[i];
      engines_[i].weights = kWeights;
      engines_[i].slots = 8;
      engines_[i].ms_per_token = kMsPerToken;
      engines_[i].distance = topology::Distance::kSameZone;
    }
  }
  /// Sets the wait at an engine to the time for prefilling this many prompt tokens.
  void queue_tokens(size_t engine, double tokens) { engines_[engine].wait_ms = tokens * kMsPerToken; }
  void allow_only(size_t target) {
    for (size_t i = 0; i < engines_.size(); ++i) {
      engines_[i].candidate = i == target;
    }
  }
  placement::Placement place(TimePoint now = 1s) const {
    return placement::choose_placement(prompt_, engines_, nullptr, {}, now);
  }

  static constexpr double kMsPerToken = 1 / 38.0;
  placement::PromptChain prompt_ = chain({{1, 4000}, {2, 500}});
  std::vector<placement::KvCacheEstimate> cache_estimates_;
  std::vector<placement::EngineView> engines_;
};

TEST_F(PartPlacementTest, ChainStaysAtItsHomeEngineUntilThatIsLoaded) {
  const size_t home = place().target;
  engines_[home].outstanding = 2;
  EXPECT_EQ(place().target, home);
  queue_tokens(home, 20000);
  EXPECT_NE(place().target, home);
}

TEST_F(PartPlacementTest, SourceIsAKnownHolder) {
  allow_only(0);
  EXPECT_EQ(place().source, std::nullopt);
  cache_estimates_[2].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place().source, std::optional<size_t>(2));
  EXPECT_EQ(place().missing_tokens, 500U);
  cache_estimates_[0].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place().source, std::nullopt);
}

TEST_F(PartPlacementTest, HolderExpiresAfterTheHoldTime) {
  allow_only(0);
  cache_estimates_[2].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place(1s + placement::kHoldTime + 1ms).source, std::nullopt);
}

TEST_F(PartPlacementTest, SourceIsTheHolderOfTheLongestPrefix) {
  prompt_ = chain({{1, 2000}, {2, 3000}, {3, 500}});
  allow_only(0);
  cache_estimates_[1].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place().source, std::optional<size_t>(1));
  EXPECT_EQ(place().missing_tokens, 3500U);
  cache_estimates_[2].note_held({1, 2}, kWeights, 1s);
  EXPECT_EQ(place().source, std::optional<size_t>(2));
  EXPECT_EQ(place().missing_tokens, 500U);
}

TEST_F(PartPlacementTest, HolderInTheTargetsZoneIsThePreferredSource) {
  allow_only(0);
  engines_[1].place.zone = 7;
  cache_estimates_[1].note_held({1}, kWeights, 1s);
  cache_estimates_[2].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place().source, std::optional<size_t>(2));
}

TEST_F(PartPlacementTest, PendingPrefillAttractsRequestsButIsNotUsedAsSource) {
  const size_t other = (place().target + 1) % 3;
  cache_estimates_[other].note_pending(prompt_, kWeights, 1s);
  queue_tokens(other, 4500);
  EXPECT_EQ(place().target, other);
  EXPECT_EQ(place().source, std::nullopt);
  cache_estimates_[other].drop_pending(prompt_);
  EXPECT_NE(place().target, other);
}

TEST_F(PartPlacementTest, HolderWithOtherWeightsIsNotUsedAsSource) {
  allow_only(0);
  cache_estimates_[2].note_held({1}, kWeights - 1, 1s);
  EXPECT_EQ(place().source, std::nullopt);
  cache_estimates_[2].note_held({1}, kWeights + 1, 1s);
  EXPECT_EQ(place().source, std::nullopt);
  cache_estimates_[2].note_held({1}, kWeights,
                                1s);  // an outdated report: the engine already has newer weights
  EXPECT_EQ(place().source, std::nullopt);
}

TEST_F(PartPlacementTest, UnhealthyHolderIsNotUsedAsSource) {
  allow_only(0);
  cache_estimates_[2].note_held({1}, kWeights, 1s);
  engines_[2].usable_as_source = false;
  EXPECT_EQ(place().source, std::nullopt);
}

TEST_F(PartPlacementTest, NonCandidateEngineIsNeverTheTarget) {
  cache_estimates_[2].note_held({1}, kWeights, 1s);
  for (size_t target = 0; target < 3; ++target) {
    allow_only(target);
    EXPECT_EQ(place().target, target);
  }
}

TEST(RouterCountEstimate, CountIsOverestimatedAfterAStartAndAfterALoss) {
  // Guards against retry storms: after a restart of 69 routers, each took the whole fixed part of the retry
  // budget.
  delivery::RouterCountEstimate routers(10s);
  EXPECT_GE(routers.count(), 1000U);
  routers.note(3, 1s);
  EXPECT_GE(routers.count(), 1000U);
  routers.note(69, 11s);
  EXPECT_EQ(routers.count(), 69U);
  routers.note(30, 15s);
  EXPECT_EQ(routers.count(), 69U);
  routers.note(70, 16s);
  EXPECT_EQ(routers.count(), 70U);
  routers.note(30, 25s);
  EXPECT_EQ(routers.count(), 70U);
  routers.note(30, 26s);
  EXPECT_EQ(routers.count(), 30U);
}

TEST_F(PartPlacementTest, CopyAwayFromTheHomeEngineHasACost) {
  for (placement::EngineView& engine : engines_) {
    engine.slots = 1000;
  }
  const size_t home = place().target;
  const size_t other = (home + 1) % 3;
  cache_estimates_[other].note_held({1}, kWeights, 1s);
  EXPECT_EQ(place().target, other);  // its KV cache is already there
  cache_estimates_[home].note_held({1}, kWeights, 1s);
  engines_[home].outstanding = 100;
  engines_[other].outstanding = 100;
  // A third copy would evict another part.
  EXPECT_TRUE(place().target == home || place().target == other);
  engines_[home].outstanding = 250;
  engines_[other].outstanding = 250;
  EXPECT_FALSE(place().target == home || place().target == other);
}

TEST_F(PartPlacementTest, StoreIsTheSourceWhenItHoldsMore) {
  prompt_ = chain({{1, 2000}, {2, 3000}, {3, 500}});
  allow_only(0);
  placement::KvCacheEstimate store;
  cache_estimates_[1].note_held({1}, kWeights, 1s);
  store.note_held({1, 2}, kWeights, 1s);
  const placement::StoreView view{&store, {}};
  const auto placed = placement::choose_placement(prompt_, engines_, &view, {}, 1s);
  EXPECT_TRUE(placed.from_store);
  EXPECT_EQ(placed.source, std::nullopt);
  EXPECT_EQ(placed.missing_tokens, 500U);
}

TEST_F(PartPlacementTest, ShortAndLongPromptsUseAllEngines) {
  for (const uint32_t tokens : {600U, 9000U}) {
    std::set<size_t> used;
    for (uint32_t part = 0; part < 64; ++part) {
      prompt_ = chain({{10 + 2 * part, tokens / 2}, {11 + 2 * part, tokens / 2}});
      used.insert(place().target);
    }
    EXPECT_EQ(used.size(), engines_.size()) << tokens;
  }
}

TEST_F(PartPlacementTest, EngineWithALongPrefillQueueIsNotTheTarget) {
  const size_t home = place().target;
  queue_tokens(home, 30000);
  EXPECT_NE(place().target, home);
}

TEST(RetryBudget, BoundsRetriesOverAnyWindow) {
  delivery::RetryBudgetOptions options;
  options.slack = 20;
  delivery::RetryBudget budget(options);
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now(i * 5000);
    budget.on_request(now);
    taken += budget.take(now, 4) ? 1 : 0;
  }
  EXPECT_LE(taken, 0.2 * 1000 + 20.0 / 4);
  EXPECT_GE(taken, 100);
  EXPECT_TRUE(budget.take(60s, 4));
}

TEST(VersionHistory, EachVersionAgesIndependentlyOfLaterOnes) {
  // Guards against a later version resetting the age of an earlier one: an engine that rejoined with version
  // 1 was used 8.5 s after version 2 had been announced, because version 3 had reset the age of version 2.
  fleet::VersionHistory wanted;
  wanted.record_version(2, 4s);
  wanted.record_version(3, 12s);
  wanted.record_version(2, 5s);
  EXPECT_EQ(wanted.outdated_for(1, 13s), std::optional<Duration>(9s));
  EXPECT_EQ(wanted.outdated_for(2, 13s), std::optional<Duration>(1s));
  EXPECT_EQ(wanted.outdated_for(3, 13s), std::nullopt);
}

RC_GTEST_PROP(EventSplitter, YieldsTheSameEventsForAnyChunking, (std::vector<uint8_t> cuts)) {
  std::string stream;
  for (int id = 1; id <= 20; ++id) {
    const std::string end = id % 3 == 0 ? "\r\n" : "\n";
    stream.append("id: ").append(std::to_string(id)).append(end).append("data: ");
    stream.append(static_cast<size_t>(id % 7), 'x').append(end).append(end);
  }
  delivery::EventSplitter splitter;
  std::string joined;
  std::vector<int64_t> ids;
  size_t position = 0;
  size_t turn = 0;
  while (position < stream.size()) {
    const size_t length = cuts.empty() ? stream.size() : 1 + cuts[turn++ % cuts.size()] % 40;
    splitter.feed(std::string_view(stream).substr(position, length), [&](const delivery::StreamEvent& event) {
      joined += event.bytes;
      ids.push_back(event.id.value_or(-1));
    });
    position += length;
  }
  RC_ASSERT(joined == stream);
  RC_ASSERT(ids.size() == 20U);
  RC_ASSERT(ids.front() == 1 && ids.back() == 20);
  RC_ASSERT(splitter.pending() == 0U);
}

TEST(RequestFields, ReadsFieldsAndIgnoresMalformedOnes) {
  http1::Headers headers;
  headers.add("x-prompt-parts", "5c:800,91:410");
  headers.add("X-Token-Counts", "1460,80");
  headers.add("AUTHORIZATION", "bearer key");
  headers.add("X-Deadline-Ms", "12x");
  const auto fields = dispatch::read_fields(headers, dispatch::HeaderNames());
  ASSERT_EQ(fields.parts.size(), 2U);
  EXPECT_EQ(fields.parts[1].tokens, 410U);
  EXPECT_EQ(fields.prompt_tokens, 1460U);
  EXPECT_EQ(fields.key, "key");
  EXPECT_FALSE(fields.deadline_ms);
}

}  // namespace
}  // namespace stoat
