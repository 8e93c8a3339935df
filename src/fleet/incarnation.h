/// Ids of backend incarnations: the self-chosen name of a backend and its start time.
///
/// A backend may restart under the same name, without the requests and caches of its previous incarnation.
/// All information about backends is therefore keyed by incarnation: "name@start". A backend that does not
/// report its start time must use a new name for each start, and that name is its id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stoat::fleet {

/// The id of an incarnation. `started_ms`: Unix time of its start in milliseconds; 0: not reported.
std::string incarnation_id(std::string_view name, uint64_t started_ms);

/// The self-chosen name of the backend, without the start time.
std::string_view backend_name(std::string_view id);

/// Of two incarnations of one backend, the one that started later. Either may be empty: unknown.
std::string newer_incarnation(const std::string& first, const std::string& second);

/// Start time of the incarnation as Unix time in milliseconds; 0: not reported.
uint64_t started_ms(std::string_view id);

}  // namespace stoat::fleet
