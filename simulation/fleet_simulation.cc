#include "simulation/fleet_simulation.h"

#include <algorithm>
#include <iostream>
#include <stdexcept>

#include "src/common/hash.h"
#include "src/common/zone.h"

namespace stoat::simulation {

namespace {

using tools::PlannedRequest;
using tools::RequestClass;

constexpr Duration kStep = 1ms;
constexpr Duration kCoreTick = 5ms;
constexpr Duration kControlPoll = 200ms;
constexpr Duration kNodeLease = 5s;
constexpr Duration kControlRetry = 200ms;
constexpr Duration kControlDeadline = 3s;
constexpr Duration kFinishDeadline = 30s;
constexpr Duration kEndLimit = 60s;
constexpr char kCaller[] = "operator";
/// Calls go by name here; the configuration wants an address all the same.
constexpr char kAnyEndpoint[] = "127.0.0.1:1";

std::string numbered(const char* prefix, size_t number) {
  return std::string(prefix) + "-" + std::to_string(number);
}

}  // namespace

std::string simulated_zone(size_t position, uint32_t regions) {
  return regions <= 1 ? "region/zone" : numbered("region", position % regions) + "/zone";
}

FleetSimulationOptions faulty_fleet_options(uint64_t seed, const std::string& workload, Duration duration) {
  FleetSimulationOptions options;
  options.seed = seed;
  options.random_faults = true;
  options.engines = 4;
  options.workload.name = workload;
  options.workload.duration = duration;
  options.workload.requests_per_second = 30;
  options.workload.shared_tokens = 600;
  options.workload.middle_tokens = 200;
  options.workload.inner_tokens = 200;
  options.workload.question_tokens = 30;
  options.workload.tenants = 4;
  options.router.block_tokens = 32;
  options.engine.cache_blocks = 300;
  options.engine.feed.gap_probability = 0.01;
  options.engine.max_running = 8;
  return options;
}

FleetSimulation::FleetSimulation(const FleetSimulationOptions& options)
    : options_(options),
      random_(options.seed),
      names_(tools::deployment_names(options.workload)),
      trace_(options.trace_request, std::cerr) {
  options_.workload.seed = options.seed;
  plan_ = tools::make_workload(options_.workload);
  const control::Configuration configuration = first_configuration();
  if (options.kv_store_blocks > 0) {
    zones_[kStoreName] = zone_of(0);
    start_kv_store();
  }
  for (uint32_t position = 0; position < options.engines; ++position) {
    engines_.emplace_back().name = numbered("engine", position);
    zones_[engines_.back().name] = zone_of(engine_zone_position(position));
    start_engine(position);
  }
  for (uint32_t position = 0; position < options.routers; ++position) {
    SimulatedRouter& router = routers_.emplace_back();
    router.name = numbered("router", position);
    zones_[router.name] = zone_of(position);
    router.kept_configuration = configuration;
    start_router(position);
  }
  for (uint32_t position = 0; position < options.sidecars; ++position) {
    sidecars_.emplace_back().name = numbered("sidecar", position);
    zones_[sidecars_.back().name] = zone_of(position);
    crash_sidecar(position);  // starts it
  }
  run_for(1s);  // feeds, digests and leases get going
  started_at_ = events_.now();
}

FleetSimulation::~FleetSimulation() = default;

size_t FleetSimulation::engine_zone_position(size_t position) const {
  return options_.models_in_last_region_only ? options_.regions - 1 : position;
}

bool FleetSimulation::cut_off(const std::string& zone) const {
  return regions_cut_ && region_of(zone) != region_of(zone_of(0));
}

void FleetSimulation::cut_regions() { regions_cut_ = true; }

void FleetSimulation::join_regions() {
  regions_cut_ = false;
  std::vector<std::function<void()>> kept;
  kept.swap(kept_between_regions_);
  for (auto& deliver : kept) {
    deliver();
  }
}

control::Configuration FleetSimulation::first_configuration() {
  control::ChangeConfiguration change;
  change.operator_request_id = "first";
  change.operator_name = kCaller;
  for (const std::string& tenant : names_.tenants) {
    change.items.emplace_back(control::Tenant{tenant, "", {}});
  }
  change.items.emplace_back(control::Model{names_.model, "v1", ""});
  for (uint32_t position = 0; position < options_.engines; ++position) {
    const std::string name = numbered("engine", position);
    change.items.emplace_back(control::Backend{name, control::BackendKind::kEngine, names_.model,
                                               kAnyEndpoint, zone_of(engine_zone_position(position)), false});
  }
  for (uint32_t position = 0; position < options_.plain_backends; ++position) {
    const std::string name = numbered("plain", position);
    change.items.emplace_back(control::Backend{name, control::BackendKind::kPlain, names_.plain_service,
                                               kAnyEndpoint, zone_of(position), false});
  }
  if (options_.kv_store_blocks > 0) {
    change.items.emplace_back(control::Backend{kStoreName, control::BackendKind::kKvStore, names_.model,
                                               kAnyEndpoint, zone_of(0), false});
  }
  change.items.emplace_back(options_.table);
  if (control_state_.apply(change).code != control::ResultCode::kOk) {
    throw std::logic_error("the first configuration was refused");
  }
  return control_state_.configuration();
}

Duration FleetSimulation::delay() {
  return Duration(random_.between(options_.least_delay.count(), options_.most_delay.count()));
}

void FleetSimulation::deliver_in_order(const std::string& from, const std::string& to,
                                       std::function<void()> action) {
  const std::string& from_zone = zones_[from];
  const std::string& to_zone = zones_[to];
  if (cut_off(from_zone) != cut_off(to_zone)) {
    kept_between_regions_.push_back(
        [this, from, to, action = std::move(action)] { deliver_in_order(from, to, action); });
    return;
  }
  const bool between_regions = region_of(from_zone) != region_of(to_zone);
  TimePoint& last = last_delivery_[{from, to}];
  last = std::max(last, events_.now() + delay() + (between_regions ? options_.region_delay : Duration(0)));
  events_.at(last, std::move(action));
}

void FleetSimulation::run_for(Duration span) {
  const TimePoint end = events_.now() + span;
  while (events_.now() < end) {
    step();
  }
}

void FleetSimulation::step() {
  const TimePoint until = events_.now() + kStep;
  while (events_.run_next(until)) {
  }
  send_due_requests();
  advance_engines();
  poll_control();
  if (to_milliseconds(events_.now()) % to_milliseconds(kCoreTick) != 0) {
    return;
  }
  check_silent_calls();
  for (size_t position = 0; position < routers_.size(); ++position) {
    SimulatedRouter& router = routers_[position];
    if (router.core == nullptr || router.frozen) {
      continue;
    }
    router.core->tick(events_.now());
    run_router_actions(position);
    if (router.stopping && router.core->open_requests() == 0) {
      lose_router(position);
    }
  }
  for (size_t position = 0; position < sidecars_.size(); ++position) {
    sidecars_[position].core->tick(events_.now());
    run_sidecar_actions(position);
  }
}

void FleetSimulation::send_due_requests() {
  if (started_at_ == TimePoint(0)) {
    return;
  }
  while (next_planned_ < plan_.size() && started_at_ + plan_[next_planned_].at <= events_.now()) {
    send(plan_[next_planned_], next_planned_ % sidecars_.size());
    records_.back().intended = started_at_ + plan_[next_planned_].at;
    ++next_planned_;
  }
}

size_t FleetSimulation::send(const PlannedRequest& request, size_t sidecar) {
  CallerRecord record;
  record.planned = request;
  record.sidecar = sidecar;
  record.intended = events_.now();
  records_.push_back(std::move(record));
  submit(records_.size() - 1);
  return records_.size() - 1;
}

void FleetSimulation::submit(size_t position) {
  CallerRecord& record = records_[position];
  const PlannedRequest& planned = record.planned;
  sidecar::CallerRequest caller;
  caller.kind = planned.request_class == RequestClass::kPlainWork ? wire::RequestKind::kPlain
                                                                  : wire::RequestKind::kCompletion;
  caller.tenant = planned.tenant;
  caller.serves = planned.serves;
  caller.prompt = planned.prompt;
  caller.method = "POST";
  caller.path = "/work";
  caller.max_tokens = planned.max_tokens;
  caller.repeatable = planned.repeatable;
  caller.idempotency_key = planned.idempotency_key;
  const sidecar::ExchangeId exchange = ++last_exchange_;
  record_of_exchange_[{record.sidecar, exchange}] = position;
  record.text.clear();
  expect_first_piece(position, exchange);
  const uint64_t request_id = sidecars_[record.sidecar].core->on_caller(exchange, caller, events_.now());
  records_[position].request_id = request_id;
  record_of_request_[request_id] = position;
  run_sidecar_actions(records_[position].sidecar);
}

bool FleetSimulation::run_until_ended(size_t record, Duration limit) {
  const TimePoint end = events_.now() + limit;
  while (!records_[record].finished && events_.now() < end) {
    step();
  }
  return records_[record].finished;
}

FleetReport FleetSimulation::run() {
  const TimePoint end = started_at_ + options_.workload.duration;
  next_fault_ = started_at_ + 1s;
  while (events_.now() < end && checks_.violations().empty()) {
    if (options_.random_faults && events_.now() >= next_fault_) {
      next_fault_ = events_.now() + Duration(random_.between(100000, 2000000));
      random_fault();
    }
    step();
  }
  heal_everything();
  return finish();
}

FleetReport FleetSimulation::finish() {
  const TimePoint limit = events_.now() + kEndLimit;
  const auto all_ended = [&] {
    return std::all_of(records_.begin(), records_.end(), [](const CallerRecord& record) {
      return record.finished || record.gone || record.sidecar_lost;
    });
  };
  while (events_.now() < limit && checks_.violations().empty() && !all_ended()) {
    step();
  }
  if (checks_.violations().empty()) {
    run_for(1s);  // late answers
  }
  return checks_.report(events_.now(), records_);
}

// Control.

std::vector<wire::Node> FleetSimulation::live_routers() const {
  std::vector<wire::Node> nodes;
  for (const SimulatedRouter& router : routers_) {
    if (router.seen_by_control != TimePoint(0) && events_.now() - router.seen_by_control <= kNodeLease) {
      nodes.push_back(
          {router.name, "router", router.name, zones_.at(router.name), router.start_id, 0, router.stopping});
    }
  }
  return nodes;
}

void FleetSimulation::poll_control() {
  const std::vector<std::string> leaving(leaving_.begin(), leaving_.end());
  for (size_t position = 0; position < routers_.size(); ++position) {
    SimulatedRouter& router = routers_[position];
    const bool polls = router.core != nullptr && !router.frozen && events_.now() >= router.next_poll;
    if (!polls || !control_reachable(zones_.at(router.name))) {
      continue;
    }
    router.next_poll = events_.now() + kControlPoll;
    router.seen_by_control = events_.now();
    if (router.kept_configuration.version != control_state_.configuration().version) {
      router.kept_configuration = control_state_.configuration();
      router.core->on_configuration(router.kept_configuration, events_.now());
    }
    router.core->on_routers(live_routers(), events_.now());
    router.core->on_leaving(leaving);
    run_router_actions(position);
  }
  for (size_t position = 0; position < sidecars_.size(); ++position) {
    SimulatedSidecar& sidecar = sidecars_[position];
    if (events_.now() >= sidecar.next_poll && control_reachable(zones_.at(sidecar.name))) {
      sidecar.next_poll = events_.now() + kControlPoll;
      sidecar.kept_routers = live_routers();
      sidecar.core->on_configuration(control_state_.configuration());
      sidecar.core->on_routers(sidecar.kept_routers);
      run_sidecar_actions(position);
    }
  }
}

void FleetSimulation::perform(size_t router, router::CallControl& action) {
  const bool finishes = std::holds_alternative<control::FinishClaim>(action.command.value);
  call_control(router, routers_[router].generation, action,
               events_.now() + (finishes ? kFinishDeadline : kControlDeadline));
}

void FleetSimulation::call_control(size_t router, uint64_t generation, const router::CallControl& action,
                                   TimePoint deadline) {
  const Duration commit_time(random_.between(1500, 5000));
  events_.after(commit_time, [this, router, generation, action, deadline] {
    if (routers_[router].generation != generation) {
      return;  // its process is gone, and with it the resends
    }
    if (!control_reachable(zones_.at(routers_[router].name))) {
      if (events_.now() >= deadline) {
        on_router(router, generation, [this, router, action] {
          routers_[router].core->on_control_answer(action.call_id, std::nullopt, events_.now());
        });
        return;
      }
      events_.after(kControlRetry, [this, router, generation, action, deadline] {
        call_control(router, generation, action, deadline);
      });
      return;
    }
    control::Command command = action.command;
    if (auto* claim = std::get_if<control::ClaimKey>(&command.value)) {
      claim->at_ms = to_milliseconds(events_.now());
    }
    const control::CommandResult result = control_state_.apply(command);
    trace_.command(events_.now(), routers_[router].name, command, result);
    if (control_answers_to_lose_ > 0) {
      --control_answers_to_lose_;
      events_.after(1s, [this, router, generation, action, deadline] {
        call_control(router, generation, action, deadline);
      });
      return;
    }
    on_router(router, generation, [this, router, action, result] {
      routers_[router].core->on_control_answer(action.call_id, result, events_.now());
    });
  });
}

void FleetSimulation::set_table(const control::PolicyTable& table) {
  control::ChangeConfiguration change;
  change.operator_request_id = "table-" + std::to_string(++last_change_);
  change.base_version = control_state_.configuration().version;
  change.items.emplace_back(table);
  control_state_.apply(change);
}

void FleetSimulation::order_weights(const std::string& version) {
  // As an operator does: engines are ordered one after another, then the model's version changes.
  const uint64_t fence = ++weights_number_;
  for (size_t position = 0; position < engines_.size(); ++position) {
    events_.after(Duration(300000) * static_cast<int64_t>(position), [this, position, fence, version] {
      on_engine(
          position,
          [this, position, fence, version] {
            engines_[position].model->order_load(fence, version, events_.now());
          },
          [] {});
    });
  }
  const Duration half = Duration(150000) * static_cast<int64_t>(engines_.size());
  events_.after(half, [this, version] {
    control::ChangeConfiguration change;
    change.operator_request_id = "weights-" + std::to_string(++last_change_);
    change.base_version = control_state_.configuration().version;
    change.items.emplace_back(control::Model{names_.model, version, ""});
    control_state_.apply(change);
    options_.engine.weights_version = version;
  });
}

}  // namespace stoat::simulation
