/// An in-memory file system with injectable faults: loss of unsynced data, torn writes, write errors, bit
/// flips and loss of the whole disk.
#pragma once

#include <map>
#include <string>

#include "src/common/random.h"
#include "src/storage/file_system.h"

namespace stoat::simulation {

/// Keeps the synced content of each file apart from the appended bytes that were not synced yet.
class SimulatedDisk : public storage::FileSystem {
 public:
  explicit SimulatedDisk(uint64_t seed) : random_(seed) {}

  tl::expected<std::optional<std::string>, storage::FileError> read(const std::string& name) override;
  storage::FileResult append(const std::string& name, const std::string& bytes) override;
  storage::FileResult sync(const std::string& name) override;
  storage::FileResult truncate(const std::string& name, uint64_t length) override;
  storage::FileResult replace(const std::string& name, const std::string& bytes) override;

  /// Simulates a power loss: of the unsynced bytes of each file, a prefix of random length survives.
  void lose_power();
  /// Makes the next sync or replace fail through a power loss (see lose_power()).
  void interrupt_next_write() { interrupt_next_write_ = true; }
  /// Replaces the disk by an empty one.
  void wipe();
  /// Makes every write fail from now on, or succeed again.
  void set_failing(bool failing) { failing_ = failing; }
  /// Flips one bit of the byte at `offset` of a synced file. Returns false if `offset` is beyond its end.
  bool flip_bit(const std::string& name, uint64_t offset);
  uint64_t size_of(const std::string& name) const;

 private:
  storage::FileResult check_writable(const std::string& name) const;

  Random random_;
  std::map<std::string, std::string> durable_;
  std::map<std::string, std::string> unsynced_;
  bool failing_ = false;
  bool interrupt_next_write_ = false;
};

}  // namespace stoat::simulation
