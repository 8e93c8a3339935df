/// What a router counts of the answers of a service that is moved to another version. Free of I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// Times fall into buckets that grow by the square root of two from 2 ms on; the last one takes all above
/// some 4 s.
inline constexpr size_t kLatencyBuckets = 24;
size_t latency_bucket(Duration time);

/// The circumstances that make answers slow whatever their version: tokens that the back end has to read
/// before its first event, and how much of its slots was taken. Answers of one condition can be compared. A
/// condition is no easier than another when its reading and its load are both no lower.
inline constexpr uint8_t kReadingClasses = 4;
inline constexpr uint8_t kLoadClasses = 3;
inline constexpr uint8_t kConditions = kReadingClasses * kLoadClasses;
uint8_t classify_condition(uint64_t tokens_to_read, uint32_t outstanding, uint32_t slots);
bool no_easier(uint8_t condition, uint8_t than);

/// How a send to a back end ended.
enum class SendOutcome : uint8_t {
  kAnswered,
  kFailed,     ///< an error of the back end, or a malformed answer
  kBroken,     ///< the connection broke or fell silent
  kTimedOut,   ///< no whole answer until the request's time was over
  kAbandoned,  ///< the caller left
  kNotRun,     ///< the back end did not take it, or could not be reached
};

/// One send that is counted.
struct CountedRequest {
  fleet::AnswerKey key;
  TimePoint sent_at{0};
  Duration objective{0};  ///< time to the first event that the route aims at
  bool timed = false;
};

/// See the head of this file.
class AnswerCounter {
 public:
  /// A request goes out to a back end.
  void begin(CountedRequest& send, TimePoint now);
  /// The first event, or the whole answer, has come.
  void first_event(CountedRequest& send, TimePoint now);
  void end(CountedRequest& send, SendOutcome end, TimePoint now);
  /// Drops the counts of orders that are not under way any more.
  void keep(const std::set<uint64_t>& rollouts);

  bool has_changes() const { return !changed_.empty(); }
  /// What changed since the last call.
  std::vector<fleet::AnswerCount> take_changes();
  /// All, which then counts as told.
  std::vector<fleet::AnswerCount> take_all();

 private:
  fleet::AnswerTotals& sums_of(const fleet::AnswerKey& key);

  std::map<fleet::AnswerKey, fleet::AnswerTotals> counts_;
  std::set<fleet::AnswerKey> changed_;
};

}  // namespace stoat::rollout
