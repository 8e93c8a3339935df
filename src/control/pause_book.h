/// Which share of a service's streams has lately paused for longer than allowed, over all routers of the
/// fleet. With hundreds of routers each sees a stream or two a second, too few to learn from alone. Free of
/// I/O.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"
#include "src/fleet/revision_table.h"

namespace stoat::control {

/// See the head of this file. Older streams count less and less.
class PauseBook {
 public:
  void add(const fleet::StreamPauses& pauses, TimePoint now);
  /// Lets what is old count less. To be called a few times a second.
  void update(TimePoint now);
  /// In thousandths, by service.
  const fleet::RevisionTable<std::string, uint32_t>& shares() const { return shares_; }

 private:
  struct Counts {
    double streams = 0;
    double late = 0;
    TimePoint at{0};
  };
  static void decay(Counts& counts, TimePoint now);

  std::map<std::string, Counts> counts_;  ///< by service
  fleet::RevisionTable<std::string, uint32_t> shares_;
};

}  // namespace stoat::control
