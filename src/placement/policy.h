/// The choice of an engine for a request. One policy a file; the name in the settings picks one.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/common/random.h"
#include "src/placement/cost_model.h"

namespace stoat::placement {

/// What a policy may know of a request.
struct RequestView {
  uint32_t prompt_tokens = 0;
  uint64_t prefix_key = 0;     ///< hash of the first block; equal for requests that share their beginning
  uint32_t stored_tokens = 0;  ///< of the prompt's beginning, in the store of kept blocks
};

/// What a policy may know of an engine that could take it.
struct Candidate {
  std::string_view name;  ///< holds until the next configuration
  uint64_t name_hash = 0;
  uint64_t incarnation = 0;       ///< by the last load report; 0: none came yet
  uint32_t cached_tokens = 0;     ///< of the prompt, as far as the index knows
  uint32_t reported_running = 0;  ///< from the last load report, which lags
  uint32_t reported_tokens = 0;   ///< waiting to be prefilled, from the last load report
  uint32_t outstanding = 0;       ///< requests that this router has there now
  uint32_t pending_tokens =
      0;  ///< missing tokens of this router's requests there that have no first token yet
};

/// A placement policy. Owned by one router.
class Policy {
 public:
  virtual ~Policy() = default;
  /// The position of the engine to use. `candidates` is not empty.
  virtual size_t choose(const RequestView& request, const std::vector<Candidate>& candidates,
                        Random& random) = 0;
};

std::unique_ptr<Policy> make_round_robin();
std::unique_ptr<Policy> make_least_outstanding();
std::unique_ptr<Policy> make_two_choices();
std::unique_ptr<Policy> make_prefix_hash();
/// `costs` must outlive the policy.
std::unique_ptr<Policy> make_lowest_ttft(const CostModel& costs);

/// The policy of a name, or nullptr: round_robin, least_outstanding, two_choices, prefix_hash, lowest_ttft.
std::unique_ptr<Policy> make_policy(const std::string& name, const CostModel& costs);

/// Whether make_policy() knows the name.
bool is_policy(const std::string& name);
/// The names of all policies, for messages.
std::string policy_names();

}  // namespace stoat::placement
