/// Accounting of the traffic between the processes of the system, by purpose and by network distance, for
/// metrics and the log. Does no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "src/common/metrics.h"
#include "src/topology/topology.h"
#include "src/wire/messages.h"

namespace stoat::wire {

/// The purpose of sent bytes. to_text() gives the label of each.
enum class Purpose : uint8_t {
  kReplication,    ///< log replication and leader elections
  kConfirmations,  ///< queries for the age of the leader's last quorum confirmation, and answers
  kCalls,          ///< commands and reads sent to the leader
  kStatuses,       ///< states of routers
  kUpdates,        ///< configurations, backend retirements and confirmations for routers
  kBackends,       ///< backend records
  kHeartbeats,     ///< signs that a known backend is alive
  kRouters,        ///< routers that joined, changed or left
  kLoads,          ///< requests in flight
  kCaches,         ///< contents of KV caches
  kPlacements,     ///< prompt parts whose KV cache was recently computed
  kQuotaUsage,     ///< quota usage of tenants
  kQuotaLevels,    ///< quota levels of tenants
  kFullStates,     ///< the full state of a member, for a peer that lacks it
  kOther,          ///< message headers and everything else
};

/// Number of purposes.
inline constexpr size_t kPurposeCount = static_cast<size_t>(Purpose::kOther) + 1;

/// The label of a purpose in metrics and logs.
const char* to_text(Purpose purpose);

/// Bytes by purpose.
class PurposeBytes {
 public:
  uint64_t& operator[](Purpose purpose) { return bytes_[static_cast<size_t>(purpose)]; }
  uint64_t operator[](Purpose purpose) const { return bytes_[static_cast<size_t>(purpose)]; }
  PurposeBytes& operator+=(const PurposeBytes& other);
  uint64_t total() const;
  /// Formats the counts as "loads=812 caches=90"; purposes without bytes are omitted.
  std::string to_text() const;

 private:
  std::array<uint64_t, kPurposeCount> bytes_{};
};

/// Splits the `frame_bytes` bytes of an encoded message by purpose.
PurposeBytes bytes_by_purpose(const Message& message, size_t frame_bytes);

/// Counts the bytes that one process sends to other processes of the system.
class TrafficMeter {
 public:
  void count(const PurposeBytes& bytes, topology::Distance distance) { totals_[index(distance)] += bytes; }
  uint64_t sent(Purpose purpose, topology::Distance distance) const {
    return totals_[index(distance)][purpose];
  }
  /// Adds the bytes counted since the last call to a metrics counter, with the labels `kind` and `distance`.
  void publish(Metrics& metrics, const std::string& counter);
  /// Bytes sent over one distance.
  struct Line {
    const char* distance = "";
    std::string bytes;  ///< as formatted by PurposeBytes::to_text()
  };
  /// Returns the bytes sent since the last call, one line per distance with any.
  std::vector<Line> take_lines();

 private:
  static constexpr size_t kDistanceCount = 3;
  static size_t index(topology::Distance distance) { return static_cast<size_t>(distance); }
  std::array<PurposeBytes, kDistanceCount> totals_;
  std::array<PurposeBytes, kDistanceCount> published_;
  std::array<PurposeBytes, kDistanceCount> logged_;
};

}  // namespace stoat::wire
