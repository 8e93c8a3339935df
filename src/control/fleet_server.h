/// A member of the replicated control plane: it runs the replicated log with self-healing membership, tracks
/// backends and routers, and drives the rollouts of model weights and of services. Requests from operators,
/// backends and clients arrive through its public methods; the caller defines their wire format.
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
#include "src/admission/slot_issuer.h"
#include "src/common/log.h"
#include "src/common/metrics.h"
#include "src/common/settings.h"
#include "src/control/cache_event_poller.h"
#include "src/control/configuration_publisher.h"
#include "src/control/control_core.h"
#include "src/control/durable_driver.h"
#include "src/control/engine_interface.h"
#include "src/control/fleet_soft_state.h"
#include "src/control/forwarded_calls.h"
#include "src/control/incarnation_lookup.h"
#include "src/control/leader_confirmation_tracker.h"
#include "src/control/member_work.h"
#include "src/control/peer_flow_control.h"
#include "src/control/router_link.h"
#include "src/control/soft_state_writer.h"
#include "src/control/weight_rollout.h"
#include "src/events/fleet_events.h"
#include "src/fleet/software_history.h"
#include "src/http/event_loop.h"
#include "src/rollout/answer_aggregator.h"
#include "src/rollout/rollout_planner.h"
#include "src/rollout/router_confirmations.h"
#include "src/storage/replica_store.h"
#include "src/streams/stream_record_table.h"
#include "src/topology/topology.h"
#include "src/wire/channel.h"
#include "src/wire/unreadable_messages.h"

namespace stoat::control {

/// Settings of a fleet control member.
struct FleetControlSettings {
  std::string name;
  std::string zone;
  std::string region;
  topology::Topology topology;  ///< of the zones listed in the settings
  Endpoint internal;            ///< listens for the protocol between routers and control members
  std::vector<Endpoint> seeds;  ///< internal endpoints of members to contact at startup
  std::string data_folder;
  bool first_start = false;  ///< the fleet is new: the member at the first seed endpoint bootstraps it
  ControlOptions core;
  RolloutOptions rollout;
  rollout::PlannerOptions service_rollout;
  rollout::JudgeOptions judge;
  fleet::RegistryOptions registry;
  admission::QuotaTolerance quotas;
  /// How long a new leader waits before it sends weight orders, because a former leader may still send some.
  Duration holder_lease = 3s;
};

/// Local state of a service rollout that is not in the replicated log.
struct RolloutProgress {
  TimePoint ordered_at{0};
  TimePoint step_started_at{0};
  TimePoint others_seen_at{0};  ///< when the registry last contained a serving backend of another version
  rollout::VersionJudge judge;
  rollout::AnswerTable judged_sums;  ///< answer sums already passed to `judge`
  bool step_proposed = false;        ///< a step was proposed and has not been seen to commit
  TimePoint step_proposed_at{0};
};

/// Reads the settings of a control member. Invalid values are reported as findings of `reader`.
FleetControlSettings read_fleet_control_settings(SettingsReader& reader);

/// Where a backend should send its later heartbeats; part of the reply to each heartbeat.
enum class HeartbeatAdvice : uint8_t {
  kNone,      ///< no preference
  kStayHere,  ///< to this member: it is the nearest
  kMoveAway,  ///< to another member: this one is cut off from the leader
};

/// One control-plane member, with its replicated log, its registry of backends and routers, and its rollouts.
class FleetServer {
 public:
  /// Throws std::runtime_error if the state on disk is damaged or cannot be written, or if the internal
  /// endpoint cannot be bound.
  FleetServer(EventLoop& loop, FleetControlSettings settings, EngineInterface& orders);
  ~FleetServer();
  FleetServer(const FleetServer&) = delete;
  FleetServer& operator=(const FleetServer&) = delete;

