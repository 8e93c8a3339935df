// FleetSimulation: the store of kept blocks, and how routers learn what engines and the store hold.
#include "simulation/fleet_simulation.h"
#include "src/cache/block_chain.h"

namespace stoat::simulation {

namespace {

constexpr Duration kFeedTimeout = 2s;
constexpr size_t kFeedPage = 5000;

}  // namespace

void FleetSimulation::start_kv_store() {
  standins::KvStoreSettings settings;
  settings.capacity_blocks = options_.kv_store_blocks;
  settings.feed = options_.engine.feed;
  kv_store_ = std::make_unique<standins::KvStoreModel>(settings, random_.bits() | 1U, random_.bits());
}

void FleetSimulation::import_from_store(standins::EngineRequest& request) const {
  if (request.import_blocks == 0) {
    return;
  }
  auto chain = cache::block_chain(request.cache_seed, request.prompt, options_.router.block_tokens);
  chain.resize(std::min<size_t>(chain.size(), request.import_blocks));
  request.import_blocks = kv_store_ == nullptr ? 0 : static_cast<uint32_t>(kv_store_->import(chain));
}

void FleetSimulation::export_to_store(standins::EngineModel& model) {
  for (const standins::EngineExport& due : model.take_exports()) {
    if (kv_store_ != nullptr) {
      kv_store_->take_export(due.chain, events_.now());
    }
  }
}

wire::EngineLoad FleetSimulation::engine_load(const standins::EngineModel& model) const {
  const standins::EngineLoadReport report = model.load(events_.now());
  return {model.settings().name, report.incarnation, report.running,        report.waiting,
          report.waiting_tokens, report.leaving,     report.weights_version};
}

void FleetSimulation::ask_feed_owner(const std::string& backend, const FeedOwnerAnswer& answer,
                                     const std::function<void()>& fail) {
  if (backend == kStoreName) {
    if (kv_store_ == nullptr) {
      fail();
      return;
    }
    wire::EngineLoad load;
    load.engine = kStoreName;
    load.incarnation = kv_store_->incarnation();
    answer(kv_store_->blocks(), load);
    return;
  }
  const auto engine = static_cast<size_t>(engine_position(backend));
  on_engine(
      engine,
      [this, engine, answer] {
        const standins::EngineModel& model = *engines_[engine].model;
        answer(model.prefix_cache(), engine_load(model));
      },
      fail);
}

void FleetSimulation::perform(size_t router, router::PollFeed& action) {
  const uint64_t generation = routers_[router].generation;
  const std::string name = action.backend;
  const auto fail = [this, router, generation, name] {
    events_.after(delay(), [this, router, generation, name] {
      on_router(router, generation,
                [this, router, name] { routers_[router].core->on_feed_failure(name, events_.now()); });
    });
  };
  const int engine = engine_position(name);
  if (engine >= 0 && engines_[static_cast<size_t>(engine)].frozen) {
    events_.after(kFeedTimeout, fail);
    return;
  }
  const uint64_t after = action.after_sequence;
  const auto answer = [this, router, generation, name, after](const standins::EngineCache& cache,
                                                              const wire::EngineLoad& load) {
    cache::FeedPage page;
    page.incarnation = load.incarnation;
    page.oldest_sequence = cache.oldest_sequence();
    for (const standins::CacheEvent& event : cache.events_after(after, kFeedPage, events_.now())) {
      page.events.push_back({event.sequence, event.stored, event.block, event.parent});
    }
    deliver_in_order(name, routers_[router].name, [this, router, generation, name, page, load] {
      on_router(router, generation, [this, router, name, page, load] {
        routers_[router].core->on_feed_page(name, page, load, events_.now());
      });
    });
  };
  deliver_in_order(routers_[router].name, name,
                   [this, name, answer, fail] { ask_feed_owner(name, answer, fail); });
}

void FleetSimulation::perform(size_t router, router::FetchSnapshot& action) {
  const uint64_t generation = routers_[router].generation;
  const std::string name = action.backend;
  const auto fail = [this, router, generation, name] {
    on_router(router, generation,
              [this, router, name] { routers_[router].core->on_feed_failure(name, events_.now()); });
  };
  const auto answer = [this, router, generation, name](const standins::EngineCache& cache,
                                                       const wire::EngineLoad& load) {
    cache::FeedSnapshot snapshot;
    snapshot.incarnation = load.incarnation;
    snapshot.sequence = cache.last_sequence();
    for (const standins::CachedBlock& block : cache.snapshot()) {
      snapshot.blocks.emplace_back(block.block, block.parent);
    }
    deliver_in_order(name, routers_[router].name, [this, router, generation, name, snapshot] {
      on_router(router, generation, [this, router, name, snapshot] {
        routers_[router].core->on_feed_snapshot(name, snapshot, events_.now());
      });
    });
  };
  deliver_in_order(routers_[router].name, name,
                   [this, name, answer, fail] { ask_feed_owner(name, answer, fail); });
}

}  // namespace stoat::simulation
