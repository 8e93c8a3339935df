/// Decides whether a request is sent now, waits briefly at its router, or is refused because it can't be
/// served before its deadline.
///
/// This handles overload of a whole service, where every engine that may take the request has a queue. A
/// request in an engine's queue can't move to another engine that becomes free first. A request therefore
/// waits at the router while the choice of an engine is not urgent, and is placed late. Requests that can't
/// be served in time are refused immediately, while the caller can still use the remaining time.
#pragma once

#include "src/common/time.h"

namespace stoat::admission {

/// Arrival time and deadline of a request.
struct RequestTimes {
  TimePoint arrived{0};
  TimePoint deadline{0};
};

/// What a router expects of the engines that may take a request.
struct ServiceOutlook {
  Duration wait{0};         ///< until the first of them has a free slot and begins to process the prompt
  Duration answer{0};       ///< from then until the first event of the response
  Duration long_answer{0};  ///< the same for the slowest of the service's recent requests
  /// Occupied slots divided by all slots of the service's engines; above 1 if engines have queues.
  double taken_share = 0;
};

enum class AdmissionVerdict : uint8_t { kSend, kWait, kRefuse };

/// Thresholds of the decision.
struct AdmissionThresholds {
  /// An engine queue up to this long costs nothing: routers learn of a free slot about 200 ms late, and
  /// without a queue the engine would be idle for that time.
  Duration max_useful_engine_queue = 200ms;
  /// Maximum time a request waits at the router. Engine loads are reported every 100 ms. After one round of
  /// reports, the router knows where slots became free; a request held longer only ends up behind those
  /// already queued at engines.
  Duration max_router_wait = 100ms;
  /// Below this fraction of occupied slots, no request is refused or held. Either only a few engines are full
  /// and not the service, or the load reports are wrong.
  double busy_share = 0.5;
};

/// Returns whether a request is to be sent, to wait or to be refused at time `now`.
AdmissionVerdict decide(const RequestTimes& request, const ServiceOutlook& outlook,
                        const AdmissionThresholds& limits, TimePoint now);

/// Returns the time until which a request may wait at the router for a slot.
TimePoint wait_limit(const RequestTimes& request, const AdmissionThresholds& limits);

}  // namespace stoat::admission
