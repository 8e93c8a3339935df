/// Counts the answers of a service during a rollout, at one router. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/service_rollout.h"

namespace stoat::rollout {

/// Histogram of times: bucket bounds grow by a factor of the square root of two from 2 ms on; the last bucket
/// holds everything above about 4 s.
inline constexpr size_t kLatencyBuckets = 24;
size_t latency_bucket(Duration time);

/// A condition classifies what makes answers slow with any version: the tokens to prefill before the
/// first event, and the fraction of the slots in use. Answers under the same condition are comparable. A
/// condition is at least as hard as another when both its prefill class and its load class are at least as
/// high.
inline constexpr uint8_t kPrefillClasses = 4;
inline constexpr uint8_t kLoadClasses = 3;
inline constexpr uint8_t kConditionCount = kPrefillClasses * kLoadClasses;
uint8_t classify_condition(uint64_t prefill_tokens, uint32_t outstanding, uint32_t slots);
bool is_at_least_as_hard(uint8_t condition, uint8_t base);

/// How the sending of a request to a backend ended.
enum class SendOutcome : uint8_t {
  kAnswered,
  kFailed,     ///< an error of the backend, or a malformed answer
  kBroken,     ///< the connection broke or stalled
  kTimedOut,   ///< no complete answer before the request's time-out
  kAbandoned,  ///< the caller left
  kNotRun,     ///< the backend rejected it, or could not be reached
};

/// One request sent to a backend, as counted.
struct CountedRequest {
  fleet::AnswerKey key;
  TimePoint sent_at{0};
  Duration objective{0};  ///< the route's target for the time to the first event
  bool timed = false;     ///< the time to the first event was counted
};

/// The answer counts of one router.
class AnswerCounter {
 public:
  /// A request is sent to a backend.
  void begin(CountedRequest& request, TimePoint now);
  /// The first event, or the whole answer, has arrived.
  void first_event(CountedRequest& request, TimePoint now);
  void end(CountedRequest& request, SendOutcome end, TimePoint now);
  /// Removes the counts of rollouts whose ids are not listed.
  void retain_only(const std::set<uint64_t>& rollouts);

  bool has_changes() const { return !changed_.empty(); }
  /// The counts that changed since the last call.
  std::vector<fleet::AnswerCount> take_changes();
  /// All counts; clears the list of changes.
  std::vector<fleet::AnswerCount> take_all();

 private:
  fleet::AnswerTotals& sums_of(const fleet::AnswerKey& key);

  std::map<fleet::AnswerKey, fleet::AnswerTotals> counts_;
  std::set<fleet::AnswerKey> changed_;
};

}  // namespace stoat::rollout
