/// A file system in memory that loses what was not synced, tears writes, fails, and can be wiped.
#pragma once

#include <map>
#include <string>

#include "src/common/random.h"
#include "src/storage/file_system.h"

namespace stoat::simulation {

/// See the head of this file.
class SimulatedDisk : public storage::FileSystem {
 public:
  explicit SimulatedDisk(uint64_t seed) : random_(seed) {}

  tl::expected<std::optional<std::string>, storage::FileError> read(const std::string& name) override;
  storage::FileResult append(const std::string& name, const std::string& bytes) override;
  storage::FileResult sync(const std::string& name) override;
  storage::FileResult truncate(const std::string& name, uint64_t length) override;
  storage::FileResult replace(const std::string& name, const std::string& bytes) override;

  /// The machine loses power: of what was not synced, a random first part survives.
  void lose_power();
  /// The next sync or replace is interrupted by a loss of power: it fails, and lose_power() follows.
  void interrupt_next() { interrupt_next_ = true; }
  /// The disk is replaced by an empty one.
  void wipe();
  /// Every write fails from now on, or again succeeds.
  void set_failing(bool failing) { failing_ = failing; }
  /// Flips one bit of a durable file; false when it is empty.
  bool damage(const std::string& name, uint64_t offset);
  uint64_t size_of(const std::string& name) const;

 private:
  storage::FileResult check(const std::string& name) const;

  Random random_;
  std::map<std::string, std::string> durable_;
  std::map<std::string, std::string> unsynced_;
  bool failing_ = false;
  bool interrupt_next_ = false;
};

}  // namespace stoat::simulation