  /// Called with true once a command is durable and applied; with false if that cannot be confirmed.
  using CommitCallback = std::function<void(bool)>;
  /// Proposes a command; forwards it if another member is the leader.
  void commit(Command command, CommitCallback on_done);
  /// Reads the newest configuration as the operator's original document; nullopt if no leader can confirm it
  /// or there is no configuration yet.
  void read_configuration(std::function<void(std::optional<std::string>)> on_read);
  /// Result of a rollout order; nullopt if the outcome is unknown.
  using RolloutOrderCallback = std::function<void(const std::optional<CommandResult>&)>;
  /// Starts a rollout of a service to another version.
  void order_rollout(fleet::StartServiceRollout order, RolloutOrderCallback on_result);
  /// The last rollout of a service, or an empty list if there never was one; nullopt if no leader can confirm
  /// it.
  using RolloutReadCallback = std::function<void(const std::optional<std::vector<fleet::ServiceRollout>>&)>;
  void read_rollout(const std::string& service, RolloutReadCallback on_read);
  /// True if the configuration this member has applied contains a service of this name that has backends.
  bool has_service(const std::string& name) const;
  /// True if a heartbeat contradicts what is known of the backend it names, or if it comes from a new backend
  /// whose service is not configured and whose address another backend uses.
  bool conflicts_with_registry(const fleet::BackendRecord& record) const;
  /// How a retirement of a backend that was named without its start time has ended.
  enum class RetireOutcome : uint8_t {
    kRetired,         ///< durable; binds all routers
    kUnknownBackend,  ///< no process knows a backend of this name
    kUnavailable,     ///< not known to be durable, or the running incarnation could not be found out
  };
  using RetireCallback = std::function<void(RetireOutcome)>;
  /// Retires the running incarnation of a backend as gone. `name`: self-chosen name, or an incarnation's id.
  void retire_by_name(const std::string& name, RetireCallback on_end);
  /// Records a heartbeat. Changes are sent to the other members and to routers at the next feed interval.
  HeartbeatAdvice receive_heartbeat(const fleet::BackendRecord& record);
  /// True if the log records that a backend has reached `state` or a later state of retirement.
  bool is_retired(const std::string& id, fleet::BackendState state) const;
  /// Up to `limit` ready routers for clients in `zone`.
  std::vector<fleet::RouterRecord> ready_routers(const std::string& zone, size_t limit);
  /// Replaces the seeds, the only setting that may change while the process runs.
  void set_seeds(std::vector<Endpoint> seeds) { settings_.seeds = std::move(seeds); }
  /// Shuts down gracefully: hands leadership over, then stops the event loop.
  void stop();
  const Metrics& metrics() const { return metrics_; }
  TimePoint now() const { return loop_.now(); }
  /// Number of voters in this member's copy of the member list.
  size_t voter_count() const;
  bool leads() const { return core_->replica().leads(); }
  /// Version of the configuration that this member has applied; 0 if there is none yet.
  uint64_t configuration_version() const;
  const FleetSoftState& soft_state() const { return soft_state_; }

 private:
  /// Outcome of a call. `done`: the command is durable and applied, or the read is confirmed; if false, the
  /// outcome is unknown.
  struct CallOutcome {
    bool done = false;
    CommandResult result = {};
    std::string source = {};
    std::vector<fleet::ServiceRollout> rollout = {};
  };
  struct PendingCall {
    std::function<void(const CallOutcome&)> on_end;
    std::string rollout_service = {};  ///< service whose rollout is to be read; empty: the configuration
    TimePoint expires{0};
  };
  using ChannelPtr = std::shared_ptr<wire::Channel>;

  // fleet_server.cc: the replicated log and connections to other members
  consensus::RestoredState restore();
  void start_core(const consensus::RestoredState& restored);
  void bootstrap();
  void on_message(const ChannelPtr& channel, wire::Message message);
  /// Sends what is new to the other members and to the routers that follow this one.
  void exchange_state();
  void on_join(const ChannelPtr& channel, const wire::JoinRequest& request);
  void send_to_peer(const consensus::Message& message);
  /// Connection for latency-sensitive messages: the log and requests to the leader.
  ChannelPtr channel_to(const std::string& address);
  /// Separate connection for all other messages, so that bulk data does not delay the latency-sensitive ones.
  ChannelPtr bulk_channel_to(const std::string& address);
  ChannelPtr open_channel(std::map<std::string, ChannelPtr>& channels, const std::string& address);
  ChannelPtr leader_channel();
  wire::Channel::UnreadableHandler unreadable_handler();
  void tick();
  /// Stops the member if its replicated state can't be read. Returns whether it did.
  bool stop_if_unreadable();
  /// Logs a delay of the event loop, and what it was busy with.
  void watch_loop(TimePoint now);
  /// The kind of work that a received message makes.
  static MemberWork work_of(const wire::Message& message);
  void ask_to_join();

