/// The replicated state of the fleet: everything that was acknowledged to operators and backends and must not
/// be lost. Commands are applied in log order, and the result is deterministic.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/service_rollout.h"

namespace stoat::fleet {

/// Command: replaces the configuration if the version is higher than the current one.
struct PutConfiguration {
  FleetConfiguration configuration;
  std::string source;  ///< the operator's document, returned unchanged on reads
  MSGPACK_DEFINE_ARRAY(configuration, source)
};

/// Command: sets the version of a model's weights that all engines should have. A lower version has no
/// effect.
struct SetTargetWeights {
  std::string model;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(model, version)
};

/// Command: records that a backend is draining or gone. It never becomes ready again under the same id.
struct RetireBackend {
  std::string id;
  BackendState state = BackendState::kDraining;
  MSGPACK_DEFINE_ARRAY(id, state)
};

/// One retired backend. Kept until kMaxRetired later ones have been retired.
struct RetiredBackend {
  std::string id;
  BackendState state = BackendState::kDraining;
  MSGPACK_DEFINE_ARRAY(id, state)
};

/// Number of retired backends that are remembered; the oldest is dropped first. Delayed heartbeats, which
/// this guards against, arrive within seconds.
inline constexpr size_t kMaxRetired = 4096;

/// An identical rollout order within this time after the first, in milliseconds, counts as a retry whose
/// acknowledgement was lost; a later one counts as a new order. Operators retry for a few seconds only.
inline constexpr int64_t kRepeatedOrderWindowMs = 10000;

/// Result of a rollout order.
enum class RolloutOrderResult : uint8_t {
  kAccepted,           ///< accepted, already running, or already done
  kUnknownService,     ///< not a service with backends in the configuration
  kRolloutInProgress,  ///< a rollout of the service to another version is in progress
};

/// The replicated state machine of the fleet.
class FleetState {
 public:
  void apply(const PutConfiguration& command);
  void apply(const SetTargetWeights& command);
  void apply(const RetireBackend& command);
  RolloutOrderResult apply(const StartServiceRollout& command);
  void apply(const StepServiceRollout& command);

  const FleetConfiguration& configuration() const { return configuration_; }
  const std::string& source() const { return source_; }
  /// The version that each model's weights should have, by model.
  const std::map<std::string, uint64_t>& weights() const { return weights_; }
  /// Retired backends, oldest first.
  const std::vector<RetiredBackend>& retired() const { return retired_; }
  /// The state of a retired backend; kReady when it is not retired.
  BackendState retired_state(const std::string& id) const;
  /// The last rollout of each service, by service name.
  const std::map<std::string, ServiceRollout>& rollouts() const { return rollouts_; }
  /// Number of commands that changed the state; subscribers use it to detect changes.
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
