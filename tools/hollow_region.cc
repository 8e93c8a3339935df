#include "tools/hollow_region.h"

#include <algorithm>
#include <deque>

#include "src/wire/codec.h"

namespace stoat::tools {

namespace {

constexpr char kZone[] = "region/zone";
constexpr Duration kTick = 5ms;
constexpr size_t kFrameHeaderBytes = 4;
constexpr size_t kBlocksPerChain = 40;

/// An engine that only has a cache: evicts its oldest chain for each chain that it stores.
struct HollowEngine {
  std::string name;
  uint64_t sequence = 0;
  std::deque<std::vector<cache::BlockHash>> chains;
  double due_changes = 0;
};

struct HollowRouter {
  std::string name;
  Metrics metrics;
  std::unique_ptr<router::RouterCore> core;
  std::chrono::nanoseconds cpu{0};
  uint64_t block_bytes = 0;
  uint64_t digest_bytes = 0;
  uint64_t other_bytes = 0;
  uint64_t messages = 0;
  uint64_t sent() const { return block_bytes + digest_bytes + other_bytes; }
};

class Region {
 public:
  explicit Region(const HollowRegionSettings& settings) : settings_(settings), random_(settings.seed) {
    control::Configuration configuration;
    configuration.version = 1;
    configuration.models["model"] = control::Model{"model", "v1", ""};
    for (size_t number = 0; number < settings.engines; ++number) {
      HollowEngine& engine = engines_.emplace_back();
      engine.name = "engine-" + std::to_string(number);
      configuration.backends[engine.name] =
          control::Backend{engine.name, control::BackendKind::kEngine, "model", "127.0.0.1:1", kZone, false};
    }
    std::vector<wire::Node> nodes;
    for (size_t number = 0; number < settings.routers; ++number) {
      auto& router = routers_.emplace_back(std::make_unique<HollowRouter>());
      router->name = "router-" + std::to_string(number);
      router::RouterOptions options;
      options.name = router->name;
      options.zone = kZone;
      router->core = std::make_unique<router::RouterCore>(options, random_.bits(), now_, &router->metrics);
      nodes.push_back({router->name, "router", "127.0.0.1:1", kZone, random_.bits(), 0, false});
    }
    for (auto& router : routers_) {
      router->core->on_configuration(configuration, now_);
      router->core->on_routers(nodes, now_);
    }
  }

  HollowRegionFigures run() {
    fill_caches();
    for (auto& router : routers_) {
      router->cpu = std::chrono::nanoseconds(0);
      router->block_bytes = router->digest_bytes = router->other_bytes = router->messages = 0;
    }
    const TimePoint end = now_ + settings_.span;
    while (now_ < end) {
      step();
    }
    return figures();
  }

 private:
  void fill_caches() {
    for (HollowEngine& engine : engines_) {
      engine.due_changes = 0;
      while (engine.chains.size() * kBlocksPerChain < settings_.blocks_per_engine) {
        engine.chains.push_back(make_chain());
      }
    }
    for (int warm = 0; warm < 200; ++warm) {
      step();
    }
  }

  std::vector<cache::BlockHash> make_chain() {
    std::vector<cache::BlockHash> chain;
    chain.reserve(kBlocksPerChain);
    for (size_t block = 0; block < kBlocksPerChain; ++block) {
      chain.push_back(random_.bits() | 1U);
    }
    return chain;
  }

  void step() {
    now_ += kTick;
    for (size_t position = 0; position < routers_.size(); ++position) {
      timed(position, [&](router::RouterCore& core) { core.tick(now_); });
      carry_out(position);
    }
  }

  template <typename Action>
  void timed(size_t position, const Action& action) {
    HollowRouter& router = *routers_[position];
    const auto before = std::chrono::steady_clock::now();
    action(*router.core);
    router.cpu += std::chrono::steady_clock::now() - before;
  }

  void carry_out(size_t position) {
    for (router::RouterAction& action : routers_[position]->core->take_actions()) {
      if (const auto* poll = std::get_if<router::PollFeed>(&action)) {
        answer_poll(position, *poll);
      } else if (const auto* fetch = std::get_if<router::FetchSnapshot>(&action)) {
        answer_snapshot(position, fetch->backend);
      } else if (auto* send = std::get_if<router::SendToRouter>(&action)) {
        deliver(position, *send);
      }
    }
  }

  HollowEngine& engine_named(const std::string& name) {
    return *std::find_if(engines_.begin(), engines_.end(),
                         [&](const HollowEngine& engine) { return engine.name == name; });
  }

