#include "src/control/weight_rollout.h"

#include <algorithm>
#include <cmath>

namespace stoat::control {

namespace {

using fleet::BackendRecord;
using fleet::BackendState;
using fleet::ModelVersion;
using fleet::TargetWeights;

/// The model of an engine that lags the most, with the version it should have; empty when none lags.
ModelVersion wanted(const BackendRecord& engine, const TargetWeights& weights) {
  for (const ModelVersion& entry : engine.models) {
    const auto named = weights.find(entry.model);
    if (named != weights.end() && entry.version < named->second.newest()) {
      return ModelVersion{entry.model, named->second.newest()};
    }
  }
  return {};
}

/// Since when an engine should have other weights than it has; nullopt when it has the newest.
std::optional<TimePoint> outdated_since(const BackendRecord& engine, const TargetWeights& weights) {
  const std::string model = wanted(engine, weights).model;
  const auto history = weights.find(model);
  return history == weights.end() ? std::nullopt : history->second.outdated_since(engine.version_of(model));
}

/// The version of the model that wanted() names.
uint64_t oldest_version(const BackendRecord& engine, const TargetWeights& weights) {
  return engine.version_of(wanted(engine, weights).model);
}

bool takes_orders(const BackendRecord& engine) {
  return engine.state == BackendState::kReady && !engine.lost && !engine.models.empty();
}

}  // namespace

void WeightRollout::reset() {
  loads_.clear();
  order_sequences_.clear();
  refused_until_.clear();
  fenced_off_ = false;
}

std::vector<RolloutStep> WeightRollout::plan(const std::vector<BackendRecord>& engines,
                                             const TargetWeights& weights, TimePoint now) {
  std::vector<RolloutStep> steps;
  std::map<std::string, const BackendRecord*> by_id;
  engines_of_.clear();
  for (const BackendRecord& engine : engines) {
    by_id[engine.id] = &engine;
    engines_of_[engine.service] += takes_orders(engine) ? 1 : 0;
  }
  for (auto entry = loads_.begin(); entry != loads_.end();) {
    const auto known = by_id.find(entry->first);
    if (known == by_id.end()) {
      entry = loads_.erase(entry);
      continue;
    }
    if (entry->second.done || !takes_orders(*known->second)) {
      steps.push_back(RolloutStep{RolloutStep::Kind::kRelease, *known->second, entry->second.model,
                                  entry->second.version, 0});
      entry = loads_.erase(entry);
      continue;
    }
    if (entry->second.phase != Phase::kAnnounced) {
      advance(*known->second, entry->second, now, steps);
    }
    ++entry;
  }
  for (const BackendRecord* engine : announced(by_id, weights)) {
    Load& load = loads_.at(engine->id);
    load.version =
        std::max(load.version, weights.at(load.model).newest());  // a newer one may have been named since
    advance(*engine, load, now, steps);
  }
  start_loads(engines, weights, now, steps);
  return steps;
}

std::vector<const BackendRecord*> WeightRollout::lagging(const std::vector<BackendRecord>& engines,
                                                         const TargetWeights& weights, TimePoint now) const {
  std::vector<const BackendRecord*> list;
  for (const BackendRecord& engine : engines) {
    const auto refused = refused_until_.find(engine.id);
    const bool resting = refused != refused_until_.end() && now < refused->second;
    const auto since = outdated_since(engine, weights);
    const bool due = since && now - *since >= options_.start_delay;
    if (takes_orders(engine) && !resting && due && loads_.count(engine.id) == 0) {
      list.push_back(&engine);
    }
  }
  // Each version has its own time limit: the oldest weights go first.
  std::stable_sort(list.begin(), list.end(), [&](const BackendRecord* left, const BackendRecord* right) {
    return oldest_version(*left, weights) < oldest_version(*right, weights);
  });
  return list;
}

std::vector<const BackendRecord*> WeightRollout::announced(
    const std::map<std::string, const BackendRecord*>& engines, const TargetWeights& weights) const {
  std::vector<const BackendRecord*> list;
  for (const auto& [id, load] : loads_) {
    if (load.phase == Phase::kAnnounced && !load.asking) {
      list.push_back(engines.at(id));
    }
  }
  std::stable_sort(list.begin(), list.end(), [&](const BackendRecord* left, const BackendRecord* right) {
    return oldest_version(*left, weights) < oldest_version(*right, weights);
  });
  return list;
}

size_t WeightRollout::bound_of(const std::string& service) const {
  const auto known = engines_of_.find(service);
  const double engines = known == engines_of_.end() ? 0 : static_cast<double>(known->second);
  return static_cast<size_t>(std::ceil(options_.load_share * engines));
}

size_t WeightRollout::under_way_bound(const std::string& service) const {
  const size_t loading = bound_of(service);
  const double emptying = static_cast<double>(loading) * static_cast<double>(options_.announce_lead.count()) /
                          static_cast<double>(options_.first_check.count());
  return loading + static_cast<size_t>(std::ceil(emptying));
}

size_t WeightRollout::ordered_of(const std::string& service) const {
  return static_cast<size_t>(std::count_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
    const Load& load = entry.second;
    return load.service == service && (load.phase != Phase::kAnnounced || load.asking);
  }));
}

