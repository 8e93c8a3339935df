/// A simulated network that delays, drops, duplicates and reorders messages. Links can be cut in one
/// direction without the sender noticing.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "simulation/event_queue.h"
#include "src/common/random.h"

namespace stoat::simulation {

/// How messages are treated on links that are not cut. `loss` and `duplication` are probabilities.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration min_delay{500us};
  Duration max_delay{3ms};
};

/// Endpoints are identified by plain names.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& events, Random& random) : events_(events), random_(random) {}

  /// Schedules `deliver` after a random delay. It may be called twice, or not at all.
  void send(const std::string& from, const std::string& to, const std::function<void()>& deliver) {
    if (cut_links_.count({from, to}) > 0 || random_.chance(faults.loss)) {
      return;
    }
    deliver_later(from, to, deliver);
    if (random_.chance(faults.duplication)) {
      deliver_later(from, to, deliver);
    }
  }

  void cut_one_way(const std::string& from, const std::string& to) { cut_links_.emplace(from, to); }
  void heal_all() { cut_links_.clear(); }
  bool is_cut(const std::string& from, const std::string& to) const {
    return cut_links_.count({from, to}) > 0;
  }

  NetworkFaults faults;

 private:
  void deliver_later(const std::string& from, const std::string& to, const std::function<void()>& deliver) {
    const Duration delay(random_.between(faults.min_delay.count(), faults.max_delay.count()));
    events_.schedule_after(delay, [this, from, to, deliver] {
      if (cut_links_.count({from, to}) == 0) {
        deliver();
      }
    });
  }

  EventQueue& events_;
  Random& random_;
  std::set<std::pair<std::string, std::string>> cut_links_;
};

}  // namespace stoat::simulation
