#include "simulation/simulated_disk.h"

namespace stoat::simulation {

using storage::FileError;
using storage::FileResult;

FileResult SimulatedDisk::check_writable(const std::string& name) const {
  if (failing_) {
    return tl::make_unexpected(FileError{name, "simulated write failure"});
  }
  return {};
}

tl::expected<std::optional<std::string>, FileError> SimulatedDisk::read(const std::string& name) {
  const auto found = durable_.find(name);
  if (found == durable_.end()) {
    return std::optional<std::string>();
  }
  return std::optional<std::string>(found->second);
}

FileResult SimulatedDisk::append(const std::string& name, const std::string& bytes) {
  if (auto result = check_writable(name); !result) {
    return result;
  }
  unsynced_[name] += bytes;
  return {};
}

FileResult SimulatedDisk::sync(const std::string& name) {
  if (auto result = check_writable(name); !result) {
    return result;
  }
  if (interrupt_next_write_) {
    interrupt_next_write_ = false;
    lose_power();
    return tl::make_unexpected(FileError{name, "power lost"});
  }
  durable_[name] += unsynced_[name];
  unsynced_.erase(name);
  return {};
}

FileResult SimulatedDisk::truncate(const std::string& name, uint64_t length) {
  if (auto result = check_writable(name); !result) {
    return result;
  }
  durable_[name].resize(length);
  unsynced_.erase(name);
  return {};
}

FileResult SimulatedDisk::replace(const std::string& name, const std::string& bytes) {
  if (auto result = check_writable(name); !result) {
    return result;
  }
  if (interrupt_next_write_) {
    interrupt_next_write_ = false;
    if (random_.chance(0.5)) {
      durable_[name] = bytes;  // the rename took effect just before the power loss
    }
    lose_power();
    return tl::make_unexpected(FileError{name, "power lost"});
  }
  durable_[name] = bytes;
  unsynced_.erase(name);
  return {};
}

void SimulatedDisk::lose_power() {
  for (const auto& [name, bytes] : unsynced_) {
    durable_[name] += bytes.substr(0, random_.below(bytes.size() + 1));
  }
  unsynced_.clear();
  interrupt_next_write_ = false;
}

void SimulatedDisk::wipe() {
  durable_.clear();
  unsynced_.clear();
  failing_ = false;
  interrupt_next_write_ = false;
}

bool SimulatedDisk::flip_bit(const std::string& name, uint64_t offset) {
  std::string& content = durable_[name];
  if (offset >= content.size()) {
    return false;
  }
  content[offset] = static_cast<char>(content[offset] ^ 1);
  return true;
}

uint64_t SimulatedDisk::size_of(const std::string& name) const {
  const auto found = durable_.find(name);
  return found == durable_.end() ? 0 : found->second.size();
}

}  // namespace stoat::simulation
