/// A control member for fleets that keep themselves: the replicated log with self-healing membership, the
/// registry of back ends, the routers that follow it, and the rollout of weights. The calls of operators,
/// back ends and callers come in through its public methods; their form on the wire is the caller's.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/admission/permit_issuer.h"
#include "src/common/log.h"
#include "src/common/metrics.h"
#include "src/common/settings.h"
#include "src/control/cache_event_poller.h"
#include "src/control/control_core.h"
#include "src/control/durable_driver.h"
#include "src/control/engine_interface.h"
#include "src/control/fleet_soft_state.h"
#include "src/control/forwarded_calls.h"
#include "src/control/leader_confirmation_tracker.h"
#include "src/control/peer_flow_control.h"
#include "src/control/router_link.h"
#include "src/control/weight_rollout.h"
#include "src/http/event_loop.h"
#include "src/rollout/answer_aggregator.h"
#include "src/rollout/rollout_planner.h"
#include "src/rollout/router_confirmations.h"
#include "src/storage/replica_store.h"
#include "src/topology/topology.h"
#include "src/wire/channel.h"

namespace stoat::control {

/// Settings of a fleet control member.
struct FleetControlSettings {
  std::string name;
  std::string zone;
  std::string region;
  topology::Topology topology;  ///< of the zones that the settings list
  Endpoint internal;            ///< of the protocol between the system's own processes
  std::vector<Endpoint> seeds;  ///< internal endpoints of members to ask at the start
  std::string data_folder;
  bool first_start = false;  ///< the fleet starts for the first time: the first seed founds it
  ControlOptions core;
  RolloutOptions rollout;
  rollout::PlannerOptions service_rollout;
  rollout::JudgeOptions judge;
  fleet::RegistryOptions registry;
  admission::QuotaTolerance quotas;
  Duration holder_lease = 3s;  ///< how long a former holder's orders keep a new one waiting
};

/// What a member knows of an order besides what the log has.
struct RolloutProgress {
  TimePoint ordered_at{0};
  TimePoint step_at{0};
  TimePoint others_seen{0};  ///< when a back end of another version was last there
  rollout::VersionJudge judge;
  rollout::AnswerTable judged;  ///< the sums that the judge has taken
  bool proposed = false;        ///< a step is on its way
  TimePoint proposed_at{0};
};

/// Reads the settings of a fleet control member.
FleetControlSettings read_fleet_control_settings(SettingsReader& reader);

/// What a back end is told when a member has taken its heartbeat.
enum class HeartbeatAdvice : uint8_t {
  kNone,
  kStay,  ///< this member is the nearest: let later heartbeats come here
  kMove,  ///< this member is cut off from the leader: tell another one
};

/// See the head of this file.
class FleetServer {
 public:
  /// Throws std::runtime_error when the disk's state is damaged or an address can't be bound.
  FleetServer(EventLoop& loop, FleetControlSettings settings, EngineInterface& orders);
  ~FleetServer();
  FleetServer(const FleetServer&) = delete;
  FleetServer& operator=(const FleetServer&) = delete;

  /// Called with true once a command is durable and applied; with false when that is not known.
  using Committed = std::function<void(bool)>;
  /// Proposes a command, at the leader wherever it is.
  void commit(Command command, Committed on_done);
  /// Gives the operator's document of the newest configuration; nullopt when this can't be confirmed.
  void read_configuration(std::function<void(std::optional<std::string>)> on_read);
  /// How an order ended; nullopt when that is not known.
  using OrderTaken = std::function<void(const std::optional<CommandResult>&)>;
  /// Orders the move of a service to another version.
  void order_rollout(fleet::StartServiceRollout order, OrderTaken on_taken);
  /// A service's last rollout, if there is one; nullopt when it can't be confirmed.
  using RolloutRead = std::function<void(const std::optional<std::vector<fleet::ServiceRollout>>&)>;
  void read_rollout(const std::string& service, RolloutRead on_read);
  /// True when the newest configuration that this member has names a service with back ends.
  bool has_service(const std::string& name) const;
  /// True when a heartbeat can't be of the back end that it names, or names no service while another back end
  /// is at its address.
  bool contradicts(const fleet::BackendRecord& record) const;
  /// The id of the newest incarnation of a back end that is known, else its name.
  std::string incarnation_of(const std::string& name) const;
  /// Takes a heartbeat; what it tells goes to the other members and to the routers soon after.
  HeartbeatAdvice heartbeat(const fleet::BackendRecord& record);
  /// True when a back end is known to be retired at least as far as `state`.
  bool retired(const std::string& id, fleet::BackendState state) const;
  /// Up to `limit` routers that are ready, for callers in a zone.
  std::vector<fleet::RouterRecord> routers_for(const std::string& zone, size_t limit);
  /// Re-reads what may change while the process runs: the seeds.
  void set_seeds(std::vector<Endpoint> seeds) { settings_.seeds = std::move(seeds); }
  /// Stops in an orderly way: hands leadership over, then ends the loop.
  void stop();
  const Metrics& metrics() const { return metrics_; }
  /// Voters of the member list that this member has.
  size_t voter_count() const;
  bool leads() const { return core_->replica().leads(); }
  /// Version of the configuration that this member has applied.
  uint64_t configuration_version() const;
  /// What this member knows of the running fleet.
  const FleetKnowledge& knowledge() const { return knowledge_; }

