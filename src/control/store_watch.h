/// Which KV stores answer. A request that names a dead one as its source is held up, so routers must know.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/control/engine_orders.h"

namespace stoat::control {

/// Keeps a question open at each store; one that can't be reached is asked again a little later.
class StoreWatch {
 public:
  explicit StoreWatch(EngineOrders& engines) : engines_(engines) {}

  /// Asks the stores that are due. To be called several times a second on the leader.
  void poll(const std::vector<std::string>& addresses, TimePoint now);
  /// Forgets all, on a change of leadership.
  void reset() { stores_.clear(); }
  /// Stores that answered the last question, in order of their addresses.
  std::vector<std::string> live() const;

 private:
  struct Store {
    bool live = false;
    bool asking = false;
    uint64_t next_event = 0;
    TimePoint next_question{0};
    uint64_t generation = 0;  ///< tells an answer to an earlier watch of the same store
  };
  void ask(const std::string& address, Store& store, TimePoint now);

  EngineOrders& engines_;
  std::map<std::string, Store> stores_;
  uint64_t last_generation_ = 0;
};

}  // namespace stoat::control
