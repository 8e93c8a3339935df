#include "src/control/weight_rollout.h"

#include <algorithm>
#include <cmath>

namespace stoat::control {

namespace {

using fleet::BackendRecord;
using fleet::BackendState;
using fleet::ModelVersion;
using fleet::TargetWeights;

/// The first outdated model of an engine, with the version that it should have; empty when no model is
/// outdated.
ModelVersion outdated_model(const BackendRecord& engine, const TargetWeights& weights) {
  for (const ModelVersion& entry : engine.models) {
    const auto named = weights.find(entry.model);
    if (named != weights.end() && entry.version < named->second.newest()) {
      return ModelVersion{entry.model, named->second.newest()};
    }
  }
  return {};
}

/// The time since which an engine's weights are outdated; nullopt when it has the newest ones.
std::optional<TimePoint> outdated_since(const BackendRecord& engine, const TargetWeights& weights) {
  const std::string model = outdated_model(engine, weights).model;
  const auto history = weights.find(model);
  return history == weights.end() ? std::nullopt : history->second.outdated_since(engine.version_of(model));
}

/// The engine's version of the model that outdated_model() returns.
uint64_t outdated_model_version(const BackendRecord& engine, const TargetWeights& weights) {
  return engine.version_of(outdated_model(engine, weights).model);
}

bool accepts_orders(const BackendRecord& engine) {
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
  engine_counts_.clear();
  for (const BackendRecord& engine : engines) {
    by_id[engine.id] = &engine;
    engine_counts_[engine.service] += accepts_orders(engine) ? 1 : 0;
  }
  for (auto entry = loads_.begin(); entry != loads_.end();) {
    const auto known = by_id.find(entry->first);
    if (known == by_id.end()) {
      entry = loads_.erase(entry);
      continue;
    }
    if (entry->second.done || !accepts_orders(*known->second)) {
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
  for (const BackendRecord* engine : announced_engines(by_id, weights)) {
    Load& load = loads_.at(engine->id);
    load.version =
        // A newer version may have been named since the announcement.
        std::max(load.version, weights.at(load.model).newest());
    advance(*engine, load, now, steps);
  }
  start_loads(engines, weights, now, steps);
  return steps;
}

std::vector<const BackendRecord*> WeightRollout::outdated_engines(const std::vector<BackendRecord>& engines,
                                                                  const TargetWeights& weights,
                                                                  TimePoint now) const {
  std::vector<const BackendRecord*> list;
  for (const BackendRecord& engine : engines) {
    const auto refused = refused_until_.find(engine.id);
    const bool backing_off = refused != refused_until_.end() && now < refused->second;
    const auto since = outdated_since(engine, weights);
    const bool due = since && now - *since >= options_.start_delay;
    if (accepts_orders(engine) && !backing_off && due && loads_.count(engine.id) == 0) {
      list.push_back(&engine);
    }
  }
  // Each version has a deadline of its own: the oldest weights go first.
  std::stable_sort(list.begin(), list.end(), [&](const BackendRecord* left, const BackendRecord* right) {
    return outdated_model_version(*left, weights) < outdated_model_version(*right, weights);
  });
  return list;
}

std::vector<const BackendRecord*> WeightRollout::announced_engines(
    const std::map<std::string, const BackendRecord*>& engines, const TargetWeights& weights) const {
  std::vector<const BackendRecord*> list;
  for (const auto& [id, load] : loads_) {
    if (load.phase == Phase::kAnnounced && !load.awaiting_answer) {
      list.push_back(engines.at(id));
    }
  }
  std::stable_sort(list.begin(), list.end(), [&](const BackendRecord* left, const BackendRecord* right) {
    return outdated_model_version(*left, weights) < outdated_model_version(*right, weights);
  });
  return list;
}

size_t WeightRollout::max_loading_engines(const std::string& service) const {
  const auto known = engine_counts_.find(service);
  const double engines = known == engine_counts_.end() ? 0 : static_cast<double>(known->second);
  return static_cast<size_t>(std::ceil(options_.load_share * engines));
}

size_t WeightRollout::max_engines_in_progress(const std::string& service) const {
  const size_t loading = max_loading_engines(service);
  const double draining = static_cast<double>(loading) * static_cast<double>(options_.announce_lead.count()) /
                          static_cast<double>(options_.first_check.count());
  return loading + static_cast<size_t>(std::ceil(draining));
}

size_t WeightRollout::count_ordered(const std::string& service) const {
  return static_cast<size_t>(std::count_if(loads_.begin(), loads_.end(), [&](const auto& entry) {
    const Load& load = entry.second;
    return load.service == service && (load.phase != Phase::kAnnounced || load.awaiting_answer);
  }));
}

void WeightRollout::start_loads(const std::vector<BackendRecord>& engines, const TargetWeights& weights,
                                TimePoint now, std::vector<RolloutStep>& steps) {
  std::map<std::string, size_t> in_progress_by_service;
  for (const BackendRecord& engine : engines) {
    in_progress_by_service[engine.service] += loads_.count(engine.id);
  }
  for (const BackendRecord* candidate : outdated_engines(engines, weights, now)) {
    const BackendRecord& engine = *candidate;
    const ModelVersion target = outdated_model(engine, weights);
    if (in_progress_by_service[engine.service] >= max_engines_in_progress(engine.service)) {
      continue;
    }
    Load load;
    load.service = engine.service;
    load.model = target.model;
    load.version = target.version;
    load.started = now;
    load.next_step_at = now + options_.announce_lead;
    loads_[engine.id] = load;
    ++in_progress_by_service[engine.service];
    steps.push_back(RolloutStep{RolloutStep::Kind::kAnnounce, engine, target.model, target.version, 0});
  }
}

void WeightRollout::advance(const BackendRecord& engine, Load& load, TimePoint now,
                            std::vector<RolloutStep>& steps) {
  if (engine.version_of(load.model) >= load.version && load.phase != Phase::kAnnounced &&
      !load.awaiting_answer) {
    load.done = true;
    steps.push_back(RolloutStep{RolloutStep::Kind::kRelease, engine, load.model, load.version, 0});
    return;
  }
  if (load.awaiting_answer || now < load.next_step_at) {
    return;
  }
  if (load.phase == Phase::kOrdered && now - load.started > options_.load_timeout) {
    load.phase = Phase::kAnnounced;
    load.started = now;
  }
  if (load.phase == Phase::kAnnounced && count_ordered(load.service) >= max_loading_engines(load.service)) {
    return;  // it continues to drain
  }
  load.awaiting_answer = true;
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
  load.awaiting_answer = false;
  switch (answer) {
    case OrderAnswer::kTaken:
      load.phase = Phase::kOrdered;
      load.next_step_at = now + options_.first_check;
      ++order_sequences_[engine];
      break;
    case OrderAnswer::kAlreadyLoaded:
    case OrderAnswer::kConflict:
    case OrderAnswer::kNone:
      // Query the engine's state next: the order may have been accepted, or another one may be in progress.
      load.phase = Phase::kOutcomeUnknown;
      load.next_step_at = now + (answer == OrderAnswer::kAlreadyLoaded ? Duration(0) : options_.retry_delay);
      break;
    case OrderAnswer::kFenced:
    case OrderAnswer::kRefused:
      load.done = true;
      refused_until_[engine] = now + options_.refusal_backoff;
      break;
  }
}

void WeightRollout::on_report(const std::string& engine, const EngineReport& report, TimePoint now) {
  const auto found = loads_.find(engine);
  if (found == loads_.end()) {
    return;
  }
  Load& load = found->second;
  load.awaiting_answer = false;
  order_sequences_[engine] = report.order_sequence;
  load.next_step_at = now + options_.check_interval;
  const auto reported = std::find_if(report.models.begin(), report.models.end(),
                                     [&](const ModelVersion& entry) { return entry.model == load.model; });
  if (reported != report.models.end() && reported->version >= load.version && !report.busy) {
    load.done = true;
  } else if (!report.busy) {
    load.phase = Phase::kAnnounced;  // no order in progress: send it again
  } else {
    load.phase = Phase::kOrdered;
  }
}

}  // namespace stoat::control
