/// What a router knows of the engines: loads from their homes' digests, and what it has sent them itself.
#pragma once

#include <map>
#include <string>

#include "src/common/time.h"
#include "src/wire/messages.h"

namespace stoat::router {

/// One engine as seen from this router.
struct EngineState {
  wire::EngineLoad load;
  TimePoint load_seen_at{0};
  uint32_t outstanding = 0;  ///< calls of this router
  uint32_t pending_tokens =
      0;                     ///< missing tokens of this router's requests there that have no first token yet
  TimePoint avoid_until{0};  ///< after a refusal that will last for a while
};

/// See the head of this file.
class EngineTable {
 public:
  EngineState& at(const std::string& engine) { return states_[engine]; }
  const EngineState* find(const std::string& engine) const {
    const auto found = states_.find(engine);
    return found == states_.end() ? nullptr : &found->second;
  }

  /// Takes a load report.
  void on_load(const wire::EngineLoad& load, TimePoint now) {
    EngineState& state = states_[load.engine];
    state.load = load;
    state.load_seen_at = now;
  }

  void forget(const std::string& engine) { states_.erase(engine); }
  const std::map<std::string, EngineState>& all() const { return states_; }

 private:
  std::map<std::string, EngineState> states_;
};

}  // namespace stoat::router
