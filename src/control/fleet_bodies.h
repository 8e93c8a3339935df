/// Parses and formats the JSON bodies of messages to and from control members, engines and KV stores.
#pragma once

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/common/findings.h"
#include "src/control/engine_interface.h"
#include "src/control/fleet_interface.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/fleet_state.h"

namespace stoat::control {

/// Parses and checks a complete configuration. Every error, including contradictions between its parts, is
/// reported as a finding; nullopt if there are any.
std::optional<fleet::FleetConfiguration> read_configuration(const std::string& text,
                                                            const JsonFieldNames& names, Findings& findings);

/// The value of a body, or what is wrong with it.
template <typename Value>
using BodyResult = tl::expected<Value, Findings>;

/// Parses a heartbeat of the backend `name`.
BodyResult<fleet::BackendRecord> read_heartbeat(const std::string& name, const std::string& text,
                                                const JsonFieldNames& names);

/// Parses the command that names the version of a model's weights that engines must load.
BodyResult<fleet::SetTargetWeights> read_named_weights(const std::string& text);

/// Parses an operator's order to roll out another version of a service. Errors are reported as findings.
fleet::StartServiceRollout read_rollout_order(const std::string& text, const JsonFieldNames& names,
                                              Findings& findings);

/// Formats the state of a service's rollout for operators.
std::string rollout_body(const fleet::ServiceRollout& rollout, const JsonFieldNames& names);

/// Parses an engine's report of its state.
BodyResult<EngineReport> read_report(const std::string& text, const JsonFieldNames& names);

/// Parses the cache events of an engine or a KV store.
BodyResult<CacheEvents> read_cache_events(const std::string& text, const JsonFieldNames& names);

/// Formats an order to an engine to load new weights.
std::string weight_order_body(const LoadWeightsOrder& order, const JsonFieldNames& names);

/// Formats the reply to a heartbeat: later ones should be sent to `address`, an "address:port".
std::string heartbeat_reply_body(const std::string& address, const JsonFieldNames& names);

/// Formats the reply of the router directory. Clients may use it for `lifetime_s` seconds.
std::string routers_body(const std::vector<std::string>& addresses, double lifetime_s);

}  // namespace stoat::control