void WeightRollout::start_loads(const std::vector<BackendRecord>& engines, const TargetWeights& weights,
                                TimePoint now, std::vector<RolloutStep>& steps) {
  std::map<std::string, size_t> under_way_of;  // by service
  for (const BackendRecord& engine : engines) {
    under_way_of[engine.service] += loads_.count(engine.id);
  }
  for (const BackendRecord* candidate : lagging(engines, weights, now)) {
    const BackendRecord& engine = *candidate;
    const ModelVersion target = wanted(engine, weights);
    if (under_way_of[engine.service] >= under_way_bound(engine.service)) {
      continue;
    }
    Load load;
    load.service = engine.service;
    load.model = target.model;
    load.version = target.version;
    load.started = now;
    load.next = now + options_.announce_lead;
    loads_[engine.id] = load;
    ++under_way_of[engine.service];
    steps.push_back(RolloutStep{RolloutStep::Kind::kAnnounce, engine, target.model, target.version, 0});
  }
}

void WeightRollout::advance(const BackendRecord& engine, Load& load, TimePoint now,
                            std::vector<RolloutStep>& steps) {
  if (engine.version_of(load.model) >= load.version && load.phase != Phase::kAnnounced && !load.asking) {
    load.done = true;
    steps.push_back(RolloutStep{RolloutStep::Kind::kRelease, engine, load.model, load.version, 0});
    return;
  }
  if (load.asking || now < load.next) {
    return;
  }
  if (load.phase == Phase::kOrdered && now - load.started > options_.load_limit) {
    load.phase = Phase::kAnnounced;
    load.started = now;
  }
  if (load.phase == Phase::kAnnounced && ordered_of(load.service) >= bound_of(load.service)) {
    return;  // it goes on emptying
  }
  load.asking = true;
  if (load.phase == Phase::kAnnounced) {
    steps.push_back(RolloutStep{RolloutStep::Kind::kOrder, engine, load.model, load.version,
                                order_sequences_[engine.id]});
  } else {
    steps.push_back(RolloutStep{RolloutStep::Kind::kCheck, engine, load.model, load.version, 0});
  }
}

void WeightRollout::on_order_answer(const std::string& engine, OrderAnswer answer, TimePoint now) {
  const auto found = loads_.find(engine);
  fenced_off_ = fenced_off_ || answer == OrderAnswer::kFenced;
  if (found == loads_.end()) {
    return;
  }
  Load& load = found->second;
  load.asking = false;
  switch (answer) {
    case OrderAnswer::kTaken:
      load.phase = Phase::kOrdered;
      load.next = now + options_.first_check;
      ++order_sequences_[engine];
      break;
    case OrderAnswer::kAlreadyLoaded:
    case OrderAnswer::kConflict:
    case OrderAnswer::kNone:
      // What the engine has now is asked next: the order may have been taken, or another be under way.
      load.phase = Phase::kWaiting;
      load.next = now + (answer == OrderAnswer::kAlreadyLoaded ? Duration(0) : options_.retry_delay);
      break;
    case OrderAnswer::kFenced:
    case OrderAnswer::kRefused:
      load.done = true;
      refused_until_[engine] = now + options_.refusal_rest;
      break;
  }
}

void WeightRollout::on_report(const std::string& engine, const EngineReport& report, TimePoint now) {
  const auto found = loads_.find(engine);
  if (found == loads_.end()) {
    return;
  }
  Load& load = found->second;
  load.asking = false;
  order_sequences_[engine] = report.order_sequence;
  load.next = now + options_.check_interval;
  const auto has = std::find_if(report.models.begin(), report.models.end(),
                                [&](const ModelVersion& entry) { return entry.model == load.model; });
  if (has != report.models.end() && has->version >= load.version && !report.busy) {
    load.done = true;
  } else if (!report.busy) {
    load.phase = Phase::kAnnounced;  // not under way there: order again
  } else {
    load.phase = Phase::kOrdered;
  }
}

}  // namespace stoat::control
