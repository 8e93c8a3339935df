#include "src/placement/policy.h"

#include <array>
#include <functional>

namespace stoat::placement {

namespace {

struct NamedPolicy {
  const char* name;
  std::function<std::unique_ptr<Policy>(const CostModel&)> make;
};

const std::array<NamedPolicy, 5>& all_policies() {
  static const std::array<NamedPolicy, 5> policies{{
      {"round_robin", [](const CostModel&) { return make_round_robin(); }},
      {"least_outstanding", [](const CostModel&) { return make_least_outstanding(); }},
      {"two_choices", [](const CostModel&) { return make_two_choices(); }},
      {"prefix_hash", [](const CostModel&) { return make_prefix_hash(); }},
      {"lowest_ttft", [](const CostModel& costs) { return make_lowest_ttft(costs); }},
  }};
  return policies;
}

}  // namespace

std::unique_ptr<Policy> make_policy(const std::string& name, const CostModel& costs) {
  for (const NamedPolicy& policy : all_policies()) {
    if (name == policy.name) {
      return policy.make(costs);
    }
  }
  return nullptr;
}

bool is_policy(const std::string& name) {
  const CostModel costs;
  return make_policy(name, costs) != nullptr;
}

std::string policy_names() {
  std::string names;
  for (const NamedPolicy& policy : all_policies()) {
    names += names.empty() ? "" : ", ";
    names += policy.name;
  }
  return names;
}

}  // namespace stoat::placement
