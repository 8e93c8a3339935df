// FleetSimulation: sidecars and the callers behind them.
#include "simulation/fleet_simulation.h"

namespace stoat::simulation {

namespace {

constexpr uint32_t kMaxTries = 30;

}  // namespace

void FleetSimulation::run_sidecar_actions(size_t position) {
  sidecar::SidecarCore& core = *sidecars_[position].core;
  for (auto actions = core.take_actions(); !actions.empty(); actions = core.take_actions()) {
    for (sidecar::SidecarAction& action : actions) {
      std::visit([&](auto& typed) { perform(position, typed); }, action);
    }
  }
}

void FleetSimulation::perform(size_t sidecar, sidecar::SendToRouter& action) {
  trace_.message(events_.now(), sidecars_[sidecar].name, action.router, action.message);
  size_t position = 0;
  while (position < routers_.size() && routers_[position].name != action.router) {
    ++position;
  }
  const uint64_t sidecar_generation = sidecars_[sidecar].generation;
  SimulatedRouter& router = routers_.at(position);
  if (router.core == nullptr) {
    // The connection is refused.
    events_.after(delay(), [this, sidecar, sidecar_generation, name = action.router] {
      if (sidecars_[sidecar].generation == sidecar_generation) {
        sidecars_[sidecar].core->on_router_lost(name, events_.now());
        run_sidecar_actions(sidecar);
      }
    });
    return;
  }
  Connection& connection = connections_[{sidecar, position}];
  if (connection.router_generation != router.generation) {
    connection = Connection{++last_connection_, router.generation};
    const router::SidecarId id = connection.id;
    deliver_in_order(sidecars_[sidecar].name, router.name,
                     [this, position, id, generation = router.generation] {
                       on_router(position, generation,
                                 [this, position, id] { routers_[position].core->on_sidecar_connected(id); });
                     });
  }
  const router::SidecarId id = connection.id;
  deliver_in_order(sidecars_[sidecar].name, router.name,
                   [this, position, id, generation = router.generation, message = action.message] {
                     on_router(position, generation, [this, position, id, message] {
                       router::RouterCore& core = *routers_[position].core;
                       if (const auto* submit = std::get_if<wire::SubmitRequest>(&message.value)) {
                         core.on_submit(id, *submit, events_.now());
                       } else if (const auto* cancel = std::get_if<wire::CancelRequest>(&message.value)) {
                         core.on_cancel(id, cancel->request_id, events_.now());
                       } else if (const auto* ping = std::get_if<wire::Ping>(&message.value)) {
                         router::SendToSidecar pong{id, wire::Pong{ping->number}};
                         perform(position, pong);
                       }
                     });
                   });
}

void FleetSimulation::perform(size_t sidecar, sidecar::DropRouter& action) {
  for (size_t position = 0; position < routers_.size(); ++position) {
    const auto connection = connections_.find({sidecar, position});
    if (routers_[position].name != action.router || connection == connections_.end()) {
      continue;
    }
    const Connection closed = connection->second;
    connections_.erase(connection);
    deliver_in_order(sidecars_[sidecar].name, routers_[position].name, [this, position, closed] {
      on_router(position, closed.router_generation, [this, position, closed] {
        routers_[position].core->on_sidecar_gone(closed.id, events_.now());
      });
    });
  }
}

void FleetSimulation::perform(size_t sidecar, sidecar::PieceToCaller& action) {
  const auto found = record_of_exchange_.find({sidecar, action.exchange});
  if (found == record_of_exchange_.end()) {
    return;
  }
  CallerRecord& record = records_[found->second];
  record.text += action.text;
  if (record.first_piece == TimePoint(0)) {
    record.first_piece = events_.now();
  }
}

bool FleetSimulation::retries(const CallerRecord& record) const {
  const bool refused = record.result.outcome == wire::Outcome::kNotRun && record.result.retry_after_ms > 0;
  return options_.callers_retry && refused && record.tries < kMaxTries;
}

void FleetSimulation::perform(size_t sidecar, sidecar::EndToCaller& action) {
  const auto found = record_of_exchange_.find({sidecar, action.exchange});
  if (found == record_of_exchange_.end()) {
    return;
  }
  const size_t position = found->second;
  record_of_exchange_.erase(found);
  CallerRecord& record = records_[position];
  record.result = action.finished;
  if (record.finished) {
    checks_.violate(events_.now(), "a caller got two ends");
  }
  checks_.on_answer(events_.now(), record);
  if (retries(record)) {
    ++record.tries;
    const int64_t wait_ms = options_.retries_heed_advice ? record.result.retry_after_ms : 20;
    const uint64_t generation = sidecars_[sidecar].generation;
    events_.after(Duration(1000 * wait_ms + random_.between(0, 1000 * wait_ms)),
                  [this, position, sidecar, generation] {
                    if (sidecars_[sidecar].generation == generation) {
                      submit(position);
                    } else {
                      records_[position].sidecar_lost = true;
                    }
                  });
    return;
  }
  record.finished = true;
  record.ended = events_.now();
}

void FleetSimulation::expect_first_piece(size_t record, sidecar::ExchangeId exchange) {
  if (options_.caller_patience > Duration(0)) {
    events_.after(options_.caller_patience, [this, record, exchange] { lose_patience(record, exchange); });
  }
}

void FleetSimulation::lose_patience(size_t position, sidecar::ExchangeId exchange) {
  CallerRecord& record = records_[position];
  const auto open = record_of_exchange_.find({record.sidecar, exchange});
  if (open == record_of_exchange_.end() || !record.text.empty()) {
    return;
  }
  record_of_exchange_.erase(open);
  if (!options_.callers_leave_silently) {
    sidecars_[record.sidecar].core->on_caller_gone(exchange);
    run_sidecar_actions(record.sidecar);
  }
  if (record.tries++ < kMaxTries) {
    submit(position);
  } else {
    records_[position].gone = true;
  }
}

void FleetSimulation::set_caller_gone(size_t position) {
  CallerRecord& record = records_[position];
  record.gone = true;
  for (auto entry = record_of_exchange_.begin(); entry != record_of_exchange_.end(); ++entry) {
    if (entry->second == position) {
      sidecars_[record.sidecar].core->on_caller_gone(entry->first.second);
      record_of_exchange_.erase(entry);
      break;
    }
  }
  run_sidecar_actions(record.sidecar);
}

void FleetSimulation::crash_sidecar(size_t position) {
  SimulatedSidecar& sidecar = sidecars_[position];
  for (auto entry = record_of_exchange_.begin(); entry != record_of_exchange_.end();) {
    if (entry->first.first == position) {
      records_[entry->second].sidecar_lost = true;
      entry = record_of_exchange_.erase(entry);
    } else {
      ++entry;
    }
  }
  for (auto connection = connections_.begin(); connection != connections_.end();) {
    if (connection->first.first != position) {
      ++connection;
      continue;
    }
    const size_t router = connection->first.second;
    const Connection closed = connection->second;
    connection = connections_.erase(connection);
    deliver_in_order(sidecar.name, routers_[router].name, [this, router, closed] {
      on_router(router, closed.router_generation,
                [this, router, closed] { routers_[router].core->on_sidecar_gone(closed.id, events_.now()); });
    });
  }
  ++sidecar.generation;
  sidecar::SidecarOptions options;
  options.name = sidecar.name;
  options.zone = zones_.at(sidecar.name);
  options.block_tokens = options_.router.block_tokens;
  sidecar.metrics = std::make_unique<Metrics>();
  sidecar.core = std::make_unique<sidecar::SidecarCore>(options, random_.bits(), sidecar.metrics.get());
  // What it kept on disk.
  sidecar.core->on_configuration(control_state_.configuration());
  sidecar.core->on_routers(sidecar.kept_routers);
}

}  // namespace stoat::simulation
