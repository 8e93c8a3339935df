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

/// When a request came, and when its caller gives it up.
struct RequestTimes {
  TimePoint arrived{0};
  TimePoint deadline{0};
};

/// What the engines that may take a request promise, as far as a router knows.
struct ServiceOutlook {
  Duration wait{0};         ///< until the first of them has a slot and begins to read it
  Duration answer{0};       ///< from then to its first event
  Duration long_answer{0};  ///< the same of the longest of the service's recent requests
  double taken_share = 0;   ///< slots taken over slots, of all engines of the service; above 1: queues
};

enum class AdmissionVerdict : uint8_t { kSend, kWait, kRefuse };

/// Limits of the decision.
struct AdmissionThresholds {
  /// A queue of so long at an engine is no loss: routers hear of a free slot some 200 ms late, and the engine
  /// would stand idle meanwhile.
  Duration max_useful_engine_queue = 200ms;
  /// How long a request may wait at the router. Loads are told each 100 ms: after one round of news the
  /// router knows where slots became free, and one that is kept longer only stands behind those that engines
  /// queued.
  Duration longest_wait = 100ms;
  /// Below this share of slots taken nothing is refused or held: a few engines are full, not the service, or
  /// what is known is wrong.
  double busy_share = 0.5;
};

/// See the head of this file.
AdmissionVerdict decide(const RequestTimes& request, const ServiceOutlook& outlook,
                        const AdmissionThresholds& limits, TimePoint now);

/// Until when a request may wait at the router for a slot.
TimePoint wait_limit(const RequestTimes& request, const AdmissionThresholds& limits);

}  // namespace stoat::admission
