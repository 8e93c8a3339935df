/// The asking router's side of a relay connection: reads the frames of the relaying router. Performs no I/O
/// of its own; the input comes from an evbuffer.
#pragma once

#include <optional>

#include "src/relay/relay_protocol.h"

namespace stoat::relay {

/// Parses frames as they arrive.
class RelayReader {
 public:
  /// What the input holds next.
  enum class Next : uint8_t {
    kMore,          ///< a part of a frame, or nothing
    kConnected,     ///< the backend has accepted the connection
    kNotConnected,  ///< see connect_failure()
    kData,          ///< bytes of the backend are at the front of the input, see data_bytes()
    kEnd,           ///< see end_reason()
    kMalformed,
  };

  /// Removes frame headers and control frames from the front of `input`, up to the next event.
  Next advance(evbuffer* input);
  /// Number of contiguous bytes of the backend at the front of `input`.
  size_t data_bytes(evbuffer* input) const;
  /// The caller has removed `count` bytes of the backend from the input.
  void on_data_removed(size_t count) { data_left_ -= static_cast<uint32_t>(count); }
  ConnectFailure connect_failure() const { return connect_failure_; }
  EndReason end_reason() const { return end_reason_; }
  /// True once the relaying router has announced that it is about to stop.
  bool closing() const { return closing_; }

 private:
  Next read_control_frame(const FrameHeader& header, evbuffer* input);

  uint32_t data_left_ = 0;  ///< of the data frame that is being read
  ConnectFailure connect_failure_ = ConnectFailure::kUnanswered;
  EndReason end_reason_ = EndReason::kReset;
  bool closing_ = false;
};

}  // namespace stoat::relay