  // fleet_calls.cc: commands and confirmed reads
  void on_control_call(const ChannelPtr& channel, wire::ControlCall call);
  void on_confirmed_read(const ChannelPtr& channel, const fleet::ConfirmedRead& read);
  /// Whether all members and routers that were heard lately speak this version of the protocol.
  bool all_processes_speak(fleet::ProtocolVersion version) const;
  bool accepts(const Command& command) const;
  uint64_t add_pending_call(PendingCall pending);
  /// Sends a call to the leader, or holds it until a leader is known.
  void forward(uint64_t token, wire::Message message);
  void send_forwarded();
  /// On the leader: appends a command to the log.
  void append_command(uint64_t token, Command command);
  void propose(Command command, std::function<void(const CallOutcome&)> on_end);
  void read(const std::string& rollout_service, std::function<void(const CallOutcome&)> on_end);
  void deliver_answers();
  void finish_call(uint64_t token, const CallOutcome& outcome);
  void expire_calls();

  // fleet_routers.cc: heartbeats and routers
  void on_router_status(const ChannelPtr& channel, const fleet::RouterStatus& status);
  void on_router_loads(const ChannelPtr& channel, const fleet::RouterLoads& loads);
  void on_router_closed(const ChannelPtr& channel);
  void drop_silent_routers();
  fleet::FleetUpdate make_update(const RouterLink& link) const;
  /// True if the router is of a build that does not request configurations, and lacks the newest.
  bool needs_whole_configuration(const RouterLink& link, bool is_reply) const;
  void on_configuration_request(const ChannelPtr& channel, const fleet::ConfigurationRequest& request);
  /// Sends a small change to the routers that follow this member and hold the version before.
  void push_configuration_change();
  void send_configuration_part(RouterLink& link, const fleet::ConfigurationPart& part);
  void record_configuration_sent(RouterLink& link, const events::ConfigurationSent& sent);
  /// Adds the routers that relay for this one, if they have changed since they were last sent.
  void add_relays(RouterLink& link, fleet::FleetUpdate& update) const;
  SentRevisions newest_revisions() const;
  void reply_to_router(RouterLink& link);
  void push_to_routers();
  void feed_routers();
  /// Sends a router what is new for it. `full_state_bytes`: how much of a full state may still be sent in
  /// this round.
  void feed_router(RouterLink& link, size_t& full_state_bytes);
  /// The routers that need the full state, in the order in which they are sent it in this round.
  std::vector<RouterLink*> full_state_receivers();
  void handle_state_changes();
  void record_named_weights();
  void log_registry_changes();
  void log_retirement(const fleet::RetiredBackend& retired) const;
  void track_member_changes();
  void maintain_soft_state();
  int64_t confirmed_age_ms() const;
  std::optional<LeaderConfirmation> confirmation() const;

  // fleet_departures.cc: backends that sign off by their name alone
  void retire_incarnation(const std::string& id, RetireCallback on_end);
  void finish_lookup(const std::string& name, const IncarnationLookupResult& result,
                     const RetireCallback& on_end);
  /// The newest incarnation of a backend that the log says is gone; empty: none with a start time.
  std::string newest_gone_incarnation(const std::string& name) const;
  /// Sends the requests of lookups that are due, and ends lookups.
  void advance_lookups();
  void on_incarnation_request(const ChannelPtr& channel, const fleet::IncarnationRequest& request) const;

  // fleet_permits.cc: permits under the rate limits of backends, which apply to all routers together
  void on_permit_request(const ChannelPtr& channel, const fleet::PermitRequest& permit_request);
  bool may_grant_permits() const;
  void maintain_permits();

