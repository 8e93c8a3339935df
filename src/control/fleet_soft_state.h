/// What a control member knows of the running fleet besides the log: back ends, routers, loads, and what
/// caches hold. It is soft state that heartbeats and events rebuild. Members tell one another the
/// differences, once, so that all know the same and a change of leader loses nothing; each tells its own
/// routers the differences since what they have. Free of I/O: messages and the time come in, messages go out.
#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "src/admission/quota_ledger.h"
#include "src/common/time.h"
#include "src/control/assigned_caches.h"
#include "src/control/backend_limit_table.h"
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

/// Who this member is.
struct KnowledgeOptions {
  std::string address;  ///< internal; identifies the member
  std::string zone;
  fleet::RegistryOptions registry = {};
  admission::QuotaTolerance quotas = {};
  uint64_t start_id = 1;  ///< differs at each start of the member
  TimePoint started{0};
  topology::Topology topology = {};
};

/// How far a router has been told. Routers with equal cursors get equal messages.
struct FeedCursor {
  bool begun = false;
  uint64_t registry = 0;
  uint64_t loads = 0;
  uint64_t heads = 0;
  uint64_t holdings = 0;
  uint64_t placements = 0;
  uint64_t quotas = 0;
  uint64_t limits = 0;
  uint64_t crashes = 0;
  bool operator==(const FeedCursor&) const = default;
  bool operator<(const FeedCursor& other) const { return values() < other.values(); }

 private:
  std::tuple<bool, uint64_t, uint64_t, uint64_t, uint64_t, uint64_t, uint64_t, uint64_t, uint64_t> values()
      const {
    return {begun, registry, loads, heads, holdings, placements, quotas, limits, crashes};
  }
};

/// See the head of this file.
class FleetKnowledge {
 public:
  explicit FleetKnowledge(KnowledgeOptions options);

  // What comes in to this member
  /// Takes a heartbeat. Returns true when it is newer than what was known.
  bool on_heartbeat(const fleet::BackendRecord& record, TimePoint now);
  /// Puts the quotas of a configuration in force.
  void configure_quotas(const std::vector<fleet::Tenant>& tenants, TimePoint now) {
    quotas_.configure(tenants, now);
  }
  /// Applies a replicated retirement.
  void retire(const std::string& id, fleet::BackendState state) { registry_.retire(id, state); }
  /// A router tells its state; `follows`: it takes this member's feed. Returns true when that is new.
  bool on_router(const fleet::RouterRecord& router, bool follows, TimePoint now);
  void on_router_loads(const fleet::RouterLoads& loads, TimePoint now);
  /// A router has closed its connection.
  void forget_router(const std::string& name);
  /// A router has not been heard for some time: it is down or cut off, and then serves for a while yet.
  void silence_router(const std::string& name, TimePoint now);
  void on_placements(const std::vector<fleet::ChainPlacement>& placements);
  void on_cache_changes(const std::vector<fleet::CacheChanges>& changes);
  /// The leader announces that an engine loads new weights, or no longer does.
  void set_loading(const std::string& id, bool loading);
  /// The leader has seen the version of an engine's weights.
  void set_version(const std::string& id, const std::string& model, uint64_t version);
  /// On a change of leader: no engine is known to load.
  void clear_loading();
  /// A router that follows this member has told what it does about rollouts.
  void on_applied(const fleet::RouterRollouts& applied) { untold_.applied.push_back(applied); }
  /// The leader tells how old the orders are that are under way.
  void tell_rollout_ages(std::vector<fleet::RolloutAge> ages) { untold_.rollout_ages = std::move(ages); }
  /// Drops what was counted under other orders.
  void keep_answers(const std::set<uint64_t>& rollouts) { answers_.keep(rollouts); }
  /// Takes another member's news.
  void on_peer_news(const fleet::PeerUpdate& news, TimePoint now);
  /// Lets what has been silent for long go. To be called a few times a second.
  void expire(TimePoint now);

  // What goes out to the other members
  /// The differences since the last call, one message for all members. One that is empty need not be sent.
  fleet::PeerUpdate take_peer_news(uint64_t term, bool leads, TimePoint now);
  /// The last one of take_peer_news() was not sent.
  void give_back_number() { --last_number_; }
  /// All that this member is the source of, for one that lacks it. To be sent right after take_peer_news().
  fleet::PeerUpdate whole_for_peer(uint64_t term, bool leads, const fleet::TargetWeights& named,
                                   TimePoint now) const;
  /// Members that have asked for the whole since the last call.
  std::set<std::string> take_whole_requests();

