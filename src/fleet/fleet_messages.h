/// What routers and control members send one another about the fleet.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/fleet_state.h"

namespace stoat::fleet {

/// How many requests a router has under way at a back end.
struct BackendLoad {
  std::string backend;
  uint32_t outstanding = 0;
  uint32_t prefill_tokens = 0;  ///< of requests without a first event yet
  MSGPACK_DEFINE_ARRAY(backend, outstanding, prefill_tokens)
};

/// Router to each control member, a few times a second.
struct RouterStatus {
  RouterRecord router;
  uint64_t sequence = 0;               ///< echoed by the answer
  uint64_t configuration_version = 0;  ///< that it has in force
  uint64_t registry_digest = 0;        ///< of the back ends that it knows
  std::vector<BackendLoad> loads;
  MSGPACK_DEFINE_ARRAY(router, sequence, configuration_version, registry_digest, loads)
};

/// A back end, or a store of KV cache, holds a chain of prompt parts.
struct ChainPlacement {
  std::string holder;           ///< id of the back end, or address of the store
  uint64_t weights = 0;         ///< version that made it
  std::vector<uint64_t> links;  ///< hashes of the chain up to each shared part
  MSGPACK_DEFINE_ARRAY(holder, weights, links)
};

/// Router to the leader, and on to the other routers: what was read lately.
struct PlacementNews {
  std::vector<ChainPlacement> placements;
  MSGPACK_DEFINE_ARRAY(placements)
};

/// What an engine or a store holds of one part of prompts.
struct PartHolding {
  uint64_t part = 0;     ///< placement::part_hash
  uint64_t weights = 0;  ///< version that made it
  uint32_t tokens = 0;   ///< from its beginning; 0: nothing any more
  MSGPACK_DEFINE_ARRAY(part, weights, tokens)
};

/// What has changed in one cache.
struct CacheChanges {
  std::string holder;     ///< id of the back end; address of a store
  bool store = false;     ///< it is a store
  bool followed = false;  ///< its changes come to the sender; without, nothing new will be told
  bool anew = false;      ///< what was told before counts no more
  std::vector<PartHolding> holdings;
  MSGPACK_DEFINE_ARRAY(holder, store, followed, anew, holdings)
};

/// Leader to router: changes in caches, of the parts that prompts share.
struct CacheNews {
  std::vector<CacheChanges> caches;
  MSGPACK_DEFINE_ARRAY(caches)
};

/// A version of a model's weights that was named, and how long ago as far as the sender knows.
struct NamedVersion {
  std::string model;
  uint64_t version = 0;
  int64_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(model, version, age_ms)
};

/// Control member to router: the answer to a status, or unprompted when something has changed.
struct FleetUpdate {
  uint64_t answers = 0;  ///< sequence of the status that is answered; 0: unprompted
  bool leads = false;
  /// Since a quorum last confirmed the sender as leader with all that is committed applied; negative: not.
  int64_t quorum_age_ms = -1;
  uint64_t configuration_version = 0;             ///< that the sender holds
  std::vector<FleetConfiguration> configuration;  ///< empty or one
  bool registry_given = false;
  std::vector<BackendRecord> registry;  ///< counts when registry_given
  std::vector<RetiredBackend> retired;  ///< recent ones
  std::vector<NamedVersion> weights;    ///< the newest few of each model, oldest first
  std::vector<std::string> members;     ///< "address:port" of the internal protocol of each control member
  uint32_t router_count = 0;            ///< live routers
  std::vector<BackendLoad> loads;       ///< of all other routers together
  std::vector<std::string> stores;      ///< addresses of KV stores that answer; counts from the leader only
  MSGPACK_DEFINE_ARRAY(answers, leads, quorum_age_ms, configuration_version, configuration, registry_given,
                       registry, retired, weights, members, router_count, loads, stores)
};

/// Control member to control member: heartbeats that came in there.
struct HeartbeatBatch {
  std::vector<BackendRecord> records;
  MSGPACK_DEFINE_ARRAY(records)
};

/// Control member to the leader: the configuration, confirmed to be the newest.
struct ConfirmedRead {
  uint64_t call_id = 0;
  MSGPACK_DEFINE_ARRAY(call_id)
};

/// The answer to a ConfirmedRead.
struct ConfirmedReadAnswer {
  uint64_t call_id = 0;
  bool confirmed = false;
  std::string source;  ///< the operator's document; empty when there is none yet
  MSGPACK_DEFINE_ARRAY(call_id, confirmed, source)
};

/// Control member to one that asks to join: whom else to ask.
struct MemberAddresses {
  std::vector<std::string> addresses;
  MSGPACK_DEFINE_ARRAY(addresses)
};

}  // namespace stoat::fleet
