/// Bytes that a process holds for callers and back ends who do not take them, bounded over all connections.
/// Without a bound a thousand callers that never read, or engines that take their requests slowly, fill the
/// process's memory.
#pragma once

#include <cstddef>

namespace stoat::edge {

/// See the head of this file.
class HeldBytes {
 public:
  explicit HeldBytes(size_t limit) : limit_(limit) {}
  size_t used() const { return used_; }
  /// True when so many bytes more may be held.
  bool has_room(size_t more) const { return more <= limit_ && used_ <= limit_ - more; }

 private:
  friend class HeldShare;
  size_t limit_;
  size_t used_ = 0;
};

/// What one connection holds of it, in one direction; given back with its end. `total` has to outlive it.
class HeldShare {
 public:
  explicit HeldShare(HeldBytes& total) : total_(total) {}
  ~HeldShare() { set(0); }
  HeldShare(const HeldShare&) = delete;
  HeldShare& operator=(const HeldShare&) = delete;

  size_t bytes() const { return bytes_; }
  void set(size_t bytes) {
    total_.used_ += bytes;
    total_.used_ -= bytes_;
    bytes_ = bytes;
  }

 private:
  HeldBytes& total_;
  size_t bytes_ = 0;
};

}  // namespace stoat::edge
