/// Checks that the pieces of a stream are passed on whole and in order.
#pragma once

#include <cstdint>

namespace stoat::delivery {

/// What to do with a piece.
enum class PieceVerdict : uint8_t {
  kDeliver,    ///< the next one
  kDuplicate,  ///< passed on before: drop it
  kGap,        ///< one before it is missing: the stream must be resumed
};

/// Counts the pieces passed on.
class StreamAssembler {
 public:
  explicit StreamAssembler(uint32_t next_index = 0) : next_index_(next_index) {}
  PieceVerdict accept(uint32_t index) {
    if (index < next_index_) {
      return PieceVerdict::kDuplicate;
    }
    if (index > next_index_) {
      return PieceVerdict::kGap;
    }
    ++next_index_;
    return PieceVerdict::kDeliver;
  }
  uint32_t next_index() const { return next_index_; }

 private:
  uint32_t next_index_;
};

}  // namespace stoat::delivery
