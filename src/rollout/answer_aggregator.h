/// The counts of answers of all routers, as a control member hears of them: from the routers that follow it,
/// and from the other members, each of which tells the sums of its own. Free of I/O.
///
/// All sums only grow, so that a later message makes up for a lost one. A router that comes from another
/// member brings counts that are known already: its first sums here are where counting begins.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/fleet/fleet_messages.h"

namespace stoat::rollout {

using AnswerTable = std::map<fleet::AnswerKey, fleet::AnswerTotals>;

/// See the head of this file.
class AnswerAggregator {
 public:
  void on_router(const fleet::RouterLoads& loads);
  /// `start_id`: of the member; its sums begin anew when it differs.
  void on_member(const std::string& member, uint64_t start_id,
                 const std::vector<fleet::AnswerCount>& answers);
  /// Sums of the own routers that changed since the last call.
  std::vector<fleet::AnswerCount> take_changes();
  /// All of them.
  std::vector<fleet::AnswerCount> own() const;
  /// Over all routers, as far as they are known.
  const AnswerTable& totals() const { return totals_; }
  /// Drops the counts of orders that are not under way any more.
  void keep(const std::set<uint64_t>& rollouts);

 private:
  struct Source {
    uint64_t start_id = 0;
    AnswerTable told;
  };

  std::map<std::string, Source> routers_;  ///< by name
  std::map<std::string, Source> members_;  ///< by internal address
  AnswerTable own_;
  AnswerTable totals_;
  std::set<fleet::AnswerKey> changed_;
};

/// Adds what `now` has more than `before`, per count.
void add_increase(const fleet::AnswerTotals& now, const fleet::AnswerTotals& before,
                  fleet::AnswerTotals& sums);

}  // namespace stoat::rollout
