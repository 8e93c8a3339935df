/// Soft state of a control member, kept outside the replicated log: backends, routers, loads, the contents of
/// caches, quotas, rate limits and crashes. Heartbeats and events rebuild it. Members send one another each
/// difference once, so that all have the same state and a change of leader loses nothing. Each member sends
/// its own routers the differences since their last message. Free of I/O: callers pass in messages and the
/// time and send the messages it returns.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/admission/quota_ledger.h"
#include "src/common/time.h"
#include "src/control/announcement_table.h"
#include "src/control/assigned_caches.h"
#include "src/control/cache_assignment.h"
#include "src/control/cache_event_poller.h"
#include "src/control/cache_index.h"
#include "src/control/crash_aggregator.h"
#include "src/control/load_aggregator.h"
#include "src/control/router_directory.h"
#include "src/fleet/backend_registry.h"
#include "src/fleet/fleet_messages.h"
#include "src/fleet/version_history.h"
#include "src/rollout/answer_aggregator.h"
#include "src/topology/topology.h"

namespace stoat::control {

/// Identity and settings of this member.
struct SoftStateOptions {
  std::string address;  ///< internal; identifies the member
  std::string zone;
  fleet::RegistryOptions registry = {};
  admission::QuotaTolerance quotas = {};
  uint64_t start_id = 1;  ///< differs at each start of the member
  TimePoint started{0};   ///< when the member started
  topology::Topology topology = {};
};

/// A router's position in the feed, as the revision of each table that it has received. Routers with equal
/// cursors get equal messages.
struct FeedCursor {
  bool is_started = false;  ///< the first message of the feed was sent
  uint64_t registry = 0;
  uint64_t loads = 0;
  uint64_t statuses = 0;
  uint64_t holdings = 0;
  uint64_t placements = 0;
  uint64_t quotas = 0;
  uint64_t limits = 0;
  uint64_t crashes = 0;
  uint64_t brittle = 0;
  bool operator==(const FeedCursor&) const = default;
  bool operator<(const FeedCursor& other) const { return values() < other.values(); }

 private:
  std::array<uint64_t, 10> values() const {
    return {is_started ? 1U : 0U, registry, loads,  statuses, holdings,
            placements,           quotas,   limits, crashes,  brittle};
  }
};

/// The soft state of one control member: applies heartbeats, router statuses and updates of other members,
/// and builds the updates for other members and for this member's routers.
class FleetSoftState {
 public:
  explicit FleetSoftState(SoftStateOptions options);

  // Input of this member
  /// Records a heartbeat. Returns true if it is newer than the last known one.
  bool on_heartbeat(const fleet::BackendRecord& record, TimePoint now);
  /// Applies the quotas of a configuration.
  void configure_quotas(const std::vector<fleet::Tenant>& tenants, TimePoint now) {
    quotas_.configure(tenants, now);
  }
  /// Applies a replicated retirement.
  void retire(const std::string& id, fleet::BackendState state) { registry_.retire(id, state); }
  /// Records a router's status; `follows`: the router receives this member's feed. Returns true if the status
  /// has changed.
  bool on_router(const fleet::RouterRecord& router, bool follows, TimePoint now);
  void on_router_loads(const fleet::RouterLoads& loads, TimePoint now);
  /// Removes a router that has closed its connection.
  void forget_router(const std::string& name);
  /// Removes a router that has been silent for some time: it is down, or it is cut off and continues to serve
  /// for a while.
  void on_router_silent(const std::string& name, TimePoint now);
  void on_placements(const std::vector<fleet::ChainPlacement>& placements);
  void on_cache_changes(const std::vector<fleet::CacheChanges>& changes);
  /// On the leader: records whether an engine is loading new weights.
  void set_loading(const std::string& id, bool loading);
  /// On the leader: records the version of an engine's weights.
  void set_version(const std::string& id, const std::string& model, uint64_t version);
  /// On a new leader: marks all engines as not loading.
  void clear_loading();
  /// Queues, for the other members, which rollout steps a router that follows this member has applied.
  void add_applied_rollouts(const fleet::RouterRollouts& applied) {
    pending_update_.applied.push_back(applied);
  }
  /// On the leader: queues the ages of the rollouts in progress for the other members.
  void announce_rollout_ages(std::vector<fleet::RolloutAge> ages) {
    pending_update_.rollout_ages = std::move(ages);
  }
  /// Drops the answer counts of all rollouts that are not in `rollouts`.
  void retain_answers(const std::set<uint64_t>& rollouts) { answers_.retain_only(rollouts); }
  /// Applies the crash records that an earlier process of this member knew.
  void restore_crashes(const std::vector<fleet::CrashRecord>& records, TimePoint now) {
    crashes_.on_peer(records, now);
  }
  /// Applies an update from another member.
  void on_peer_update(const fleet::PeerUpdate& peer_update, TimePoint now);
  /// Expires everything that has been silent for too long. Must be called a few times per second.
  void expire(TimePoint now);

  // Output to the other members
  /// Returns the differences since the last call as one message for all members. An empty one need not be
  /// sent.
  fleet::PeerUpdate take_peer_update(uint64_t term, bool leads, TimePoint now);
  /// Releases the number of the last take_peer_update(), whose message was not sent.
  void release_last_number() { --last_update_number_; }
  /// Everything that this member is the source of, for members that lack some of it. Must be sent right after
  /// take_peer_update().
  fleet::PeerUpdate full_state_for_peer(uint64_t term, bool leads, const fleet::TargetWeights& named,
                                        TimePoint now) const;
  /// Addresses of the members that have requested the full state since the last call.
  std::set<std::string> take_full_state_requests();

