/// The whole request path in a deterministic simulation: real sidecar and router cores, stand-in engines,
/// plain back ends, a control state machine, faults placed by hand or drawn from a seed, and checks against
/// the ledgers.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "simulation/event_queue.h"
#include "simulation/fleet_checks.h"
#include "simulation/request_trace.h"
#include "src/control/state_machine.h"
#include "src/router/router_core.h"
#include "src/sidecar/sidecar_core.h"
#include "standins/engine_model.h"
#include "standins/kv_store_model.h"
#include "tools/workload.h"

namespace stoat::simulation {

/// The name of the one store of kept blocks.
inline constexpr char kStoreName[] = "kv-store";

/// The zone of a process by its position among those of its kind: they are dealt out to the regions in turn.
std::string simulated_zone(size_t position, uint32_t regions);

/// Size, settings and faults of a run.
struct FleetSimulationOptions {
  uint64_t seed = 1;
  uint32_t routers = 3;
  uint32_t sidecars = 2;
  uint32_t engines = 6;
  uint32_t plain_backends = 2;
  uint32_t regions = 1;
  size_t kv_store_blocks = 0;               ///< capacity of the store of kept blocks; 0: there is none
  bool models_in_last_region_only = false;  ///< the last region alone has engines
  tools::WorkloadSettings workload;
  router::RouterOptions router;
  standins::EngineSettings engine;
  Duration least_delay{700us};  ///< one way between any two processes
  Duration most_delay{1600us};
  Duration region_delay{10ms};  ///< added one way between regions
  bool random_faults = false;
  uint64_t trace_request = 0;           ///< id of a request whose way is printed to standard error; 0: none
  bool callers_retry = false;           ///< a refused caller asks again
  bool retries_heed_advice = true;      ///< it waits as long as Retry-After says
  Duration caller_patience{0};          ///< without a first piece for so long, a caller asks anew; 0: waits
  bool callers_leave_silently = false;  ///< the sidecar does not notice that they left
  control::PolicyTable table;
};

/// A small fleet with short prompts and random faults, for runs over many seeds.
FleetSimulationOptions faulty_fleet_options(uint64_t seed, const std::string& workload, Duration duration);

/// See the head of this file.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetSimulationOptions& options);
  ~FleetSimulation();
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  /// Sends the whole workload, waits until every request has ended, and checks everything.
  FleetReport run();
  /// Sends the workload's requests that are due and runs for a span.
  void run_for(Duration span);
  /// Sends one request now; its record's position in records().
  size_t send(const tools::PlannedRequest& request, size_t sidecar = 0);
  /// Runs until a request has ended; false after the limit.
  bool run_until_ended(size_t record, Duration limit = Duration(20s));
  /// Waits for all open requests, then checks.
  FleetReport finish();

  void crash_router(size_t position);
  void start_router(size_t position);
  void freeze_router(size_t position);
  void thaw_router(size_t position);
  /// Planned stop: drains, and goes once it has nothing open.
  void stop_router(size_t position);
  bool router_runs(size_t position) const;
  void crash_engine(size_t position);
  void start_engine(size_t position);
  void freeze_engine(size_t position);
  void thaw_engine(size_t position);
  void crash_sidecar(size_t position);
  /// The store loses all it has; down until started again.
  void crash_kv_store() { kv_store_.reset(); }
  void start_kv_store();
  bool kv_store_runs() const { return kv_store_ != nullptr; }
  void leave_engine_by_platform(size_t position);
  void order_weights(const std::string& version);
  void set_control_available(bool available) { control_available_ = available; }
  /// The first region, with control, and all others lose each other: what is sent between them waits.
  void cut_regions();
  /// Delivers what waited.
  void join_regions();
  void lose_next_control_answers(uint32_t count) { control_answers_to_lose_ = count; }
  void set_caller_gone(size_t record);
  void set_table(const control::PolicyTable& table);

  const std::vector<CallerRecord>& records() const { return records_; }
  size_t router_count() const { return routers_.size(); }
  size_t engine_count() const { return engines_.size(); }
  router::RouterCore& router(size_t position) { return *routers_.at(position).core; }
  standins::EngineModel& engine(size_t position) { return *engines_.at(position).model; }
  /// The engine or router that a running request is on; -1 when unknown.
  int engine_of(size_t record) const;
  int router_of(size_t record) const;
  TimePoint now() const { return events_.now(); }
  /// Requests that a router sent to an engine of another region.
  size_t cross_region_dispatches() const { return cross_region_dispatches_; }
  FleetChecks& checks() { return checks_; }
  const control::StateMachine& control_state() const { return control_state_; }

 private:
  struct SimulatedRouter {
    std::string name;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<router::RouterCore> core;
    uint64_t generation = 0;  ///< counts starts
    bool frozen = false;
    bool stopping = false;
    std::vector<std::function<void()>> kept;  ///< what arrived while frozen
    control::Configuration kept_configuration;
    TimePoint seen_by_control{0};
    TimePoint next_poll{0};
    uint64_t start_id = 0;
  };
  struct SimulatedSidecar {
    std::string name;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<sidecar::SidecarCore> core;
    uint64_t generation = 0;
    TimePoint next_poll{0};
    std::vector<wire::Node> kept_routers;
  };
  struct SimulatedEngine {
    std::string name;
    std::unique_ptr<standins::EngineModel> model;
    bool frozen = false;
    uint64_t starts = 0;
    std::vector<std::function<void()>> kept;  ///< what arrived while frozen
    std::vector<size_t> unstarted_lines;      ///< of the ledger
    std::map<std::pair<uint64_t, uint32_t>, std::pair<size_t, router::CallId>>
        readers;  ///< stream to router, call
  };
  /// A router's call to a back end.
  struct BackendCall {
    router::StartCall call;
    uint64_t generation = 0;
    TimePoint last_byte{0};
    int engine = -1;
  };
  /// A connection between a sidecar and a router.
  struct Connection {
    router::SidecarId id = 0;
    uint64_t router_generation = 0;
  };

