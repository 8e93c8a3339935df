#include "src/rollout/answer_aggregator.h"

#include <algorithm>
#include <utility>

namespace stoat::rollout {

namespace {

uint64_t increase(uint64_t now, uint64_t before) { return now > before ? now - before : 0; }

std::vector<fleet::AnswerCount> to_list(const AnswerTable& table) {
  std::vector<fleet::AnswerCount> list;
  list.reserve(table.size());
  for (const auto& [key, sums] : table) {
    list.push_back({key, sums});
  }
  return list;
}

}  // namespace

void add_increase(const fleet::AnswerTotals& now, const fleet::AnswerTotals& before,
                  fleet::AnswerTotals& sums) {
  sums.sent += increase(now.sent, before.sent);
  sums.failed += increase(now.failed, before.failed);
  sums.broken += increase(now.broken, before.broken);
  sums.times.resize(std::max(sums.times.size(), now.times.size()));
  for (size_t bucket = 0; bucket < now.times.size(); ++bucket) {
    const uint64_t known = bucket < before.times.size() ? before.times[bucket] : 0;
    sums.times[bucket] += increase(now.times[bucket], known);
  }
}

void AnswerAggregator::on_router(const fleet::RouterLoads& loads) {
  const auto known = routers_.find(loads.router);
  const bool first = known == routers_.end() || known->second.start_id != loads.start_id;
  if (first && !loads.answers_are_complete) {
    return;  // the router reports all counts when its feed starts
  }
  ReporterState& router = routers_[loads.router];
  if (first) {
    router = {};
    router.start_id = loads.start_id;
  }
  for (const fleet::AnswerCount& count : loads.answers) {
    fleet::AnswerTotals& reported = router.reported[count.key];
    if (!first) {
      add_increase(count.sums, reported, local_[count.key]);
      add_increase(count.sums, reported, totals_[count.key]);
      changed_.insert(count.key);
    }
    reported = count.sums;
  }
}

void AnswerAggregator::on_member(const std::string& member, uint64_t start_id,
                                 const std::vector<fleet::AnswerCount>& answers) {
  ReporterState& source = members_[member];
  if (source.start_id != start_id) {
    source = {};
    source.start_id = start_id;
  }
  for (const fleet::AnswerCount& count : answers) {
    fleet::AnswerTotals& reported = source.reported[count.key];
    add_increase(count.sums, reported, totals_[count.key]);
    reported = count.sums;
  }
}

std::vector<fleet::AnswerCount> AnswerAggregator::take_changes() {
  std::vector<fleet::AnswerCount> list;
  for (const fleet::AnswerKey& key : std::exchange(changed_, {})) {
    list.push_back({key, local_.at(key)});
  }
  return list;
}

std::vector<fleet::AnswerCount> AnswerAggregator::own() const { return to_list(local_); }

void AnswerAggregator::retain_only(const std::set<uint64_t>& rollouts) {
  const auto drop = [&](AnswerTable& table) {
    std::erase_if(table, [&](const auto& entry) { return rollouts.count(entry.first.rollout) == 0; });
  };
  drop(local_);
  drop(totals_);
  std::erase_if(changed_, [&](const fleet::AnswerKey& key) { return rollouts.count(key.rollout) == 0; });
  for (auto* sources : {&routers_, &members_}) {
    for (auto& [name, source] : *sources) {
      drop(source.reported);
    }
  }
}

}  // namespace stoat::rollout
