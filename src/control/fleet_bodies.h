/// Reads and writes the JSON bodies of requests to control members, engines and stores.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/common/findings.h"
#include "src/control/engine_interface.h"
#include "src/control/fleet_interface.h"
#include "src/fleet/backend_record.h"
#include "src/fleet/fleet_configuration.h"
#include "src/fleet/fleet_state.h"

namespace stoat::control {

/// A whole configuration. Everything wrong with it, its contradictions included, becomes a finding.
std::optional<fleet::FleetConfiguration> read_configuration(const std::string& text,
                                                            const JsonFieldNames& names, Findings& findings);

/// A heartbeat of the back end that calls itself `name`; nullopt when it can't be read.
std::optional<fleet::BackendRecord> read_heartbeat(const std::string& name, const std::string& text,
                                                   const JsonFieldNames& names);

/// A named version of weights; nullopt when it can't be read.
std::optional<fleet::SetTargetWeights> read_named_weights(const std::string& text);

/// An operator's order to move a service to another version; what is wrong with it becomes findings.
fleet::StartServiceRollout read_rollout_order(const std::string& text, const JsonFieldNames& names,
                                              Findings& findings);

/// The state of a service's rollout as operators see it.
std::string rollout_body(const fleet::ServiceRollout& rollout, const JsonFieldNames& names);

std::optional<EngineReport> read_report(const std::string& text, const JsonFieldNames& names);

/// What a cache of an engine or a store tells of its changes; nullopt when it is malformed.
std::optional<CacheEvents> read_cache_events(const std::string& text, const JsonFieldNames& names);

std::string order_body(const LoadWeightsOrder& order, const JsonFieldNames& names);

/// The answer to a heartbeat: later ones should go to `address`.
std::string heartbeat_answer(const std::string& address, const JsonFieldNames& names);

/// The answer of the directory of routers.
std::string routers_body(const std::vector<std::string>& addresses, double lifetime_s);

}  // namespace stoat::control