  /// The caches that this member is to follow, given the stores of the configuration in force.
  std::vector<FollowedCache> choose_caches(const std::map<std::string, std::string>& store_zones,
                                           TimePoint now);

  /// The next piece for a router at `cursor`, which moves on. Empty (FleetFeedUpdate::empty) when nothing is
  /// new.
  fleet::FleetFeedUpdate next_news(FeedCursor& cursor, TimePoint now) const;

  const fleet::BackendRegistry& registry() const { return registry_; }
  const RouterDirectory& routers() const { return routers_; }
  const LoadAggregator& loads() const { return loads_; }
  const BackendLimitTable& limits() const { return limits_; }
  const CacheIndex& caches() const { return caches_; }
  const admission::QuotaLedger& quotas() const { return quotas_; }
  /// Tenants that began or ceased to be metered since the last call.
  std::vector<fleet::QuotaLevel> take_quota_changes() { return quotas_.take_changes(); }
  /// The zone of another member; empty: it has not been heard.
  std::string zone_of_peer(const std::string& address) const {
    const auto found = peers_.find(address);
    return found == peers_.end() ? "" : found->second.zone;
  }
  /// True when heartbeats of a back end should come to this member.
  bool is_home(const fleet::BackendRecord& record, TimePoint now) const;
  const rollout::AnswerAggregator& answers() const { return answers_; }
  /// This member and those that are heard.
  std::vector<LiveMember> live_members(TimePoint now) const;

 private:
  /// What is known of another member.
  struct Peer {
    std::string zone;
    TimePoint heard{0};
    uint64_t number = 0;    ///< of its last news
    bool complete = false;  ///< no news since its last whole are missing
  };
  /// The part of the routers whose spending of quotas can't come to this member now.
  double unheard_share(TimePoint now) const;
  /// Takes a peer's marks, and answers its questions for records.
  void take_marks(const fleet::PeerUpdate& news, TimePoint now);
  /// Without the parts that are of no use to the routers of other members.
  fleet::CacheChanges only_shared(fleet::CacheChanges changes) const;
  /// Tells which of these parts the caches hold that this member follows: the others did not hear of them.
  void tell_shared(const std::vector<uint64_t>& parts);
  void add_placement(const fleet::ChainPlacement& placement);
  void apply_engine_notes(const fleet::PeerUpdate& news);
  FollowedCache claim_cache(const std::string& holder, const std::string& address, bool store);
  bool add_backends(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  void add_loads(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  void add_caches(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  void add_placements(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  void add_quotas(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  void add_limits(FeedCursor& cursor, fleet::FleetFeedUpdate& news) const;
  bool add_crashes(FeedCursor& cursor, fleet::FleetFeedUpdate& news, TimePoint now) const;
  /// Lets the limits of back ends go that are known no more.
  void expire_limits();
  bool reaches(const FeedCursor& cursor) const;

  KnowledgeOptions options_;
  fleet::BackendRegistry registry_;
  RouterDirectory routers_;
  LoadAggregator loads_;
  BackendLimitTable limits_;
  CrashAggregator crashes_;
  admission::QuotaLedger quotas_;
  rollout::AnswerAggregator answers_;
  AssignedCaches cache_duty_;
  std::map<std::string, TimePoint> silent_routers_;  ///< own followers that went silent, and when
  CacheIndex caches_;
  std::map<std::string, fleet::RouterRecord> followers_;  ///< routers that take this member's feed
  std::map<std::string, FollowedCache> claimed_;          ///< caches that this member follows, by holder
  std::map<std::string, Peer> peers_;                     ///< by internal address
  std::set<std::string> whole_requests_;
  /// Back ends of which a peer told marks only, by the peer's address: they are to be asked for.
  std::map<std::string, std::set<uint64_t>> missing_records_;

  std::deque<fleet::ChainPlacement> placements_;  ///< the newest ones
  uint64_t placements_dropped_ = 0;               ///< older ones than those
  bool settled_ = false;  ///< every back end that lives has had time to be heard since the start
  uint64_t last_number_ = 0;
  fleet::PeerUpdate untold_;
  std::set<std::string> untold_engines_;  ///< whose notes are to be told
  uint64_t notes_term_ = 0;               ///< of the leader whose notes were taken last
};

}  // namespace stoat::control
