/// What routers and control members send one another about the fleet.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_limit.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/crash_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/fleet_state.h"
#include "src/fleet/service_rollout.h"

namespace stoat::fleet {

/// How many requests a router has under way at a back end.
struct BackendLoad {
  std::string backend;
  uint32_t outstanding = 0;
  uint32_t prefill_tokens = 0;  ///< of requests without a first event yet
  MSGPACK_DEFINE_ARRAY(backend, outstanding, prefill_tokens)
  bool operator==(const BackendLoad&) const = default;
};

/// Router to each control member, at intervals and at once when something has changed.
struct RouterStatus {
  RouterRecord router;
  uint64_t sequence = 0;               ///< echoed by the answer
  uint64_t configuration_version = 0;  ///< that it has in force
  bool follows = false;                ///< it takes the member's feed (FleetFeedUpdate)
  std::vector<AppliedRollout> rollouts = {};
  MSGPACK_DEFINE_ARRAY(router, sequence, configuration_version, follows, rollouts)
};

/// What a tenant with a quota has spent of it.
struct TenantSpending {
  std::string tenant;
  int64_t amount = 0;  ///< in the quota's unit; below 0: more was given back than spent
  MSGPACK_DEFINE_ARRAY(tenant, amount)
  bool operator==(const TenantSpending&) const = default;
};

/// What is left of a tenant's quota, over all routers, as far as the sender knows. Below 0: more was spent.
struct QuotaLevel {
  std::string tenant;
  int64_t level = 0;
  bool metered = false;  ///< routers are to keep to the level; else they need not care
  MSGPACK_DEFINE_ARRAY(tenant, level, metered)
  bool operator==(const QuotaLevel&) const = default;
};

/// What a tenant has spent of its quota in the present window, over all routers, as far as the sender knows.
struct WindowSpending {
  std::string tenant;
  std::vector<int64_t> spent;  ///< in equal parts of the window, the newest first
  int64_t bucket = 0;          ///< what may be spent at once
  MSGPACK_DEFINE_ARRAY(tenant, spent, bucket)
};

/// Router to the member whose feed it follows: its requests under way. Back ends that aren't named have none.
struct RouterLoads {
  std::string router;
  std::vector<BackendLoad> loads;
  std::vector<std::string> unreachable;       ///< ids of back ends that could not be reached lately
  std::vector<TenantSpending> spending = {};  ///< since the last message
  uint64_t spending_sequence = 0;             ///< rises with each message that has spending; 0: it has none
  uint64_t start_id = 0;                      ///< of the router, anew at each of its starts
  bool answers_are_complete = false;          ///< all of its counts follow, not only those that changed
  std::vector<AnswerCount> answers = {};      ///< since its start
  std::vector<BackendLimit> limits = {};  ///< that were named to it, or have ended, since the last message
  std::vector<CrashRecord> crashes = {};  ///< that it saw, or where it saw a good end, since the last message
  MSGPACK_DEFINE_ARRAY(router, loads, unreachable, spending, spending_sequence, start_id,
                       answers_are_complete, answers, limits, crashes)
};

/// A back end, or a store of KV cache, holds a chain of prompt parts.
struct ChainPlacement {
  std::string holder;           ///< id of the back end, or address of the store
  uint64_t weights = 0;         ///< version that made it
  std::vector<uint64_t> links;  ///< hashes of the chain up to each shared part
  MSGPACK_DEFINE_ARRAY(holder, weights, links)
};

/// Router to the member whose feed it follows: what was read lately.
struct PlacementUpdate {
  std::vector<ChainPlacement> placements;
  MSGPACK_DEFINE_ARRAY(placements)
};

/// What an engine or a store holds of one part of prompts.
struct CachedPart {
  uint64_t part = 0;     ///< placement::part_hash
  uint64_t weights = 0;  ///< version that made it
  uint32_t tokens = 0;   ///< from its beginning; 0: nothing any more
  MSGPACK_DEFINE_ARRAY(part, weights, tokens)
  bool operator==(const CachedPart&) const = default;
};

/// What has changed in one cache.
struct CacheChanges {
  std::string holder;       ///< id of the back end; address of a store
  bool store = false;       ///< it is a store
  bool followed = false;    ///< its changes come to the sender; without, nothing new will be told
  bool anew = false;        ///< what was told before counts no more
  uint64_t claim = 0;       ///< between members: the follower with the highest one tells what is in the cache
  uint64_t epoch = 0;       ///< between members: changes when the cache restarts
  uint64_t next_event = 0;  ///< between members: where another follower goes on
  std::vector<CachedPart> holdings;
  MSGPACK_DEFINE_ARRAY(holder, store, followed, anew, claim, epoch, next_event, holdings)
};

/// A version of a model's weights that was named, and how long ago as far as the sender knows.
struct TargetWeightsVersion {
  std::string model;
  uint64_t version = 0;
  int64_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(model, version, age_ms)
};

/// Control member to router: the answer to a status, or unprompted when something has changed. What binds
/// goes here: configurations, retirements, confirmations. Lists hold what is new on the connection.
struct FleetUpdate {
  uint64_t answers = 0;  ///< sequence of the status that is answered; 0: unprompted
  bool leads = false;
  std::string zone;  ///< of the sender
  /// Since a quorum last confirmed the leader, as far as the sender knows; negative: it can't tell.
  int64_t quorum_age_ms = -1;
  uint64_t confirmed_version = 0;                 ///< the newest configuration at that confirmation
  std::vector<FleetConfiguration> configuration;  ///< empty or one
  std::vector<RetiredBackend> retired;
  std::vector<TargetWeightsVersion>
      weights;                       ///< the newest few of each model, oldest first; empty: as before
  std::vector<std::string> members;  ///< "address:port" of the internal protocol of each; empty: as before
  uint32_t router_count = 0;         ///< live routers
  uint64_t acknowledged_spending_sequence =
      0;  ///< with an answer: the newest RouterLoads::spending_sequence that came
  std::vector<ServiceRollout> rollouts =
      {};  ///< all that were ever ordered, the last of each service; empty: as before
  MSGPACK_DEFINE_ARRAY(answers, leads, zone, quorum_age_ms, confirmed_version, configuration, retired,
                       weights, members, router_count, acknowledged_spending_sequence, rollouts)
};

/// Control member to the routers that follow it: what has changed in the fleet since the last of these. A
/// feed begins with all that is known, in pieces.
struct FleetFeedUpdate {
  bool anew = false;      ///< the feed begins: what was told before counts no more
  bool complete = false;  ///< all has been told; a sender that has just started does not know all yet
  std::vector<BackendRecord> backends;
  std::vector<std::string> gone;   ///< back ends that are forgotten
  std::vector<BackendLoad> loads;  ///< of all routers together, of the back ends where it changed
  std::vector<CacheChanges> caches;
  std::vector<ChainPlacement> placements;
  std::vector<QuotaLevel> quotas = {};    ///< where it changed; tenants that were never named are not metered
  std::vector<BackendLimit> limits = {};  ///< of back ends where it changed
  std::vector<CrashRecord> crashes = {};  ///< of requests at more than one crash, where it changed
  MSGPACK_DEFINE_ARRAY(anew, complete, backends, gone, loads, caches, placements, quotas, limits, crashes)
  bool empty() const {
    return !anew && backends.empty() && gone.empty() && loads.empty() && caches.empty() &&
           placements.empty() && quotas.empty() && limits.empty() && crashes.empty();
  }
};

/// A router that a control member hears, or hears no longer.
struct RouterPresence {
  RouterRecord router;
  bool present = true;
  MSGPACK_DEFINE_ARRAY(router, present)
};

/// A router could not reach a back end.
struct UnreachableNotice {
  std::string router;
  std::string backend;
  MSGPACK_DEFINE_ARRAY(router, backend)
};

/// A heartbeat that tells nothing new of its back end but that it lives.
struct CompactHeartbeat {
  uint64_t backend = 0;  ///< backend_id_hash() of its id
  uint64_t sequence = 0;
  MSGPACK_DEFINE_ARRAY(backend, sequence)
};

/// Asks a member for the records of back ends of which it told marks only.
struct BackendRecordRequest {
  std::string member;              ///< internal address of the one that is asked
  std::vector<uint64_t> backends;  ///< backend_id_hash() of their ids
  MSGPACK_DEFINE_ARRAY(member, backends)
};

/// What the leader knows of an engine from its own orders.
struct EngineLoadState {
  std::string id;
  bool loading = false;  ///< new weights are being loaded
  std::vector<ModelVersion> models;
  MSGPACK_DEFINE_ARRAY(id, loading, models)
};

/// Control member to control member: what has come to the sender since the last of these, so that all members
/// know the same.
struct PeerUpdate {
  std::string sender;  ///< its internal address
  std::string zone;
  uint64_t term = 0;
  bool leads = false;
  uint64_t number = 0;                  ///< rises by one; a receiver that misses one asks for the whole
  bool anew = false;                    ///< the whole follows: what the sender told before counts no more
  std::vector<std::string> incomplete;  ///< addresses of members that are asked for the whole
  std::vector<BackendRecord> heartbeats;
  std::vector<RouterPresence> routers;
  std::vector<BackendLoad> loads;  ///< of the sender's routers together, of the back ends where it changed
  std::vector<CacheChanges> caches;
  std::vector<ChainPlacement> placements;
  std::vector<uint64_t> shared_parts;  ///< that more than one prompt may begin with
  std::vector<UnreachableNotice> unreachable;
  std::vector<EngineLoadState> engines;       ///< from the leader
  std::vector<TargetWeightsVersion> weights;  ///< with the whole: since when they have been named
  uint64_t start_id = 0;                      ///< of the sender, anew at each of its starts
  std::vector<TenantSpending> spending = {};  ///< of the sender's routers since its start, where it changed
  std::vector<WindowSpending> windows = {};   ///< with the whole: of all routers, as far as the sender knows
  int64_t quotas_age_ms = 0;                  ///< with the whole: for how long the sender has counted
  std::vector<CompactHeartbeat> marks = {};
  std::vector<BackendRecordRequest> questions = {};
  std::vector<AnswerCount> answers = {};      ///< of the sender's routers since its start, where it changed
  std::vector<RouterRollouts> applied = {};   ///< what the sender's routers have said since the last news
  std::vector<RolloutAge> rollout_ages = {};  ///< from the leader: of orders that are not final
  std::vector<BackendLimit> limits = {};      ///< that the sender's routers told; with the whole: all
  std::vector<CrashRecord> crashes = {};      ///< likewise
  MSGPACK_DEFINE_ARRAY(sender, zone, term, leads, number, anew, incomplete, heartbeats, routers, loads,
                       caches, placements, shared_parts, unreachable, engines, weights, start_id, spending,
                       windows, quotas_age_ms, marks, questions, answers, applied, rollout_ages, limits,
                       crashes)
  bool empty() const {
    return !anew && incomplete.empty() && heartbeats.empty() && routers.empty() && loads.empty() &&
           caches.empty() && placements.empty() && shared_parts.empty() && unreachable.empty() &&
           engines.empty() && spending.empty() && marks.empty() && questions.empty() && answers.empty() &&
           applied.empty() && rollout_ages.empty() && limits.empty() && crashes.empty();
  }
};

/// Follower to leader: when were you last confirmed by a quorum, and with which configuration?
struct ConfirmationRequest {
  uint64_t number = 0;
  MSGPACK_DEFINE_ARRAY(number)
};

/// The answer to a ConfirmationRequest.
struct ConfirmationResponse {
  uint64_t number = 0;
  int64_t quorum_age_ms = -1;  ///< negative: it does not lead, or was not confirmed yet
  uint64_t configuration_version = 0;
  MSGPACK_DEFINE_ARRAY(number, quorum_age_ms, configuration_version)
};

/// Control member to the leader: the configuration, or a service's last rollout, confirmed to be the newest.
struct ConfirmedRead {
  uint64_t call_id = 0;
  std::string rollout_of = {};  ///< name of a service; empty: the configuration
  MSGPACK_DEFINE_ARRAY(call_id, rollout_of)
};

/// The answer to a ConfirmedRead.
struct ConfirmedReadResponse {
  uint64_t call_id = 0;
  bool confirmed = false;
  std::string source;                        ///< the operator's document; empty when there is none yet
  std::vector<ServiceRollout> rollout = {};  ///< that was asked for; empty: none was ever ordered
  MSGPACK_DEFINE_ARRAY(call_id, confirmed, source, rollout)
};

/// Control member to one that asks to join: whom else to ask.
struct MemberAddresses {
  std::vector<std::string> addresses;
  MSGPACK_DEFINE_ARRAY(addresses)
};

}  // namespace stoat::fleet
