/// Identifies the build of this program in the log and in the metrics.
#pragma once

#include <map>
#include <string>

namespace stoat {

inline constexpr char kBuildVersion[] = STOAT_VERSION;

/// The commit that the program was built from; "unknown" if it was not built in a repository.
const char* build_commit();

/// Labels of the metric stoat_build_info.
std::map<std::string, std::string> build_labels();

}  // namespace stoat
