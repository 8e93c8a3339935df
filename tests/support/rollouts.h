/// A rollout of a service from version v1 to v2, as a starting point for tests.
#pragma once

#include "src/fleet/service_rollout.h"

namespace stoat::test {

inline fleet::ServiceRollout make_rollout(fleet::RolloutPhase phase, uint64_t step = 1) {
  fleet::ServiceRollout rollout;
  rollout.service = "s";
  rollout.id = 5;
  rollout.step = step;
  rollout.target_version = "v2";
  rollout.active_versions = {"v1"};
  rollout.duration_ms = 12000;
  rollout.phase = phase;
  rollout.share = phase == fleet::RolloutPhase::kTrial ? 0.07 : 0;
  return rollout;
}

}  // namespace stoat::test
