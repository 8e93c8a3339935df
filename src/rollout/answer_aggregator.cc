#include "src/rollout/answer_aggregator.h"

#include <algorithm>
#include <utility>

namespace stoat::rollout {

namespace {

uint64_t growth(uint64_t now, uint64_t before) { return now > before ? now - before : 0; }

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
  sums.sent += growth(now.sent, before.sent);
  sums.failed += growth(now.failed, before.failed);
  sums.broken += growth(now.broken, before.broken);
  sums.times.resize(std::max(sums.times.size(), now.times.size()));
  for (size_t bucket = 0; bucket < now.times.size(); ++bucket) {
    const uint64_t known = bucket < before.times.size() ? before.times[bucket] : 0;
    sums.times[bucket] += growth(now.times[bucket], known);
  }
}

void AnswerAggregator::on_router(const fleet::RouterLoads& loads) {
  const auto known = routers_.find(loads.router);
  const bool first = known == routers_.end() || known->second.start_id != loads.start_id;
  if (first && !loads.answers_are_complete) {
    return;  // it will tell all of them when its feed begins
  }
  Source& router = routers_[loads.router];
  if (first) {
    router = {};
    router.start_id = loads.start_id;
  }
  for (const fleet::AnswerCount& count : loads.answers) {
    fleet::AnswerTotals& told = router.told[count.key];
    if (!first) {
      add_increase(count.sums, told, own_[count.key]);
      add_increase(count.sums, told, totals_[count.key]);
      changed_.insert(count.key);
    }
    told = count.sums;
  }
}

void AnswerAggregator::on_member(const std::string& member, uint64_t start_id,
                                 const std::vector<fleet::AnswerCount>& answers) {
  Source& source = members_[member];
  if (source.start_id != start_id) {
    source = {};
    source.start_id = start_id;
  }
  for (const fleet::AnswerCount& count : answers) {
    fleet::AnswerTotals& told = source.told[count.key];
    add_increase(count.sums, told, totals_[count.key]);
    told = count.sums;
  }
}

std::vector<fleet::AnswerCount> AnswerAggregator::take_changes() {
  std::vector<fleet::AnswerCount> list;
  for (const fleet::AnswerKey& key : std::exchange(changed_, {})) {
    list.push_back({key, own_.at(key)});
  }
  return list;
}

std::vector<fleet::AnswerCount> AnswerAggregator::own() const { return to_list(own_); }

void AnswerAggregator::keep(const std::set<uint64_t>& rollouts) {
  const auto drop = [&](AnswerTable& table) {
    std::erase_if(table, [&](const auto& entry) { return rollouts.count(entry.first.rollout) == 0; });
  };
  drop(own_);
  drop(totals_);
  std::erase_if(changed_, [&](const fleet::AnswerKey& key) { return rollouts.count(key.rollout) == 0; });
  for (auto* sources : {&routers_, &members_}) {
    for (auto& [name, source] : *sources) {
      drop(source.told);
    }
  }
}

}  // namespace stoat::rollout
