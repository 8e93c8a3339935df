/// Rollout of a new program version of a service: the operator's order and its progress. Model weights are
/// versioned separately, see control::WeightRollout. Plain data with MessagePack encoding.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace stoat::fleet {

/// Phase of a rollout. The last two are final.
enum class RolloutPhase : uint8_t {
  kWaiting,      ///< no backend of the target version is available yet
  kTrial,        ///< a share of the traffic goes to the target version, whose answers are evaluated
  kSwitching,    ///< all traffic goes to the target version; requests at other versions finish
  kRollingBack,  ///< no new traffic to the target version; not all routers have confirmed this yet
  kCompleted,    ///< the target version is the active one
  kRolledBack,   ///< the target version gets no traffic
};

/// One rollout order and its latest step. Steps are ordered by the replicated log.
struct ServiceRollout {
  std::string service;
  uint64_t id = 0;    ///< unique in the fleet; later orders have higher ids
  uint64_t step = 0;  ///< increases with each change of the fields below
  std::string target_version;
  std::vector<std::string>
      active_versions;         ///< versions that served when the order was accepted; empty: none was known
  int64_t duration_ms = 0;     ///< time from the order to its deadline
  int64_t accepted_at_ms = 0;  ///< Unix time by the clock of the leader that accepted the order
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;           ///< fraction of the service's requests that go to the target version
  bool all_backends = false;  ///< true: the share goes to all backends of the target version; false: to few
                              ///< of them, so that each bears the load that it would have after the switch
  std::string reason;         ///< of the latest step
  MSGPACK_DEFINE_ARRAY(service, id, step, target_version, active_versions, duration_ms, accepted_at_ms, phase,
                       share, all_backends, reason)
  bool operator==(const ServiceRollout&) const = default;
  bool final() const { return phase == RolloutPhase::kCompleted || phase == RolloutPhase::kRolledBack; }
};

/// Command: starts the rollout of a version.
struct StartServiceRollout {
  std::string service;
  std::string target_version;
  int64_t duration_ms = 0;
  int64_t accepted_at_ms = 0;                ///< Unix time by the clock of the leader; set by the leader
  std::vector<std::string> active_versions;  ///< set by the leader
  MSGPACK_DEFINE_ARRAY(service, target_version, duration_ms, accepted_at_ms, active_versions)
};

/// Command: advances a rollout by one step. No effect unless `from_step` is still the latest step.
struct StepServiceRollout {
  std::string service;
  uint64_t id = 0;
  uint64_t from_step = 0;
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;
  bool all_backends = false;
  std::string reason;
  MSGPACK_DEFINE_ARRAY(service, id, from_step, phase, share, all_backends, reason)
};

/// The state of one rollout at a router.
struct AppliedRollout {
  uint64_t id = 0;
  uint64_t step = 0;            ///< the latest step that the router has applied
  uint32_t others_running = 0;  ///< requests in progress at backends of other versions
  uint32_t target_running = 0;  ///< requests in progress at backends of the target version
  MSGPACK_DEFINE_ARRAY(id, step, others_running, target_running)
  bool operator==(const AppliedRollout&) const = default;
};

/// The state of all rollouts at a router, forwarded by the control member that the router is connected to.
struct RouterRollouts {
  std::string router;
  std::vector<AppliedRollout> applied;
  MSGPACK_DEFINE_ARRAY(router, applied)
};

/// Time since an order was accepted, by the leader's steady clock.
struct RolloutAge {
  uint64_t id = 0;
  int64_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(id, age_ms)
};

/// The group that answers are counted in. Groups that differ only in `target` and `engine` are comparable.
struct AnswerKey {
  uint64_t rollout = 0;  ///< id of the order during which they were counted
  bool target = false;   ///< answered by the target version
  std::string engine;    ///< id of the backend; empty for versions other than the target
  std::string route;
  uint8_t condition = 0;  ///< class of prefill work and load, see rollout::classify_condition
  MSGPACK_DEFINE_ARRAY(rollout, target, engine, route, condition)
  bool operator==(const AnswerKey&) const = default;
  bool operator<(const AnswerKey& other) const {
    return std::tie(rollout, target, engine, route, condition) <
           std::tie(other.rollout, other.target, other.engine, other.route, other.condition);
  }
};

/// Counts of answers. They only increase, so that a later message makes up for a lost one.
struct AnswerTotals {
  uint64_t sent = 0;
  uint64_t failed = 0;          ///< error answers of the backend, and malformed ones
  uint64_t broken = 0;          ///< connections that broke or stalled before the answer was complete
  std::vector<uint64_t> times;  ///< histogram of the time to the first event, see rollout::latency_bucket
  MSGPACK_DEFINE_ARRAY(sent, failed, broken, times)
  bool operator==(const AnswerTotals&) const = default;
};

/// The counts of one group.
struct AnswerCount {
  AnswerKey key;
  AnswerTotals sums;
  MSGPACK_DEFINE_ARRAY(key, sums)
};

}  // namespace stoat::fleet

MSGPACK_ADD_ENUM(stoat::fleet::RolloutPhase);
