#include "src/admission/load_admission.h"

#include <algorithm>

namespace stoat::admission {

TimePoint wait_limit(const RequestTimes& request, const AdmissionThresholds& limits) {
  return std::min(request.deadline, request.arrived + limits.longest_wait);
}

AdmissionVerdict decide(const RequestTimes& request, const ServiceOutlook& outlook,
                        const AdmissionThresholds& limits, TimePoint now) {
  const bool busy = outlook.taken_share >= limits.busy_share;
  if (!busy || outlook.wait <= limits.max_useful_engine_queue) {
    return AdmissionVerdict::kSend;
  }
  // All are compared as if they had as much to read as the longest. Compared by its own reading a long prompt
  // would be refused alone, whenever the wait settles just below the deadline: at twice the load that the
  // engines take (replay), 0.30 of the long and 0.65 of the short prompts were answered, with it 0.50 and
  // 0.64. While a service is that busy its engines never stand idle for it.
  if (now + outlook.wait + std::max(outlook.answer, outlook.long_answer) > request.deadline) {
    return AdmissionVerdict::kRefuse;
  }
  return now < wait_limit(request, limits) ? AdmissionVerdict::kWait : AdmissionVerdict::kSend;
}

}  // namespace stoat::admission
