// Outlier detection: however backends fail, at least half of them stay in use.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/delivery/outlier_detector.h"

namespace stoat {
namespace {

RC_GTEST_PROP(OutlierProperty, NoMoreThanHalfOfTheBackendsAreEverEjected, ()) {
  delivery::OutlierDetector detector;
  const auto count = *rc::gen::inRange<size_t>(1, 12);
  for (size_t backend = 0; backend < count; ++backend) {
    detector.track("backend-" + std::to_string(backend));
  }
  TimePoint now{1};
  for (int step = 0; step < 100; ++step) {
    now += Duration(*rc::gen::inRange(0, 300000));
    const std::string backend = "backend-" + std::to_string(*rc::gen::inRange<size_t>(0, count));
    if (*rc::gen::inRange(0, 10) == 0) {
      detector.on_success(backend);
    } else {
      detector.on_failure(backend, now);
    }
    RC_ASSERT(detector.ejected(now) * 2 <= count);
  }
}

}  // namespace
}  // namespace stoat