  // fleet_slots.cc: leases of the slots of brittle backends
  admission::SlotIssuer::BackendInfo slot_info(const std::string& backend) const;
  void on_slot_report(const ChannelPtr& channel, const fleet::SlotReport& report);
  /// Sends the grants and denials that are due, and an answer to `waiting_router` in any case if it is not
  /// empty.
  void send_slot_answers(const std::string& waiting_router);
  void maintain_slots();

  // fleet_stored_state.cc: the part of the soft state that is on disk
  void restore_soft_state();
  void restore_snapshot(const storage::SoftStateSnapshot& snapshot);
  /// Writes the snapshot if it has changed.
  void store_soft_state();

  // fleet_stream_records.cc: records of where streams began, kept for routers
  void on_stream_records(const ChannelPtr& channel, const fleet::StreamRecordBatch& batch);
  void on_stream_record_request(const ChannelPtr& channel, const fleet::StreamRecordRequest& request);
  void update_software_history();
  void handle_software_changes();
  void maintain_stream_records();

  // fleet_peers.cc: soft state exchanged between members, outside the log
  void exchange_with_peers();
  std::vector<std::string> other_members() const;
  void send_to_members(const wire::Frame& frame);
  void send_full_states(uint64_t term, bool leads);
  /// Attributes the traffic to another member to the distance of its zone.
  void meter_peer_traffic(const std::string& address, const std::string& zone);
  void log_traffic();
  void on_peer_update(const fleet::PeerUpdate& peer_update);
  void on_confirmation_request(const ChannelPtr& channel,
                               const fleet::ConfirmationRequest& confirmation_request);
  void on_confirmation_answer(const fleet::ConfirmationResponse& answer);
  void request_confirmation();
  void track_confirmation();
  void choose_caches();
  void poll_followed_caches();

  // fleet_service_rollout.cc: rollouts of services to another version of their software
  void fill_in_order(fleet::StartServiceRollout& order) const;
  std::vector<fleet::ServiceRollout> last_rollout(const std::string& service) const;
  /// Requests sent during a rollout, to the target version and in total, as far as this member knows.
  struct SentRequests {
    uint64_t target = 0;
    uint64_t all = 0;
  };
  SentRequests count_sent_requests(uint64_t rollout) const;
  void track_rollouts();
  void log_rollout_step(const fleet::ServiceRollout& rollout);
  void record_applied_rollouts(const std::string& router, const std::vector<fleet::AppliedRollout>& applied);
  void adopt_rollout_ages(const fleet::PeerUpdate& peer_update);
  void advance_service_rollouts();
  void judge_answers();
  void step_rollout(const fleet::ServiceRollout& rollout);
  rollout::RolloutView make_rollout_view(const fleet::ServiceRollout& rollout);
  /// Age of a rollout by wall clock, the only clock that survives a restart; between 0 and its duration.
  static Duration wall_clock_age(const fleet::ServiceRollout& rollout);

  // fleet_weight_rollout.cc: rollouts of model weights
  void advance_weight_rollout();
  void execute_step(const RolloutStep& step);
  void send_weight_order(const RolloutStep& step);
  void query_engine(const RolloutStep& step);
  bool may_send_orders() const;

  EventLoop& loop_;
  FleetControlSettings settings_;
  EngineInterface& engine_orders_;
  MemberWorkMeter work_;
  TimePoint next_tick_{0};       ///< when the next call of tick() is due
  TimePoint late_logged_at_{0};  ///< when the loop was last logged as late
  Logger log_{"control"};
  Metrics metrics_;
  wire::UnreadableMessages unreadable_messages_{log_, metrics_, "stoat_control_unreadable_messages_total"};
  std::shared_ptr<wire::TrafficMeter> traffic_ = std::make_shared<wire::TrafficMeter>();
  storage::DiskFileSystem files_;
  storage::ReplicaStore store_;
  storage::DiskIdentity identity_;
  std::unique_ptr<ControlCore> core_;
  std::unique_ptr<DurableDriver> driver_;
  std::unique_ptr<wire::ChannelServer> channels_;
  /// By internal address; for replies, by "id " and the member's id.
  std::map<std::string, ChannelPtr> peer_channels_;
  std::map<std::string, ChannelPtr> bulk_channels_;  ///< by internal address
  std::set<std::string> join_addresses_;             ///< learned from members, to send join requests to
  std::map<uint64_t, PendingCall> pending_calls_;
  ForwardedCalls forwarded_calls_;
  uint64_t last_token_ = 0;
  bool delivering_ = false;
  bool stopping_ = false;

