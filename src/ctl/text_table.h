/// A JSON list of flat objects as a text table for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace stoat::ctl {

/// One line for the keys, one for each object. "none" when the list is empty.
std::string text_table(const nlohmann::json& rows);

}  // namespace stoat::ctl