  /// The caches whose events this member must follow. `store_zones`: zones of the KV stores in the current
  /// configuration, by address.
  std::vector<FollowedCache> choose_caches(const std::map<std::string, std::string>& store_zones,
                                           TimePoint now);

  /// Returns the next message for routers at `cursor` and advances it. The message is empty
  /// (FleetFeedUpdate::empty) if there is nothing new.
  fleet::FleetFeedUpdate next_feed_message(FeedCursor& cursor, TimePoint now) const;

  /// True if the differences since `cursor` are still known; otherwise the feed must start from the
  /// beginning.
  bool can_resume(const FeedCursor& cursor) const;

  const fleet::BackendRegistry& registry() const { return registry_; }
  const RouterDirectory& routers() const { return routers_; }
  const LoadAggregator& loads() const { return loads_; }
  const BackendLimitTable& limits() const { return limits_; }
  const BrittleBackendTable& brittle() const { return brittle_; }
  const CrashAggregator& crashes() const { return crashes_; }
  const CacheIndex& caches() const { return caches_; }
  const admission::QuotaLedger& quotas() const { return quotas_; }
  /// Tenants for which metering has started or stopped since the last call.
  std::vector<fleet::QuotaLevel> take_quota_changes() { return quotas_.take_changes(); }
  /// The zone of another member; empty if no update from it has arrived.
  std::string zone_of_peer(const std::string& address) const {
    const auto found = peers_.find(address);
    return found == peers_.end() ? "" : found->second.zone;
  }
  /// True if this member is the one that a backend's heartbeats should go to.
  bool is_home_member(const fleet::BackendRecord& record, TimePoint now) const;
  const rollout::AnswerAggregator& answers() const { return answers_; }
  /// This member and the others that have sent an update recently.
  std::vector<LiveMember> live_members(TimePoint now) const;
  /// Whether all members that were heard lately speak this version of the protocol or a later one.
  bool peers_speak(fleet::ProtocolVersion version) const;
  /// Whether another member was heard lately and speaks this version or a later one.
  bool peer_speaks(const std::string& address, fleet::ProtocolVersion version) const;
  /// Whether every backend that is running has had time to send a heartbeat since this member started.
  bool knows_running_backends() const { return warmed_up_; }

 private:
  /// State of another member.
  struct Peer {
    std::string zone;
    TimePoint last_update{0};  ///< when its last update arrived
    uint64_t last_number = 0;  ///< of its last update
    bool complete = false;     ///< its full state arrived, and every update since
    fleet::ProtocolVersion protocol_version = 0;
  };
  /// Fraction of the routers whose quota spending cannot reach this member now.
  double unheard_share(TimePoint now) const;
  /// Applies a peer's compact heartbeats and answers its requests for backend records.
  void apply_compact_heartbeats(const fleet::PeerUpdate& peer_update, TimePoint now);
  /// Removes the prompt parts that are not shared: they are of no use to routers of other members.
  fleet::CacheChanges filter_shared(fleet::CacheChanges changes) const;
  /// Queues, for the other members, what the caches that this member follows hold of parts that have only now
  /// become shared, so that it was not sent before.
  void announce_shared_parts(const CacheIndex::NewlyShared& added);
  void add_placement(const fleet::ChainPlacement& placement);
  void apply_engine_load_states(const fleet::PeerUpdate& peer_update);
  FollowedCache claim_cache(const std::string& holder, const std::string& address, bool store);
  bool add_backends(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  void add_loads(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  void add_caches(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  void add_placements(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  void add_quotas(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  void add_announcements(FeedCursor& cursor, fleet::FleetFeedUpdate& message) const;
  bool add_crashes(FeedCursor& cursor, fleet::FleetFeedUpdate& message, TimePoint now) const;
  /// Removes what backends announced that are no longer registered.
  void expire_announcements();

  SoftStateOptions options_;
  fleet::BackendRegistry registry_;
  RouterDirectory routers_;
  LoadAggregator loads_;
  BackendLimitTable limits_;
  BrittleBackendTable brittle_;
  CrashAggregator crashes_;
  admission::QuotaLedger quotas_;
  rollout::AnswerAggregator answers_;
  AssignedCaches assigned_caches_;
  /// Routers that followed this member, and when they fell silent.
  std::map<std::string, TimePoint> silent_routers_;
  CacheIndex caches_;
  /// Routers that receive the feed of this member, by name.
  std::map<std::string, fleet::RouterRecord> following_routers_;
  /// Caches that this member follows, by holder.
  std::map<std::string, FollowedCache> claimed_caches_;
  std::map<std::string, Peer> peers_;  ///< by internal address
  std::set<std::string> full_state_requests_;
  /// Keys of backends for which a peer has sent compact heartbeats but no record, by the peer's address.
  /// Their records are requested with the next update.
  std::map<std::string, std::set<uint64_t>> missing_record_keys_;

  std::deque<fleet::ChainPlacement> placements_;  ///< the newest ones, oldest first
  uint64_t dropped_placements_ = 0;               ///< number of older ones, no longer kept
  bool warmed_up_ = false;  ///< since the start, every live backend has had time to send a heartbeat
  uint64_t last_update_number_ = 0;
  fleet::PeerUpdate pending_update_;          ///< parts of the next update to the other members
  std::set<std::string> pending_engine_ids_;  ///< engines whose EngineLoadState is due in the next update
  uint64_t engine_load_states_term_ = 0;      ///< term of the leader whose EngineLoadStates were last applied
};

}  // namespace stoat::control
