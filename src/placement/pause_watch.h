/// How far short prompts are kept away from engines that read long ones. While an engine reads a long prompt,
/// all that runs there waits; on some engines one reading after another makes streams late, on others it
/// never does.
#pragma once

#include <cstdint>

namespace stoat::placement {

/// `late_permille`: the streams of a service, in thousandths, that have lately paused for longer than their
/// route allows. 0 while hardly any does, 1 from a few in a hundred on.
double lane_strength(uint32_t late_permille);

}  // namespace stoat::placement