  void answer_poll(size_t position, const router::PollFeed& poll) {
    HollowEngine& engine = engine_named(poll.backend);
    cache::FeedPage page;
    page.incarnation = 1;
    page.oldest_sequence = 1;
    const double interval_s = 0.1;
    engine.due_changes += settings_.changes_per_second / static_cast<double>(settings_.engines) * interval_s;
    const bool snapshot_first = engine.sequence == 0;
    if (snapshot_first) {
      engine.sequence = 1;
      page.oldest_sequence = 1000;  // a gap: the router asks for all blocks
      page.events.push_back({1000, true, random_.bits() | 1U, 0});
      engine.sequence = 1000;
    }
    while (engine.due_changes >= 2.0 * kBlocksPerChain && !snapshot_first) {
      engine.due_changes -= 2.0 * kBlocksPerChain;
      for (const cache::BlockHash block : engine.chains.front()) {
        page.events.push_back({++engine.sequence, false, block, 0});
      }
      engine.chains.pop_front();
      engine.chains.push_back(make_chain());
      cache::BlockHash parent = 0;
      for (const cache::BlockHash block : engine.chains.back()) {
        page.events.push_back({++engine.sequence, true, block, parent});
        parent = block;
      }
    }
    wire::EngineLoad load;
    load.engine = engine.name;
    load.incarnation = 1;
    load.running = static_cast<uint32_t>(8 + random_.below(8));
    load.waiting_tokens = static_cast<uint32_t>(random_.below(4000));
    load.weights_version = "v1";
    timed(position, [&](router::RouterCore& core) { core.on_feed_page(poll.backend, page, load, now_); });
    carry_out(position);
  }

  void answer_snapshot(size_t position, const std::string& name) {
    HollowEngine& engine = engine_named(name);
    cache::FeedSnapshot snapshot;
    snapshot.incarnation = 1;
    snapshot.sequence = engine.sequence;
    for (const auto& chain : engine.chains) {
      cache::BlockHash parent = 0;
      for (const cache::BlockHash block : chain) {
        snapshot.blocks.emplace_back(block, parent);
        parent = block;
      }
    }
    timed(position, [&](router::RouterCore& core) { core.on_feed_snapshot(name, snapshot, now_); });
    carry_out(position);
  }

  void deliver(size_t from, const router::SendToRouter& send) {
    HollowRouter& sender = *routers_[from];
    std::string bytes;
    timed(from, [&](router::RouterCore&) { bytes = wire::encode(send.message); });
    const uint64_t size = bytes.size() + kFrameHeaderBytes;
    ++sender.messages;
    if (std::holds_alternative<wire::BlockChanges>(send.message.value)) {
      sender.block_bytes += size;
    } else if (std::holds_alternative<wire::LoadDigest>(send.message.value)) {
      sender.digest_bytes += size;
    } else {
      sender.other_bytes += size;
    }
    const auto to = static_cast<size_t>(std::stoul(send.router.substr(send.router.find('-') + 1)));
    timed(to, [&](router::RouterCore& core) {
      const auto message = wire::decode<wire::Message>(bytes);
      core.on_router_message(*message, now_);
    });
  }

  HollowRegionFigures figures() const {
    HollowRegionFigures result;
    const double seconds = to_seconds(settings_.span);
    const double each = seconds * static_cast<double>(routers_.size());
    double index_blocks = 0;
    for (const auto& router : routers_) {
      result.block_bytes_per_second += static_cast<double>(router->block_bytes) / each;
      result.digest_bytes_per_second += static_cast<double>(router->digest_bytes) / each;
      result.other_bytes_per_second += static_cast<double>(router->other_bytes) / each;
      result.messages_per_second += static_cast<double>(router->messages) / each;
      result.most_bytes_per_second =
          std::max(result.most_bytes_per_second, static_cast<double>(router->sent()) / seconds);
      const double cpu_share = std::chrono::duration<double>(router->cpu).count() / seconds;
      result.cpu_share += cpu_share / static_cast<double>(routers_.size());
      result.most_cpu_share = std::max(result.most_cpu_share, cpu_share);
      result.index_bytes +=
          static_cast<double>(router->core->index().memory_bytes()) / static_cast<double>(routers_.size());
      index_blocks += static_cast<double>(router->core->index().block_count());
    }
    result.indexed_blocks = index_blocks / static_cast<double>(routers_.size());
    result.bytes_per_indexed_block = result.index_bytes / std::max(1.0, result.indexed_blocks);
    return result;
  }

  HollowRegionSettings settings_;
  Random random_;
  TimePoint now_{1s};
  std::vector<HollowEngine> engines_;
  std::vector<std::unique_ptr<HollowRouter>> routers_;
};

}  // namespace

HollowRegionFigures run_hollow_region(const HollowRegionSettings& settings) { return Region(settings).run(); }

}  // namespace stoat::tools
