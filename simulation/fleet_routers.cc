// FleetSimulation: routers, their messages, starts and stops.
#include "simulation/fleet_simulation.h"

namespace stoat::simulation {

void FleetSimulation::on_router(size_t position, uint64_t generation, std::function<void()> input) {
  SimulatedRouter& router = routers_[position];
  if (router.core == nullptr || router.generation != generation) {
    return;
  }
  if (router.frozen) {
    router.kept.push_back(std::move(input));
    return;
  }
  input();
  run_router_actions(position);
}

void FleetSimulation::run_router_actions(size_t position) {
  router::RouterCore& core = *routers_[position].core;
  for (auto actions = core.take_actions(); !actions.empty(); actions = core.take_actions()) {
    for (router::RouterAction& action : actions) {
      std::visit([&](auto& typed) { perform(position, typed); }, action);
    }
  }
}

void FleetSimulation::perform(size_t router, router::SendToSidecar& action) {
  trace_.message(events_.now(), routers_[router].name, "sidecar", action.message);
  for (const auto& [ends, connection] : connections_) {
    if (connection.id != action.sidecar) {
      continue;
    }
    const size_t sidecar = ends.first;
    deliver_in_order(routers_[router].name, sidecars_[sidecar].name,
                     [this, router, sidecar, id = connection.id, message = action.message] {
                       const auto still_open = connections_.find({sidecar, router});
                       if (still_open == connections_.end() || still_open->second.id != id) {
                         return;
                       }
                       sidecars_[sidecar].core->on_router_message(routers_[router].name, message,
                                                                  events_.now());
                       run_sidecar_actions(sidecar);
                     });
    return;
  }
}

void FleetSimulation::perform(size_t router, router::SendToRouter& action) {
  for (size_t to = 0; to < routers_.size(); ++to) {
    if (routers_[to].name != action.router) {
      continue;
    }
    deliver_in_order(routers_[router].name, routers_[to].name,
                     [this, to, generation = routers_[to].generation, message = action.message] {
                       on_router(to, generation, [this, to, message] {
                         routers_[to].core->on_router_message(message, events_.now());
                       });
                     });
  }
}

void FleetSimulation::start_router(size_t position) {
  SimulatedRouter& router = routers_[position];
  trace_.fault(events_.now(), router.name + " starts");
  ++router.generation;
  router.frozen = false;
  router.stopping = false;
  router.start_id = random_.bits();
  router.kept.clear();
  router::RouterOptions options = options_.router;
  options.name = router.name;
  options.zone = zones_.at(router.name);
  router.metrics = std::make_unique<Metrics>();
  router.core =
      std::make_unique<router::RouterCore>(options, random_.bits(), events_.now(), router.metrics.get());
  router.core->on_configuration(router.kept_configuration, events_.now());
  router.next_poll = events_.now();
  run_router_actions(position);
}

void FleetSimulation::lose_router(size_t position) {
  trace_.fault(events_.now(), routers_[position].name + " is lost");
  SimulatedRouter& router = routers_[position];
  ++router.generation;
  router.core.reset();
  router.kept.clear();
  router.frozen = false;
  for (auto connection = connections_.begin(); connection != connections_.end();) {
    if (connection->first.second != position) {
      ++connection;
      continue;
    }
    const size_t sidecar = connection->first.first;
    connection = connections_.erase(connection);
    deliver_in_order(router.name, sidecars_[sidecar].name,
                     [this, sidecar, generation = sidecars_[sidecar].generation, name = router.name] {
                       if (sidecars_[sidecar].generation == generation) {
                         sidecars_[sidecar].core->on_router_lost(name, events_.now());
                         run_sidecar_actions(sidecar);
                       }
                     });
  }
  std::erase_if(calls_, [position](const auto& entry) { return entry.first.first == position; });
  for (SimulatedEngine& engine : engines_) {
    std::erase_if(engine.readers, [position](const auto& entry) { return entry.second.first == position; });
  }
}

void FleetSimulation::crash_router(size_t position) {
  if (routers_[position].core != nullptr) {
    lose_router(position);
  }
}

void FleetSimulation::freeze_router(size_t position) {
  trace_.fault(events_.now(), routers_[position].name + " freezes");
  routers_[position].frozen = true;
}

void FleetSimulation::thaw_router(size_t position) {
  SimulatedRouter& router = routers_[position];
  trace_.fault(events_.now(), router.name + " runs on");
  router.frozen = false;
  std::vector<std::function<void()>> kept;
  kept.swap(router.kept);
  const uint64_t generation = router.generation;
  for (auto& input : kept) {
    on_router(position, generation, std::move(input));
  }
}

void FleetSimulation::stop_router(size_t position) {
  routers_[position].stopping = true;
  routers_[position].core->start_draining();
  run_router_actions(position);
}

bool FleetSimulation::router_runs(size_t position) const { return routers_[position].core != nullptr; }

int FleetSimulation::router_of(size_t record) const {
  for (const auto& [key, call] : calls_) {
    if (call.call.request_id == records_[record].request_id) {
      return static_cast<int>(key.first);
    }
  }
  return -1;
}

int FleetSimulation::engine_of(size_t record) const {
  for (const auto& [key, call] : calls_) {
    if (call.call.request_id == records_[record].request_id) {
      return call.engine;
    }
  }
  return -1;
}

}  // namespace stoat::simulation
