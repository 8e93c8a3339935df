/// A network that delays, loses, doubles and reorders messages, and whose links can be cut one way in
/// silence.
#pragma once

#include <functional>
#include <set>
#include <string>

#include "simulation/event_queue.h"
#include "src/common/random.h"

namespace stoat::simulation {

/// What a network does to messages that are not cut.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration least_delay{500us};
  Duration most_delay{3ms};
};

/// See the head of this file. Addresses are plain names.
class SimulatedNetwork {
 public:
  SimulatedNetwork(EventQueue& events, Random& random) : events_(events), random_(random) {}

  /// Calls `deliver` later, perhaps twice, perhaps never.
  void send(const std::string& from, const std::string& to, const std::function<void()>& deliver) {
    if (cut_.count({from, to}) > 0 || random_.chance(faults.loss)) {
      return;
    }
    deliver_later(from, to, deliver);
    if (random_.chance(faults.duplication)) {
      deliver_later(from, to, deliver);
    }
  }

  void cut_one_way(const std::string& from, const std::string& to) { cut_.emplace(from, to); }
  void heal_all() { cut_.clear(); }
  bool is_cut(const std::string& from, const std::string& to) const { return cut_.count({from, to}) > 0; }

  NetworkFaults faults;

 private:
  void deliver_later(const std::string& from, const std::string& to, const std::function<void()>& deliver) {
    const Duration delay(random_.between(faults.least_delay.count(), faults.most_delay.count()));
    events_.after(delay, [this, from, to, deliver] {
      if (cut_.count({from, to}) == 0) {
        deliver();
      }
    });
  }

  EventQueue& events_;
  Random& random_;
  std::set<std::pair<std::string, std::string>> cut_;
};

}  // namespace stoat::simulation
