/// Messages about the fleet between routers and control members.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_limit.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/crash_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/fleet_state.h"
#include "src/fleet/incarnation_messages.h"
#include "src/fleet/protocol_version.h"
#include "src/fleet/service_rollout.h"
#include "src/fleet/slot_lease.h"
#include "src/fleet/stream_record.h"

namespace stoat::fleet {

/// Load that a router has placed on a backend.
struct BackendLoad {
  std::string backend;
  uint32_t outstanding = 0;     ///< requests in progress
  uint32_t prefill_tokens = 0;  ///< prompt tokens of requests without a first event yet
  MSGPACK_DEFINE_ARRAY(backend, outstanding, prefill_tokens)
  bool operator==(const BackendLoad&) const = default;
};

/// Router to each control member, periodically and on each change.
struct RouterStatus {
  RouterRecord router;
  uint64_t sequence = 0;               ///< echoed in the answer
  uint64_t configuration_version = 0;  ///< version of the configuration in use
  bool follows = false;                ///< the router is subscribed to the member's feed (FleetFeedUpdate)
  std::vector<AppliedRollout> rollouts = {};
  ProtocolVersion protocol_version = 0;
  bool has_fleet_state = false;  ///< has received a feed's full state; false also in builds that don't say
  MSGPACK_DEFINE_ARRAY(router, sequence, configuration_version, follows, rollouts, protocol_version,
                       has_fleet_state)
};

/// What a tenant has used of its quota.
struct TenantSpending {
  std::string tenant;
  int64_t amount = 0;  ///< in the quota's unit; below 0: more was refunded than used
  MSGPACK_DEFINE_ARRAY(tenant, amount)
  bool operator==(const TenantSpending&) const = default;
};

/// What is left of a tenant's quota across all routers, as far as the sender knows. Below 0: overdrawn.
struct QuotaLevel {
  std::string tenant;
  int64_t level = 0;
  bool metered = false;  ///< routers must enforce the level; otherwise they may ignore it
  MSGPACK_DEFINE_ARRAY(tenant, level, metered)
  bool operator==(const QuotaLevel&) const = default;
};

/// What a tenant has used of its quota in the current window across all routers, as far as the sender knows.
struct WindowSpending {
  std::string tenant;
  std::vector<int64_t> spent;  ///< usage in equal slices of the window, newest first
  int64_t bucket = 0;          ///< level of the token bucket: what may be used at once
  MSGPACK_DEFINE_ARRAY(tenant, spent, bucket)
};

/// Router to the member whose feed it is subscribed to: its requests in progress. Backends that are not
/// listed have none.
struct RouterLoads {
  std::string router;
  std::vector<BackendLoad> loads;
  std::vector<std::string> unreachable;       ///< ids of backends that recently could not be reached
  std::vector<TenantSpending> spending = {};  ///< since the previous message
  uint64_t spending_sequence = 0;         ///< increases with each message that has spending; 0: no spending
  uint64_t start_id = 0;                  ///< identifies the router process; new at each start
  bool answers_are_complete = false;      ///< `answers` holds all counts, not only those that changed
  std::vector<AnswerCount> answers = {};  ///< cumulative since the start of the router
  std::vector<BackendLimit> limits = {};  ///< announced or withdrawn since the previous message
  std::vector<CrashRecord> crashes =
      {};  ///< observed, or cleared by a successful end, since the previous message
  std::vector<BrittleBackend> brittle = {};  ///< announced or withdrawn since the previous message
  MSGPACK_DEFINE_ARRAY(router, loads, unreachable, spending, spending_sequence, start_id,
                       answers_are_complete, answers, limits, crashes, brittle)
};

/// The KV cache of a chain of prompt parts is present at a backend or KV store.
struct ChainPlacement {
  std::string holder;           ///< id of the backend, or address of the store
  uint64_t weights = 0;         ///< version of the weights that computed it
  std::vector<uint64_t> links;  ///< hashes of the chain up to each shared part
  MSGPACK_DEFINE_ARRAY(holder, weights, links)
};

/// Router to the member whose feed it is subscribed to: prompt parts that were recently computed.
struct PlacementUpdate {
  std::vector<ChainPlacement> placements;
  MSGPACK_DEFINE_ARRAY(placements)
};

/// The KV cache of one prompt part at an engine or store.
struct CachedPart {
  uint64_t part = 0;     ///< placement::part_hash
  uint64_t weights = 0;  ///< version of the weights that computed it
  uint32_t tokens = 0;   ///< cached tokens from the beginning of the part; 0: evicted
  MSGPACK_DEFINE_ARRAY(part, weights, tokens)
  bool operator==(const CachedPart&) const = default;
};

/// Changes of the contents of one KV cache.
struct CacheChanges {
  std::string holder;          ///< id of the backend, or address of the store
  bool store = false;          ///< the holder is a store
  bool is_subscribed = false;  ///< the sender receives this cache's changes; if false, no updates will follow
  bool is_full_state = false;  ///< discard what was sent before
  uint64_t claim = 0;          ///< between members: the subscriber with the highest claim is authoritative
  uint64_t epoch = 0;          ///< between members: changes when the cache restarts
  uint64_t next_event = 0;     ///< between members: position at which another subscriber continues
  std::vector<CachedPart> holdings;
  MSGPACK_DEFINE_ARRAY(holder, store, is_subscribed, is_full_state, claim, epoch, next_event, holdings)
};

/// A target version of a model's weights, and the time since it was set as far as the sender knows.
struct TargetWeightsVersion {
  std::string model;
  uint64_t version = 0;
  int64_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(model, version, age_ms)
};

/// The routers that relay connections to backends for the receiver.
struct RelayList {
  std::vector<std::string> addresses;  ///< "address:port"
  MSGPACK_DEFINE_ARRAY(addresses)
  bool operator==(const RelayList&) const = default;
};

/// Control member to router: the answer to a RouterStatus, or unsolicited on a change. Carries what routers
/// must obey: configurations, retirements, confirmations. Lists hold only what is new on the connection.
struct FleetUpdate {
  uint64_t answers = 0;  ///< sequence of the RouterStatus that is answered; 0: unsolicited
  bool leads = false;    ///< the sender is the leader
  std::string zone;      ///< of the sender
  /// Time since a quorum last confirmed the leader, as far as the sender knows; negative: unknown.
  int64_t quorum_age_ms = -1;
  uint64_t confirmed_version = 0;  ///< version of the configuration at that confirmation
  /// At most one; only for routers of builds before kFirstFetchingVersion.
  std::vector<FleetConfiguration> configuration;
  std::vector<RetiredBackend> retired;
  std::vector<TargetWeightsVersion> weights;  ///< the latest of each model, oldest first; empty: unchanged
  std::vector<std::string> members;           ///< "address:port" for the internal protocol; empty: unchanged
  uint32_t router_count = 0;                  ///< routers that are alive
  uint64_t acknowledged_spending_sequence =
      0;  ///< in an answer: the highest RouterLoads::spending_sequence received
  std::vector<ServiceRollout> rollouts = {};  ///< the last rollout of each service; empty: unchanged
  ProtocolVersion protocol_version = 0;
  uint64_t configuration_version = 0;  ///< that the sender has applied, so that it can be requested
  std::vector<RelayList> relays = {};  ///< at most one; empty: unchanged
  std::vector<MixedServices> mixed_services = {};  ///< at most one; empty: unchanged
  MSGPACK_DEFINE_ARRAY(answers, leads, zone, quorum_age_ms, confirmed_version, configuration, retired,
                       weights, members, router_count, acknowledged_spending_sequence, rollouts,
                       protocol_version, configuration_version, relays, mixed_services)
};

/// Router to a control member: asks for bytes of the configuration, or of a change, that it lacks.
struct ConfigurationRequest {
  std::string router;
  uint64_t held_version = 0;  ///< in force at the router; 0: none
  bool whole = false;         ///< a change to the held version did not fit
  uint64_t document = 0;      ///< ConfigurationPart::document that is being received; 0: none
  uint64_t offset = 0;        ///< of the first byte asked for; 0 if the member does not keep the document
  uint64_t bytes = 0;         ///< number of bytes asked for
  MSGPACK_DEFINE_ARRAY(router, held_version, whole, document, offset, bytes)
};

/// Control member to router: consecutive bytes of an encoded FleetConfiguration or ConfigurationChange.
struct ConfigurationPart {
  uint64_t base_version = 0;  ///< held version that the change is for; 0: a whole configuration
  uint64_t version = 0;       ///< of the configuration that results
  uint64_t digest = 0;        ///< digest_of() that configuration
  uint64_t document = 0;      ///< hash of all bytes; the same at all members that have the same document
  uint64_t total_bytes = 0;
  uint64_t offset = 0;
  std::string bytes;
  MSGPACK_DEFINE_ARRAY(base_version, version, digest, document, total_bytes, offset, bytes)
};

/// Control member to its subscribed routers: changes of the fleet since the previous message. A feed starts
/// with the full state, split over several messages.
struct FleetFeedUpdate {
  bool starts_full_state = false;  ///< the feed starts: discard what was sent before
  bool complete = false;  ///< the full state was sent; a sender that has just started does not have it yet
  std::vector<BackendRecord> backends;
  std::vector<std::string> gone;   ///< ids of removed backends
  std::vector<BackendLoad> loads;  ///< totals of all routers, for backends where they changed
  std::vector<CacheChanges> caches;
  std::vector<ChainPlacement> placements;
  std::vector<QuotaLevel> quotas = {};    ///< changed levels; tenants that were never listed are not metered
  std::vector<BackendLimit> limits = {};  ///< changed limits
  std::vector<CrashRecord> crashes = {};  ///< changed records of requests with more than one crash
  std::vector<BrittleBackend> brittle = {};  ///< that have become brittle, or are no longer
  MSGPACK_DEFINE_ARRAY(starts_full_state, complete, backends, gone, loads, caches, placements, quotas, limits,
                       crashes, brittle)
  bool empty() const {
    return !starts_full_state && backends.empty() && gone.empty() && loads.empty() && caches.empty() &&
           placements.empty() && quotas.empty() && limits.empty() && crashes.empty() && brittle.empty();
  }
};

/// A router has become reachable, or is no longer, at a control member.
struct RouterPresence {
  RouterRecord router;
  bool present = true;
  MSGPACK_DEFINE_ARRAY(router, present)
};

/// A router could not reach a backend.
struct UnreachableNotice {
  std::string router;
  std::string backend;
  MSGPACK_DEFINE_ARRAY(router, backend)
};

/// A compact heartbeat: the backend is alive and its record is unchanged.
struct CompactHeartbeat {
  uint64_t backend = 0;  ///< backend_id_hash() of the id
  uint64_t sequence = 0;
  MSGPACK_DEFINE_ARRAY(backend, sequence)
};

/// Asks a member for the full records of backends for which it sent only compact heartbeats.
struct BackendRecordRequest {
  std::string member;              ///< internal address of the member that is asked
  std::vector<uint64_t> backends;  ///< backend_id_hash() of the ids
  MSGPACK_DEFINE_ARRAY(member, backends)
};

/// State of an engine as the leader knows it from its own load orders.
struct EngineLoadState {
  std::string id;
  bool loading = false;  ///< new weights are being loaded
  std::vector<ModelVersion> models;
  MSGPACK_DEFINE_ARRAY(id, loading, models)
};

/// Control member to control member: information received by the sender since the previous message, so that
/// all members converge on the same soft state.
struct PeerUpdate {
  std::string sender;  ///< internal address
  std::string zone;
  uint64_t term = 0;
  bool leads = false;
  uint64_t number = 0;         ///< increases by one; a receiver that misses a number asks for the full state
  bool is_full_state = false;  ///< discard what the sender sent before
  std::vector<std::string> incomplete;  ///< addresses of members that are asked for their full state
  std::vector<BackendRecord> heartbeats;
  std::vector<RouterPresence> routers;
  std::vector<BackendLoad> loads;  ///< totals of the sender's routers, for backends where they changed
  std::vector<CacheChanges> caches;
  std::vector<ChainPlacement> placements;
  std::vector<uint64_t> shared_parts;  ///< hashes of prompt parts that several prompts may begin with
  std::vector<UnreachableNotice> unreachable;
  std::vector<EngineLoadState> engines;       ///< only from the leader
  std::vector<TargetWeightsVersion> weights;  ///< only with the full state: target versions and their ages
  uint64_t start_id = 0;                      ///< identifies the sender process; new at each start
  std::vector<TenantSpending> spending = {};  ///< changed totals of the sender's routers since its start
  std::vector<WindowSpending> windows =
      {};                     ///< only with the full state: usage of all routers, as far as known
  int64_t quotas_age_ms = 0;  ///< only with the full state: how long the sender has been counting
  std::vector<CompactHeartbeat> compact_heartbeats = {};
  std::vector<BackendRecordRequest> record_requests = {};
  std::vector<AnswerCount> answers = {};      ///< changed totals of the sender's routers since its start
  std::vector<RouterRollouts> applied = {};   ///< reports of the sender's routers since the previous message
  std::vector<RolloutAge> rollout_ages = {};  ///< only from the leader: rollouts that are not final
  std::vector<BackendLimit> limits = {};      ///< reported by the sender's routers; with the full state: all
  std::vector<CrashRecord> crashes = {};      ///< the same for crashes
  ProtocolVersion protocol_version = 0;
  std::vector<BrittleBackend> brittle = {};    ///< the same as `limits` for brittle backends
  std::vector<ServiceSoftware> software = {};  ///< only with the full state: versions of all services
  MSGPACK_DEFINE_ARRAY(sender, zone, term, leads, number, is_full_state, incomplete, heartbeats, routers,
                       loads, caches, placements, shared_parts, unreachable, engines, weights, start_id,
                       spending, windows, quotas_age_ms, compact_heartbeats, record_requests, answers,
                       applied, rollout_ages, limits, crashes, protocol_version, brittle, software)
  bool empty() const {
    return !is_full_state && incomplete.empty() && heartbeats.empty() && routers.empty() && loads.empty() &&
           caches.empty() && placements.empty() && shared_parts.empty() && unreachable.empty() &&
           engines.empty() && spending.empty() && compact_heartbeats.empty() && record_requests.empty() &&
           answers.empty() && applied.empty() && rollout_ages.empty() && limits.empty() && crashes.empty() &&
           brittle.empty();
  }
};

/// Follower to leader: asks when a quorum last confirmed the leader, and with which configuration version.
struct ConfirmationRequest {
  uint64_t number = 0;
  MSGPACK_DEFINE_ARRAY(number)
};

/// The answer to a ConfirmationRequest.
struct ConfirmationResponse {
  uint64_t number = 0;
  int64_t quorum_age_ms = -1;  ///< negative: not the leader, or not confirmed yet
  uint64_t configuration_version = 0;
  MSGPACK_DEFINE_ARRAY(number, quorum_age_ms, configuration_version)
};

/// Control member to leader: a linearizable read of the configuration, or of the last rollout of a service.
struct ConfirmedRead {
  uint64_t call_id = 0;
  std::string rollout_of = {};  ///< service name; empty: read the configuration
  MSGPACK_DEFINE_ARRAY(call_id, rollout_of)
};

/// The answer to a ConfirmedRead.
struct ConfirmedReadResponse {
  uint64_t call_id = 0;
  bool confirmed = false;
  std::string source;                        ///< the operator's document; empty when there is none yet
  std::vector<ServiceRollout> rollout = {};  ///< the rollout asked for; empty: none was ever ordered
  MSGPACK_DEFINE_ARRAY(call_id, confirmed, source, rollout)
};

/// Control member to a joining one: other members to ask.
struct MemberAddresses {
  std::vector<std::string> addresses;
  MSGPACK_DEFINE_ARRAY(addresses)
};

}  // namespace stoat::fleet
