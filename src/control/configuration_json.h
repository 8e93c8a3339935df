/// The JSON forms of the administration API.
#pragma once

#include <nlohmann/json.hpp>

#include "src/common/findings.h"
#include "src/control/command.h"
#include "src/control/state_machine.h"

namespace stoat::control {

nlohmann::json to_json(const PolicyRow& row);
nlohmann::json to_json(const Configuration& configuration);
nlohmann::json to_json(const ChangeItem& item);
nlohmann::json to_json(const HistoryLine& line);
nlohmann::json to_json(const CommandResult& result);

/// Reads the items of a change. Each wrong field becomes a finding that names its place in the body.
std::vector<ChangeItem> items_from_json(const nlohmann::json& items, Findings& findings);

/// The stable names of result codes.
const char* result_name(ResultCode code);

}  // namespace stoat::control
