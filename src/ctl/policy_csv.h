/// The policy table as comma-separated values, as a spreadsheet saves it.
#pragma once

#include <string>

#include "src/common/findings.h"
#include "src/control/configuration.h"

namespace stoat::ctl {

/// Reads a table. Everything wrong becomes a finding with its row and column; the rows read so far are
/// returned. Columns may stand in any order; kind and name are required, the others have defaults.
control::PolicyTable parse_policy_csv(const std::string& file, const std::string& text, Findings& findings);

/// Writes a table with all columns.
std::string to_policy_csv(const control::PolicyTable& table);

/// The lines in which two tables differ: "- " before rows of `before`, "+ " before rows of `after`.
std::string diff_tables(const control::PolicyTable& before, const control::PolicyTable& after);

}  // namespace stoat::ctl
