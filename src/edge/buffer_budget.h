/// Limits the bytes that a process buffers for clients and backends that read slowly, over all connections.
/// Without a limit, a thousand clients that never read, or engines that read their requests slowly, fill the
/// process's memory.
#pragma once

#include <cstddef>

namespace stoat::edge {

/// Counts the buffered bytes against a limit.
class BufferBudget {
 public:
  explicit BufferBudget(size_t limit) : limit_(limit) {}
  size_t used() const { return used_; }
  /// Returns true if this many more bytes may be buffered.
  bool has_room(size_t more) const { return more <= limit_ && used_ <= limit_ - more; }

 private:
  friend class BufferReservation;
  size_t limit_;
  size_t used_ = 0;
};

/// The bytes that one connection buffers in one direction; released at its end. `budget` must outlive it.
class BufferReservation {
 public:
  explicit BufferReservation(BufferBudget& budget) : budget_(budget) {}
  ~BufferReservation() { set(0); }
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;

  size_t bytes() const { return bytes_; }
  void set(size_t bytes) {
    budget_.used_ += bytes;
    budget_.used_ -= bytes_;
    bytes_ = bytes;
  }

 private:
  BufferBudget& budget_;
  size_t bytes_ = 0;
};

}  // namespace stoat::edge
