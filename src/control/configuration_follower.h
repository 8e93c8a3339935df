/// A node's copy of the configuration: takes only higher versions, from changes or from a snapshot.
#pragma once

#include "src/wire/messages.h"

namespace stoat::control {

/// See the head of this file. Free of I/O.
class ConfigurationFollower {
 public:
  /// Starts from what was kept on disk, if anything.
  explicit ConfigurationFollower(Configuration kept = {}) : configuration_(std::move(kept)) {}

  /// Takes what a control member answered. True when the version went up.
  bool on_answer(const wire::NodePollAnswer& answer) {
    const uint64_t before = configuration_.version;
    if (!answer.snapshot.empty() && answer.snapshot.front().version > configuration_.version) {
      configuration_ = answer.snapshot.front();
    }
    for (const VersionedChange& change : answer.changes) {
      if (change.version == configuration_.version + 1) {
        configuration_.apply(change);
      }
    }
    return configuration_.version > before;
  }

  const Configuration& configuration() const { return configuration_; }

 private:
  Configuration configuration_;
};

}  // namespace stoat::control
