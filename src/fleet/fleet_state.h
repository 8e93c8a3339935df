/// The replicated part of the fleet's state: what was acknowledged to operators and back ends and must never
/// be forgotten. Applied in log order; deterministic.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/service_rollout.h"

namespace stoat::fleet {

/// Puts a whole configuration in force when its version is above the one held.
struct PutConfiguration {
  FleetConfiguration configuration;
  std::string source;  ///< the operator's document, given back as it came
  MSGPACK_DEFINE_ARRAY(configuration, source)
};

/// Names the version of a model's weights that all engines are to have. A lower one changes nothing.
struct SetTargetWeights {
  std::string model;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(model, version)
};

/// Records that a back end is draining or gone. It never becomes ready again under the same id.
struct RetireBackend {
  std::string id;
  BackendState state = BackendState::kDraining;
  MSGPACK_DEFINE_ARRAY(id, state)
};

/// One retired back end. Kept for kMaxRetired retirements after it.
struct RetiredBackend {
  std::string id;
  BackendState state = BackendState::kDraining;
  MSGPACK_DEFINE_ARRAY(id, state)
};

/// How many retired back ends are remembered; the oldest goes first. A late heartbeat comes within seconds.
inline constexpr size_t kMaxRetired = 4096;

/// An order that comes so long after the same one was taken is a new one; before, the same again, whose
/// acknowledgement was lost. Operators repeat orders for some seconds only.
inline constexpr int64_t kRepeatedOrderMs = 10000;

/// How the state took an order of a rollout.
enum class RolloutOrderResult : uint8_t {
  kTaken,              ///< it runs, runs already, or is done
  kUnknownService,     ///< no service of the configuration
  kRolloutInProgress,  ///< the service is being moved to another version
};

/// See the head of this file.
class FleetState {
 public:
  void apply(const PutConfiguration& command);
  void apply(const SetTargetWeights& command);
  void apply(const RetireBackend& command);
  RolloutOrderResult apply(const StartServiceRollout& command);
  void apply(const StepServiceRollout& command);

  const FleetConfiguration& configuration() const { return configuration_; }
  const std::string& source() const { return source_; }
  /// The named version of each model's weights.
  const std::map<std::string, uint64_t>& weights() const { return weights_; }
  /// Retired back ends, oldest first.
  const std::vector<RetiredBackend>& retired() const { return retired_; }
  /// The state of a retired back end; kReady when it is not retired.
  BackendState retired_state(const std::string& id) const;
  /// The last rollout of each service.
  const std::map<std::string, ServiceRollout>& rollouts() const { return rollouts_; }
  /// Counts what was applied with an effect; lets followers see that something is new.
  uint64_t revision() const { return revision_; }
  MSGPACK_DEFINE_ARRAY(configuration_, source_, weights_, retired_, revision_, rollouts_)

 private:
  FleetConfiguration configuration_;
  std::string source_;
  std::map<std::string, uint64_t> weights_;
  std::vector<RetiredBackend> retired_;
  uint64_t revision_ = 0;
  std::map<std::string, ServiceRollout> rollouts_;  ///< by service
};

}  // namespace stoat::fleet