 private:
  /// How a call ended. `done`: durable and applied, or confirmed; else nothing is known.
  struct CallOutcome {
    bool done = false;
    CommandResult result = {};
    std::string source = {};
    std::vector<fleet::ServiceRollout> rollout = {};
  };
  struct Waiting {
    std::function<void(const CallOutcome&)> on_end;
    std::string rollout_of = {};  ///< service whose rollout is read
    TimePoint expires{0};
  };
  using ChannelPtr = std::shared_ptr<wire::Channel>;

  // fleet_server.cc: the replicated log and its peers
  consensus::RestoredState restore();
  void start_core(const consensus::RestoredState& restored);
  void found();
  void on_message(const ChannelPtr& channel, wire::Message message);
  void on_join(const ChannelPtr& channel, const wire::JoinRequest& request);
  void send_to_peer(const consensus::Message& message);
  /// A connection for what must not wait: the log, and questions to the leader.
  ChannelPtr channel_to(const std::string& address);
  /// Another one for all else, so that it does not stand in the way of the first.
  ChannelPtr bulk_channel_to(const std::string& address);
  ChannelPtr open_channel(std::map<std::string, ChannelPtr>& channels, const std::string& address);
  ChannelPtr leader_channel();
  void tick();
  void ask_to_join();

  // fleet_calls.cc: commands and confirmed reads
  void on_control_call(const ChannelPtr& channel, wire::ControlCall call);
  void on_confirmed_read(const ChannelPtr& channel, const fleet::ConfirmedRead& read);
  bool accepts(const Command& command) const;
  uint64_t add_waiting(Waiting waiting);
  /// Has the leader carry out a call, now or as soon as there is one.
  void forward(uint64_t token, wire::Message message);
  void send_forwarded();
  /// At the leader: puts a command into the log.
  void take_command(uint64_t token, Command command);
  void propose(Command command, std::function<void(const CallOutcome&)> on_end);
  void read(const std::string& rollout_of, std::function<void(const CallOutcome&)> on_end);
  void deliver_answers();
  void finish(uint64_t token, const CallOutcome& outcome);
  void expire_calls();

  // fleet_nodes.cc: routers
  void on_router_status(const ChannelPtr& channel, const fleet::RouterStatus& status);
  void on_router_loads(const ChannelPtr& channel, const fleet::RouterLoads& loads);
  void on_router_closed(const ChannelPtr& channel);
  void drop_silent_routers();
  fleet::FleetUpdate make_update(const RouterLink& link) const;
  bool needs_configuration(const RouterLink& link, bool prompted) const;
  void answer_router(RouterLink& link);
  void push_to_routers();
  void feed_routers();
  void feed_router(RouterLink& link, std::map<FeedCursor, FeedFrame>& frames);
  void notice_changes();
  void notice_named_weights();
  void note_backends();
  void note_members();
  void keep_knowledge();
  int64_t confirmed_age_ms() const;
  std::optional<LeaderConfirmation> confirmation() const;

  // fleet_permits.cc: limits of back ends for all routers together
  void on_permit_question(const ChannelPtr& channel, const fleet::PermitRequest& question);
  bool may_grant_permits() const;
  void keep_permits();