  control::Configuration first_configuration();
  std::vector<wire::Node> live_routers() const;
  void step();
  void send_due_requests();
  void poll_control();
  void advance_engines();
  void check_silent_calls();
  Duration delay();
  void deliver_in_order(const std::string& from, const std::string& to, std::function<void()> action);
  std::string zone_of(size_t position) const { return simulated_zone(position, options_.regions); }
  size_t engine_zone_position(size_t position) const;
  bool cut_off(const std::string& zone) const;
  bool control_reachable(const std::string& zone) const { return control_available_ && !cut_off(zone); }

  void run_sidecar_actions(size_t position);
  void perform(size_t sidecar, sidecar::SendToRouter& action);
  void perform(size_t sidecar, sidecar::DropRouter& action);
  void perform(size_t sidecar, sidecar::PieceToCaller& action);
  void perform(size_t sidecar, sidecar::EndToCaller& action);
  bool retries(const CallerRecord& record) const;
  void expect_first_piece(size_t record, sidecar::ExchangeId exchange);
  void lose_patience(size_t record, sidecar::ExchangeId exchange);
  void submit(size_t record);

  /// Runs an input on a router, now or when it thaws; dropped when that start of it is gone.
  void on_router(size_t position, uint64_t generation, std::function<void()> input);
  void run_router_actions(size_t position);
  void perform(size_t router, router::SendToSidecar& action);
  void perform(size_t router, router::SendToRouter& action);
  void perform(size_t router, router::CallControl& action);
  void perform(size_t router, router::StartCall& action);
  void perform(size_t router, router::StopCall& action);
  void perform(size_t router, router::PollFeed& action);
  void perform(size_t router, router::FetchSnapshot& action);
  /// Proposes to the control state until an answer comes back or the deadline passes.
  void call_control(size_t router, uint64_t generation, const router::CallControl& action,
                    TimePoint deadline);
  /// Runs an input on an engine, now or when it thaws; `if_dead` when that start of it is gone.
  void on_engine(size_t position, std::function<void()> input, std::function<void()> if_dead);
  void start_engine_call(size_t router, const router::StartCall& call);
  void submit_to_engine(size_t router, size_t engine, const router::StartCall& call);
  void resume_at_engine(size_t router, size_t engine, const router::StartCall& call);
  using FeedOwnerAnswer = std::function<void(const standins::EngineCache&, const wire::EngineLoad&)>;
  /// Asks an engine or the store for what it holds; `fail` when it is gone.
  void ask_feed_owner(const std::string& backend, const FeedOwnerAnswer& answer,
                      const std::function<void()>& fail);
  wire::EngineLoad engine_load(const standins::EngineModel& model) const;
  void import_from_store(standins::EngineRequest& request) const;
  void export_to_store(standins::EngineModel& model);
  void start_plain_call(size_t router, const router::StartCall& call);
  void end_call(size_t router, router::CallId call_id, const router::CallResult& result);
  void deliver_output(size_t engine, const standins::EngineOutput& output);
  void check_engine_ledger(size_t engine);
  int engine_position(const std::string& name) const;
  void lose_router(size_t position);
  void break_engine_calls(size_t engine);
  void random_fault();
  void heal_everything();

  FleetSimulationOptions options_;
  Random random_;
  EventQueue events_;
  tools::DeploymentNames names_;
  control::StateMachine control_state_;
  uint64_t last_change_ = 0;
  bool control_available_ = true;
  uint32_t control_answers_to_lose_ = 0;
  std::set<std::string> leaving_;
  std::map<std::string, std::string> zones_;  ///< of all processes, by name
  bool regions_cut_ = false;
  std::vector<std::function<void()>> kept_between_regions_;
  size_t cross_region_dispatches_ = 0;
  std::vector<tools::PlannedRequest> plan_;
  size_t next_planned_ = 0;
  TimePoint started_at_{0};
  std::vector<SimulatedRouter> routers_;
  std::vector<SimulatedSidecar> sidecars_;
  std::vector<SimulatedEngine> engines_;
  std::unique_ptr<standins::KvStoreModel> kv_store_;
  std::vector<CallerRecord> records_;
  std::map<uint64_t, size_t> record_of_request_;
  std::map<std::pair<size_t, sidecar::ExchangeId>, size_t> record_of_exchange_;
  sidecar::ExchangeId last_exchange_ = 0;
  std::map<uint64_t, uint64_t> seed_of_request_;
  std::map<std::pair<size_t, router::CallId>, BackendCall> calls_;
  std::map<std::pair<size_t, size_t>, Connection> connections_;  ///< by sidecar and router
  router::SidecarId last_connection_ = 0;
  std::map<std::pair<std::string, std::string>, TimePoint> last_delivery_;
  TimePoint next_fault_{0};
  uint64_t weights_number_ = 1;
  FleetChecks checks_;
  RequestTrace trace_;
};

}  // namespace stoat::simulation
