#include "src/control/unreadable_bodies.h"

#include "src/events/fleet_events.h"

namespace stoat::control {

void UnreadableBodies::report(const std::string& sender, const Findings& findings, TimePoint now) {
  const Finding& first = findings.list().front();
  if (const auto unlogged = limiter_.admit(first.file + " " + sender, now)) {
    log_.event(events::BodyUnreadable{sender, to_string(first), findings.list().size(), *unlogged});
  }
}

}  // namespace stoat::control
