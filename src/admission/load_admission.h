/// Whether a request is sent now, waits a little at its router, or is refused since it can't be served in
/// time.
///
/// Answers overload of a whole service: every engine that may take the request has a queue. What stands in an
/// engine's queue can't go to another one that becomes free first, so a request waits at the router as long
/// as it is not urgent to choose, and is placed late. What can't be served in time is told so at once, as
/// long as its caller can still use that time.
#pragma once

#include "src/common/time.h"

namespace stoat::admission {

/// Until when a request is worth what.
struct RequestTimes {
  TimePoint arrived{0};
  Duration objective{0};  ///< from its arrival; 0: none
  TimePoint deadline{0};
};

/// What the engines that may take a request promise, as far as a router knows.
struct ServiceOutlook {
  Duration wait{0};        ///< until the first of them has a slot and begins to read it
  Duration answer{0};      ///< from then to its first event
  double taken_share = 0;  ///< slots taken over slots, of all engines of the service; above 1: queues
};

enum class Verdict : uint8_t { kSend, kWait, kRefuse };

/// Limits of the decision.
struct LoadLimits {
  /// A queue of so long at an engine is no loss: routers hear of a free slot some 200 ms late, and the engine
  /// would stand idle meanwhile.
  Duration useful_queue = 200ms;
  /// Part of its objective that a request may wait at the router. Engines queue by urgency as well, so what
  /// is gained is the late choice alone, and there must be time left to answer.
  double longest_wait = 0.125;
  /// Part of its time that a request must have left when it gets its slot. One with much to read is treated
  /// as the others are up to there: compared by its own reading it would be refused alone whenever the wait
  /// settles just below the deadline. At twice the load that the engines take (replay), 0.30 of the long and
  /// 0.65 of the short prompts were answered without it, 0.59 and 0.65 with it.
  double headroom = 0.125;
  /// Below this share of slots taken nothing is refused or held: a few engines are full, not the service, or
  /// what is known is wrong.
  double busy_share = 0.5;
};

/// See the head of this file.
Verdict decide(const RequestTimes& request, const ServiceOutlook& outlook, const LoadLimits& limits,
               TimePoint now);

/// Until when a request may wait at the router for a slot.
TimePoint wait_limit(const RequestTimes& request, const LoadLimits& limits);

}  // namespace stoat::admission