  // fleet_peers.cc: what members tell one another besides the log
  void exchange_with_peers();
  std::vector<std::string> other_members() const;
  void send_to_members(const wire::Frame& frame);
  void send_wholes(uint64_t term, bool leads);
  /// Counts what goes to another member as sent to its zone.
  void measure_peer(const std::string& address, const std::string& zone);
  void log_traffic();
  void on_peer_news(const fleet::PeerUpdate& news);
  void on_confirmation_question(const ChannelPtr& channel, const fleet::ConfirmationRequest& question);
  void on_confirmation_answer(const fleet::ConfirmationResponse& answer);
  void ask_for_confirmation();
  void note_confirmation();
  void choose_caches();
  void follow_caches();

  // fleet_service_rollout.cc: services that are moved to another version of their program
  void stamp(fleet::StartServiceRollout& order) const;
  std::vector<fleet::ServiceRollout> rollout_of(const std::string& service) const;
  /// Requests that were sent under an order, as far as this member knows.
  struct SentRequests {
    uint64_t target = 0;
    uint64_t all = 0;
  };
  SentRequests sent_under(uint64_t rollout) const;
  void note_rollouts();
  void log_step(const fleet::ServiceRollout& rollout);
  void note_applied(const std::string& router, const std::vector<fleet::AppliedRollout>& applied);
  void adopt_ages(const fleet::PeerUpdate& news);
  void drive_rollouts();
  void judge_answers();
  void step_rollout(const fleet::ServiceRollout& rollout);
  rollout::RolloutView view_of(const fleet::ServiceRollout& rollout);
  /// From an order to now, by the wall clocks: all that is left after a restart.
  static Duration age_at_start(const fleet::ServiceRollout& rollout);

  // fleet_rollout.cc: new weights
  void roll_out_weights();
  void take_step(const RolloutStep& step);
  void send_order(const RolloutStep& step);
  void check_engine(const RolloutStep& step);
  bool may_order() const;

  EventLoop& loop_;
  FleetControlSettings settings_;
  EngineInterface& orders_;
  Logger log_{"control"};
  Metrics metrics_;
  std::shared_ptr<wire::TrafficMeter> traffic_ = std::make_shared<wire::TrafficMeter>();
  storage::DiskFileSystem files_;
  storage::ReplicaStore store_;
  storage::DiskIdentity identity_;
  std::unique_ptr<ControlCore> core_;
  std::unique_ptr<DurableDriver> driver_;
  std::unique_ptr<wire::ChannelServer> channels_;
  std::map<std::string, ChannelPtr> peers_;       ///< by internal address
  std::map<std::string, ChannelPtr> bulk_peers_;  ///< likewise
  std::set<std::string> join_addresses_;          ///< whom else to ask to be taken in
  std::map<uint64_t, Waiting> waiting_;
  ForwardedCalls forwarded_;
  uint64_t last_token_ = 0;
  bool delivering_ = false;
  bool stopping_ = false;

  FleetKnowledge knowledge_;
  PeerFlowControl peer_feeds_;
  std::map<std::string, RouterLink> routers_;                   ///< by name
  size_t ready_count_ = 0;                                      ///< routers that are ready, as last counted
  uint64_t noted_backends_ = 0;                                 ///< revision of the registry as last logged
  std::map<std::string, fleet::BackendRecord> noted_registry_;  ///< as last logged, like the next two
  uint64_t noted_configuration_ = 0;
  std::string noted_members_;
  uint64_t noticed_revision_ = 0;
  fleet::RevisionTable<std::string, fleet::BackendState> retired_;  ///< as the log has it
  fleet::TargetWeights named_;
  uint64_t named_revision_ = 0;         ///< counts changes of `named_`
  uint64_t members_revision_ = 0;       ///< counts changes of the member list
  TimePoint configuration_applied_{0};  ///< when this member applied the newest configuration

  LeaderConfirmationTracker questions_;
  TimePoint next_question_{0};
  TimePoint next_exchange_{0};  ///< when the other members are to hear of this one, changes or not
  CacheEventPoller watch_;
  WeightRollout rollout_;
  admission::PermitIssuer permits_;               ///< counts while this member leads
  std::map<uint64_t, RolloutProgress> progress_;  ///< by id of orders that are not final
  rollout::RouterConfirmations confirmations_;
  std::map<uint64_t, uint64_t> noted_steps_;  ///< by id of the order: the newest step that was seen
  uint64_t rollouts_revision_ = 0;            ///< counts changes of orders and their steps
  bool led_ = false;
  bool was_confirmed_ = false;               ///< routers were told that a leader is confirmed
  std::optional<TimePoint> last_confirmed_;  ///< when a quorum last confirmed a leader, as far as is known
  TimePoint leader_since_{0};
};

}  // namespace stoat::control
