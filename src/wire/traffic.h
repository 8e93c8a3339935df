/// What the connections between the system's own processes carry: bytes by purpose and by distance, for
/// metrics and for the log. Free of I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/common/metrics.h"
#include "src/topology/topology.h"
#include "src/wire/messages.h"

namespace stoat::wire {

/// What bytes are sent for.
enum class Purpose : uint8_t {
  kLog,            ///< replication and elections
  kConfirmations,  ///< questions for the leader's last confirmation, and answers
  kCalls,          ///< commands and reads that go to the leader
  kStatuses,       ///< routers' states
  kUpdates,        ///< configurations, retirements, confirmations for routers
  kBackends,       ///< records of back ends
  kHeartbeats,     ///< marks that a known back end lives
  kRouters,        ///< routers that came, changed or went
  kLoads,          ///< requests under way
  kCaches,         ///< what caches hold
  kPlacements,     ///< prompts just read
  kSpending,       ///< of tenants with a quota
  kLevels,         ///< of their quotas
  kWholes,         ///< all that a member knows, for one that lacks it
  kOther,          ///< heads of messages, and all else
};

/// Number of purposes.
inline constexpr size_t kPurposes = static_cast<size_t>(Purpose::kOther) + 1;

/// The label of a purpose in metrics and logs.
const char* to_text(Purpose purpose);

/// Bytes by purpose.
class PurposeBytes {
 public:
  uint64_t& operator[](Purpose purpose) { return bytes_[static_cast<size_t>(purpose)]; }
  uint64_t operator[](Purpose purpose) const { return bytes_[static_cast<size_t>(purpose)]; }
  PurposeBytes& operator+=(const PurposeBytes& other);
  uint64_t total() const;
  /// "loads=812 caches=90", without those that have none.
  std::string to_text() const;

 private:
  std::array<uint64_t, kPurposes> bytes_{};
};

/// Divides a message of `frame_bytes` over what it is for.
PurposeBytes bytes_by_purpose(const Message& message, size_t frame_bytes);

/// What one process has sent to others of the system.
class TrafficMeter {
 public:
  void count(const PurposeBytes& bytes, topology::Distance distance) { sums_[index(distance)] += bytes; }
  uint64_t sent(Purpose purpose, topology::Distance distance) const {
    return sums_[index(distance)][purpose];
  }
  /// Adds what was counted since the last call to a counter with the labels `kind` and `distance`.
  void publish(Metrics& metrics, const std::string& counter);
  /// What was sent since the last call, a line for each distance that has something.
  struct Line {
    const char* distance = "";
    std::string bytes;  ///< PurposeBytes::to_text
  };
  std::vector<Line> take_lines();

 private:
  static constexpr size_t kDistances = 3;
  static size_t index(topology::Distance distance) { return static_cast<size_t>(distance); }
  std::array<PurposeBytes, kDistances> sums_;
  std::array<PurposeBytes, kDistances> published_;
  std::array<PurposeBytes, kDistances> logged_;
};

}  // namespace stoat::wire
