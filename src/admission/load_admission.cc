#include "src/admission/load_admission.h"

#include <algorithm>

namespace stoat::admission {

namespace {

Duration share_of(Duration time, double share) { return from_seconds(to_seconds(time) * share); }

}  // namespace

TimePoint wait_limit(const RequestTimes& request, const LoadLimits& limits) {
  const Duration objective =
      request.objective > Duration(0) ? request.objective : request.deadline - request.arrived;
  return std::min(request.deadline, request.arrived + share_of(objective, limits.longest_wait));
}

Verdict decide(const RequestTimes& request, const ServiceOutlook& outlook, const LoadLimits& limits,
               TimePoint now) {
  const bool busy = outlook.taken_share >= limits.busy_share;
  if (!busy || outlook.wait <= limits.useful_queue) {
    return Verdict::kSend;
  }
  const Duration headroom = share_of(request.deadline - request.arrived, limits.headroom);
  if (now + outlook.wait + std::max(outlook.answer, headroom) > request.deadline) {
    return Verdict::kRefuse;
  }
  return now < wait_limit(request, limits) ? Verdict::kWait : Verdict::kSend;
}

}  // namespace stoat::admission
