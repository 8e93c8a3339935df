// FleetSimulation: faults drawn from the seed.
#include "simulation/fleet_simulation.h"

namespace stoat::simulation {

void FleetSimulation::random_fault() {
  const size_t router = random_.below(routers_.size());
  const size_t engine = random_.below(engines_.size());
  switch (random_.below(10)) {
    case 0:
      crash_router(router);
      break;
    case 1:
      if (router_runs(router)) {
        freeze_router(router);
      }
      break;
    case 2:
      for (size_t position = 0; position < routers_.size(); ++position) {
        crash_router(position);
        start_router(position);
      }
      break;
    case 3:
      if (engines_[engine].model != nullptr) {
        crash_engine(engine);
      }
      break;
    case 4:
      if (engines_[engine].model != nullptr) {
        freeze_engine(engine);
      }
      break;
    case 5:
      set_control_available(false);
      break;
    case 6:
      lose_next_control_answers(static_cast<uint32_t>(random_.below(5)));
      break;
    case 7:
      crash_sidecar(random_.below(sidecars_.size()));
      break;
    case 8:
      if (weights_number_ < 3) {
        order_weights("v" + std::to_string(weights_number_ + 1));
      }
      break;
    default:
      if (!records_.empty()) {
        const size_t record = random_.below(records_.size());
        if (!records_[record].finished && !records_[record].gone) {
          set_caller_gone(record);
        }
      }
      break;
  }
  if (options_.kv_store_blocks > 0 && random_.chance(0.1)) {
    crash_kv_store();
  }
  // Some of what was broken comes back.
  if (random_.chance(0.5)) {
    set_control_available(true);
  }
  if (options_.kv_store_blocks > 0 && !kv_store_runs() && random_.chance(0.5)) {
    start_kv_store();
  }
  for (size_t position = 0; position < routers_.size(); ++position) {
    if (random_.chance(0.5)) {
      if (!router_runs(position)) {
        start_router(position);
      } else if (routers_[position].frozen) {
        thaw_router(position);
      }
    }
  }
  for (size_t position = 0; position < engines_.size(); ++position) {
    if (random_.chance(0.5)) {
      if (engines_[position].model == nullptr) {
        start_engine(position);
      } else if (engines_[position].frozen) {
        thaw_engine(position);
      }
    }
  }
}

void FleetSimulation::heal_everything() {
  set_control_available(true);
  if (options_.kv_store_blocks > 0 && !kv_store_runs()) {
    start_kv_store();
  }
  for (size_t position = 0; position < routers_.size(); ++position) {
    if (!router_runs(position)) {
      start_router(position);
    }
    thaw_router(position);
  }
  for (size_t position = 0; position < engines_.size(); ++position) {
    if (engines_[position].model == nullptr) {
      start_engine(position);
    }
    thaw_engine(position);
  }
}

}  // namespace stoat::simulation
