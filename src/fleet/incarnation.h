/// Identifies one incarnation of a back end: the name that it gives itself, and when it started.
///
/// A back end may start again under the name that it had. Its incarnation holds nothing of what the one
/// before held, so everything that is known of a back end is kept under the id of the incarnation:
/// "name@start". A back end that does not tell when it started has a name of its own for each start, and that
/// is its id.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace stoat::fleet {

/// The id of an incarnation. `started_ms`: Unix time of its start; 0: not told.
std::string incarnation_id(std::string_view name, uint64_t started_ms);

/// The name that the back end gives itself.
std::string_view backend_name(std::string_view id);

/// When the incarnation started, in Unix milliseconds; 0: not told.
uint64_t started_ms(std::string_view id);

}  // namespace stoat::fleet
