/// Formatting of a JSON list of flat objects as a human-readable table.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace stoat::ctl {

/// One header line with the keys of the first object, then one line per object; "none" if the list is empty.
std::string format_table(const nlohmann::json& rows);

}  // namespace stoat::ctl
