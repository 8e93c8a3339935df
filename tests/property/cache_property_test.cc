// The prefix index and the engine feed against plain models of what they stand for.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

#include "src/cache/engine_feed.h"
#include "src/cache/prefix_index.h"
#include "src/control/configuration_follower.h"
#include "standins/engine_cache.h"

namespace stoat::cache {
namespace {

RC_GTEST_PROP(PrefixIndexProperty, TellsWhatAPlainMapTells, ()) {
  PrefixIndex index;
  std::map<std::string, std::set<BlockHash>> model;
  std::map<std::string, uint64_t> incarnations;
  const std::vector<BlockHash> chain = block_chain(1, std::string(400, 'x'), 10);
  const auto steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const std::string engine = "engine-" + std::to_string(*rc::gen::inRange(0, 9));
    uint64_t& incarnation = incarnations[engine];
    const BlockHash block = chain[*rc::gen::inRange<size_t>(0, chain.size())];
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        ++incarnation;  // it came back empty
        model[engine].clear();
        index.slot_of(engine, incarnation);
        break;
      case 1:
        index.drop_engine(engine);
        model[engine].clear();
        ++incarnation;
        break;
      case 2:
        index.remove(index.slot_of(engine, incarnation), block);
        model[engine].erase(block);
        break;
      case 3:
        index.sweep(50);
        break;
      default:
        index.store(index.slot_of(engine, incarnation), block);
        model[engine].insert(block);
        break;
    }
    std::map<std::string, uint32_t> matched;
    for (const PrefixMatch& match : index.match(chain)) {
      RC_ASSERT(match.incarnation == incarnations[std::string(match.engine)]);
      matched[std::string(match.engine)] = match.blocks;
    }
    for (const auto& [name, blocks] : model) {
      uint32_t expected = 0;
      while (expected < chain.size() && blocks.count(chain[expected]) > 0) {
        ++expected;
      }
      RC_ASSERT(matched[name] == expected);
    }
  }
}

RC_GTEST_PROP(EngineFeedProperty, AfterTheLastPageOrSnapshotItKnowsTheCacheExactly, ()) {
  standins::FeedFaults faults;
  faults.delay = Duration(0);
  faults.gap_probability = *rc::gen::element(0.0, 0.1, 0.5);
  standins::EngineCache engine(*rc::gen::inRange<size_t>(3, 40), faults, *rc::gen::arbitrary<uint64_t>());
  EngineFeed feed;
  const auto steps = *rc::gen::inRange(1, 40);
  for (int step = 0; step < steps; ++step) {
    const auto chain = block_chain(*rc::gen::inRange<uint64_t>(1, 5), std::string(200, 'x'), 5);
    engine.store(chain, 0, *rc::gen::inRange<size_t>(0, chain.size()), TimePoint(step));
    FeedPage page;
    page.incarnation = 7;
    page.oldest_sequence = engine.oldest_sequence();
    for (const standins::CacheEvent& event :
         engine.events_after(feed.last_sequence(), 1000, TimePoint(step))) {
      page.events.push_back({event.sequence, event.stored, event.block, event.parent});
    }
    const FeedResult result = feed.on_page(page);
    if (result.needs_snapshot) {
      FeedSnapshot snapshot;
      snapshot.incarnation = 7;
      snapshot.sequence = engine.last_sequence();
      for (const standins::CachedBlock& block : engine.snapshot()) {
        snapshot.blocks.emplace_back(block.block, block.parent);
      }
      feed.on_snapshot(snapshot);
    }
  }
  // A gap at the very end shows only with the next event: compare where none is open.
  if (feed.last_sequence() == engine.last_sequence()) {
    std::set<BlockHash> known;
    for (const cache::BlockChange& change : feed.everything()) {
      known.insert(change.block);
    }
    std::set<BlockHash> held;
    for (const standins::CachedBlock& block : engine.snapshot()) {
      held.insert(block.block);
    }
    RC_ASSERT(known == held);
  }
}

RC_GTEST_PROP(BlockChainProperty, ChainsOfDifferentNamespacesNeverShareABlock, ()) {
  Namespace one;
  one.group = "tenant/a";
  one.model = "model";
  one.weights_version = "v1";
  one.block_tokens = 4;
  Namespace other = one;
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      other.group = "tenant/b";
      break;
    case 1:
      other.model = "model2";
      break;
    case 2:
      other.weights_version = "v2";
      break;
    case 3:
      other.adapter = "adapter";
      break;
    default:
      other.block_tokens = 8;
      break;
  }
  const std::string prompt(200, 'p');
  const auto chain = block_chain(namespace_seed(one), prompt, one.block_tokens);
  const auto other_chain = block_chain(namespace_seed(other), prompt, other.block_tokens);
  const std::set<BlockHash> blocks(chain.begin(), chain.end());
  for (const BlockHash block : other_chain) {
    RC_ASSERT(blocks.count(block) == 0U);
  }
}

RC_GTEST_PROP(ConfigurationFollowerProperty, NeverTakesALowerVersion, ()) {
  control::ConfigurationFollower follower;
  uint64_t highest = 0;
  for (int step = 0; step < 50; ++step) {
    wire::NodePollAnswer answer;
    const auto version = *rc::gen::inRange<uint64_t>(1, 20);
    if (*rc::gen::arbitrary<bool>()) {
      control::Configuration snapshot;
      snapshot.version = version;
      answer.snapshot.push_back(snapshot);
    } else {
      answer.changes.push_back({version, {}});
    }
    follower.on_answer(answer);
    RC_ASSERT(follower.configuration().version >= highest);
    highest = follower.configuration().version;
  }
}

}  // namespace
}  // namespace stoat::cache
