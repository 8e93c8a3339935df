/// The move of a service's traffic onto another version of its program: an operator's order, and how far it
/// has come. Weights of models have versions of their own; see control::WeightRollout. Plain data with a
/// MessagePack form.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace stoat::fleet {

/// How far a move has come. The last two are final.
enum class RolloutPhase : uint8_t {
  kWaiting,      ///< no back end of the target version is there yet
  kTrial,        ///< a share of the traffic goes to the target version, and is judged
  kSwitching,    ///< all goes there; what runs at other versions is to end
  kRollingBack,  ///< nothing goes there any more; not all routers have confirmed it yet
  kCompleted,    ///< the target version is the active one
  kRolledBack,   ///< the target version gets nothing
};

/// One order, and its newest step. The replicated log orders the steps.
struct ServiceRollout {
  std::string service;
  uint64_t id = 0;    ///< differs between all orders of a fleet; a later order has a higher one
  uint64_t step = 0;  ///< rises with each change of what follows
  std::string target_version;
  std::vector<std::string> active_versions;  ///< that served when the order came; empty: none was known
  int64_t duration_ms = 0;                   ///< from the order to its deadline
  int64_t accepted_at_ms = 0;                ///< wall clock of the leader that took the order
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;  ///< of the service's requests that go to the target version
  bool spread =
      false;  ///< all of its back ends get of the share; else few, each as many as it would in the end
  std::string reason;  ///< of the newest step
  MSGPACK_DEFINE_ARRAY(service, id, step, target_version, active_versions, duration_ms, accepted_at_ms, phase,
                       share, spread, reason)
  bool operator==(const ServiceRollout&) const = default;
  bool final() const { return phase == RolloutPhase::kCompleted || phase == RolloutPhase::kRolledBack; }
};

/// Command: moves a service's traffic onto a version.
struct StartServiceRollout {
  std::string service;
  std::string target_version;
  int64_t duration_ms = 0;
  int64_t accepted_at_ms = 0;                ///< wall clock of the leader; set by it
  std::vector<std::string> active_versions;  ///< set by the leader
  MSGPACK_DEFINE_ARRAY(service, target_version, duration_ms, accepted_at_ms, active_versions)
};

/// Command: takes the next step of an order. Without effect when another step was taken meanwhile.
struct StepServiceRollout {
  std::string service;
  uint64_t id = 0;
  uint64_t from_step = 0;
  RolloutPhase phase = RolloutPhase::kWaiting;
  double share = 0;
  bool spread = false;
  std::string reason;
  MSGPACK_DEFINE_ARRAY(service, id, from_step, phase, share, spread, reason)
};

/// What a router does about an order.
struct AppliedRollout {
  uint64_t id = 0;
  uint64_t step = 0;            ///< the newest that it keeps to
  uint32_t others_running = 0;  ///< its requests under way at back ends of other versions than the target
  uint32_t target_running = 0;  ///< those at the target version's
  MSGPACK_DEFINE_ARRAY(id, step, others_running, target_running)
  bool operator==(const AppliedRollout&) const = default;
};

/// A router's word on all orders, handed on by the member that it follows.
struct RouterRollouts {
  std::string router;
  std::vector<AppliedRollout> applied;
  MSGPACK_DEFINE_ARRAY(router, applied)
};

/// How long ago an order was taken, by the leader's steady clock.
struct RolloutAge {
  uint64_t id = 0;
  int64_t age_ms = 0;
  MSGPACK_DEFINE_ARRAY(id, age_ms)
};

/// Which answers a count is of. Answers of one key can be compared between versions but for `engine`.
struct AnswerKey {
  uint64_t rollout = 0;  ///< id of the order that they were counted under
  bool target = false;   ///< made by the target version
  std::string engine;    ///< id of the back end; empty for other versions than the target
  std::string route;
  uint8_t condition = 0;  ///< what the back end had to read and bear; see rollout::classify_condition
  MSGPACK_DEFINE_ARRAY(rollout, target, engine, route, condition)
  bool operator==(const AnswerKey&) const = default;
  bool operator<(const AnswerKey& other) const {
    return std::tie(rollout, target, engine, route, condition) <
           std::tie(other.rollout, other.target, other.engine, other.route, other.condition);
  }
};

/// Counts of answers. They only grow, so that a later message makes up for a lost one.
struct AnswerTotals {
  uint64_t sent = 0;
  uint64_t failed = 0;          ///< answers that were errors of the back end, or malformed
  uint64_t broken = 0;          ///< connections that broke or fell silent before the answer was whole
  std::vector<uint64_t> times;  ///< answers by the time to their first event; see rollout::latency_bucket
  MSGPACK_DEFINE_ARRAY(sent, failed, broken, times)
  bool operator==(const AnswerTotals&) const = default;
};

/// Counts of the answers of one key.
struct AnswerCount {
  AnswerKey key;
  AnswerTotals sums;
  MSGPACK_DEFINE_ARRAY(key, sums)
};

}  // namespace stoat::fleet

MSGPACK_ADD_ENUM(stoat::fleet::RolloutPhase);