  FleetSoftState soft_state_;
  FeedPublisher feed_publisher_{soft_state_};
  std::string last_full_state_receiver_;  ///< router that was sent some of a full state last
  PeerFlowControl peer_feeds_;
  std::map<std::string, RouterLink> router_links_;               ///< by name
  size_t ready_router_count_ = 0;                                ///< ready routers at the last count
  uint64_t logged_registry_revision_ = 0;                        ///< changes up to it are logged
  std::map<std::string, fleet::BackendRecord> logged_registry_;  ///< contents at that revision
  uint64_t logged_configuration_version_ = 0;
  std::string logged_members_;
  uint64_t handled_state_revision_ = 0;
  fleet::RevisionTable<std::string, fleet::BackendState> retired_backends_;  ///< from the replicated log
  fleet::TargetWeights target_weights_;
  uint64_t target_weights_revision_ = 0;   ///< incremented when `target_weights_` changes
  uint64_t members_revision_ = 0;          ///< incremented when the member list changes
  TimePoint configuration_applied_at_{0};  ///< of the newest configuration
  ConfigurationPublisher configuration_publisher_;

  IncarnationLookup incarnation_lookup_;
  LeaderConfirmationTracker confirmation_tracker_;
  TimePoint next_confirmation_request_{0};
  TimePoint next_peer_update_{0};  ///< latest time for an update, even without changes
  CacheEventPoller cache_event_poller_;
  WeightRollout weight_rollout_;
  admission::PermitIssuer permit_issuer_;  ///< valid while this member leads
  admission::SlotIssuer slot_issuer_{
      [this](const std::string& backend) { return slot_info(backend); }};  ///< valid while this member leads
  std::map<uint64_t, RolloutProgress> rollout_progress_;  ///< by rollout id; only rollouts not yet final
  rollout::RouterConfirmations router_confirmations_;
  std::map<uint64_t, uint64_t> seen_steps_;   ///< by rollout id: newest step seen
  uint64_t rollouts_revision_ = 0;            ///< incremented when a rollout starts or steps
  storage::DiskFileSystem soft_state_files_;  ///< of the thread of `soft_state_writer_`
  storage::SoftStateStore soft_state_store_{soft_state_files_};
  std::unique_ptr<SoftStateWriter> soft_state_writer_;
  uint64_t stored_software_revision_ = 0;  ///< of software_history_: written up to it
  uint64_t stored_suspects_revision_ = 0;  ///< the same for the suspects of soft_state_
  streams::StreamRecordTable stream_records_;
  fleet::SoftwareHistory software_history_;
  uint64_t software_registry_revision_ = 0;  ///< changes up to it are in software_history_
  uint64_t handled_software_revision_ = 0;   ///< of software_history_: logged and sent to routers up to it
  std::vector<fleet::ServiceSoftware> logged_software_;  ///< contents of software_history_ then
  /// Until then this member names no versions to routers, since it may lack some after a restart.
  TimePoint software_known_at_{0};
  fleet::MixedServices mixed_services_;   ///< as last sent to routers
  uint64_t mixed_services_revision_ = 0;  ///< incremented when `mixed_services_` changes
  bool was_leader_ = false;
  bool was_confirmed_ = false;  ///< a recent confirmation of the leader was known at the last check
  /// When a quorum last confirmed a leader, as far as this member knows.
  std::optional<TimePoint> leader_confirmed_at_;
  TimePoint leader_since_{0};  ///< when this member last became leader or ceased to be
};

}  // namespace stoat::control
