/// Aggregates the answer counts of all routers at a control member: those of the routers connected to it, and
/// the totals that every other member reports for its own routers. Performs no I/O.
///
/// All counts only increase, so that a later message makes up for a lost one. A router that reconnects from
/// another member has counts that are already included: its first report here is the baseline, and only
/// increases are added.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/fleet/fleet_messages.h"

namespace stoat::rollout {

using AnswerTable = std::map<fleet::AnswerKey, fleet::AnswerTotals>;

/// Adds up the answer counts of all routers at one control member.
class AnswerAggregator {
 public:
  void on_router(const fleet::RouterLoads& loads);
  /// `start_id`: identifies the member's process; its counts restart at 0 when it changes.
  void on_member(const std::string& member, uint64_t start_id,
                 const std::vector<fleet::AnswerCount>& answers);
  /// Counts of the routers connected to this member that changed since the last call.
  std::vector<fleet::AnswerCount> take_changes();
  /// All counts of the routers connected to this member.
  std::vector<fleet::AnswerCount> own() const;
  /// Totals of all routers, as far as known.
  const AnswerTable& totals() const { return totals_; }
  /// Removes the counts of rollouts whose ids are not listed.
  void retain_only(const std::set<uint64_t>& rollouts);

 private:
  struct ReporterState {
    uint64_t start_id = 0;
    AnswerTable reported;
  };

  std::map<std::string, ReporterState> routers_;  ///< by name
  std::map<std::string, ReporterState> members_;  ///< by internal address
  AnswerTable local_;
  AnswerTable totals_;
  std::set<fleet::AnswerKey> changed_;
};

/// Adds the increase from `before` to `now` of each count to `sums`.
void add_increase(const fleet::AnswerTotals& now, const fleet::AnswerTotals& before,
                  fleet::AnswerTotals& sums);

}  // namespace stoat::rollout
