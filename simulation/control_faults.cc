// ControlSimulation: load and faults drawn from the seed, and the whole run.
#include "simulation/control_simulation.h"
#include "src/common/hash.h"

namespace stoat::simulation {

namespace {

constexpr Duration kHealLimit = 15s;
constexpr char kTenant[] = "tenant";

}  // namespace

using control::ChangeConfiguration;
using control::ClaimKey;
using control::CommandResult;
using control::ResultCode;

void ControlSimulation::operator_change(uint64_t base_version) {
  ChangeConfiguration change;
  change.operator_request_id = "request-" + std::to_string(++last_operator_request_);
  change.operator_name = "operator-" + std::to_string(random_.below(3));
  change.base_version = base_version;
  change.items.emplace_back(control::Tenant{"tenant-" + std::to_string(last_operator_request_), "", {}});
  sent_changes_.push_back(change);
  start_call(change, [this, change](const CommandResult& result) { note_change_result(change, result); });
}

void ControlSimulation::start_read() {
  const int leader_now = leader();
  const size_t target = leader_now >= 0 && random_.chance(0.7) ? static_cast<size_t>(leader_now)
                                                               : random_.below(members_.size());
  const uint64_t token = ++last_token_;
  reads_[token] = Read{std::max(acknowledged_version_, read_version_), target};
  members_[target]->run([token](control::ControlCore& core, TimePoint now) { core.read(token, now); });
}

void ControlSimulation::add_client_load() {
  if (random_.chance(0.05)) {
    operator_change(acknowledged_version_);
    if (random_.chance(0.5)) {
      operator_change(acknowledged_version_);  // another operator races under the same version
    }
  }
  if (!sent_changes_.empty() && random_.chance(0.02)) {
    const ChangeConfiguration change = sent_changes_[random_.below(sent_changes_.size())];
    start_call(change, [this, change](const CommandResult& result) { note_change_result(change, result); });
  }
  if (random_.chance(0.1)) {
    ClaimKey claim;
    claim.tenant = kTenant;
    claim.key = "key-" + std::to_string(random_.below(300));
    claim.digest = hash_bytes(claim.key);
    claim.claim_id = random_.bits() | 1U;
    start_call(claim, [this, claim](const CommandResult& result) { note_claim_result(claim, result); });
  }
  if (random_.chance(0.05)) {
    start_read();
  }
}

void ControlSimulation::random_wipe() {
  // A disk may be lost while a majority of the others is sound; a second loss waits for the repair to be
  // finished.
  if (wiped_member_ >= 0) {
    return;
  }
  const auto position = random_.below(members_.size());
  for (auto& member : members_) {
    if (!member->running() || !member->start_error().empty()) {
      return;
    }
  }
  wiped_member_ = static_cast<int>(position);
  members_[position]->wipe_disk();
  members_[position]->start();
}

void ControlSimulation::add_random_fault() {
  const size_t position = random_.below(members_.size());
  SimulatedMember& member = *members_[position];
  ++result_.faults;
  switch (random_.below(9)) {
    case 0:
    case 1:
      member.crash(random_.chance(0.5));
      break;
    case 2:
      if (member.running()) {
        member.freeze();
      }
      break;
    case 3:
      cut_off(position);
      break;
    case 4:
      cut_between(position, random_.below(members_.size()));
      break;
    case 5:
      network_.faults.loss = random_.unit() * 0.3;
      network_.faults.duplication = random_.unit() * 0.2;
      network_.faults.most_delay = Duration(random_.between(1000, 120000));
      break;
    case 6:
      member.set_clock_rate(0.8 + 0.4 * random_.unit());
      break;
    case 7:
      random_wipe();
      break;
    default:
      heal_network();
      network_.faults = NetworkFaults();
      break;
  }
  for (auto& other : members_) {
    if (random_.chance(0.6)) {
      other->thaw();
    }
    if (!other->running() && random_.chance(0.7)) {
      other->start();
    }
  }
}

void ControlSimulation::heal_everything() {
  heal_network();
  network_.faults = NetworkFaults();
  for (auto& member : members_) {
    if (!member->running()) {
      member->start();
    }
    if (!member->start_error().empty()) {
      violate(member->name() + " does not start: " + member->start_error());
    }
    member->thaw();
  }
}

SimulationResult ControlSimulation::run() {
  const TimePoint end = events_.now() + options_.duration;
  TimePoint next_fault = events_.now() + Duration(1000000);
  while (events_.now() < end && violations_.empty()) {
    if (options_.client_load) {
      add_client_load();
    }
    if (options_.random_faults && events_.now() >= next_fault) {
      next_fault = events_.now() + Duration(random_.between(50000, 1500000));
      add_random_fault();
    }
    step();
    if (wiped_member_ >= 0 && random_.chance(0.01)) {
      const auto wiped = static_cast<size_t>(wiped_member_);
      if (members_[wiped]->running() && replace(wiped, Duration(2000000))) {
        wiped_member_ = -1;
      }
    }
  }
  heal_everything();
  if (wiped_member_ >= 0 && violations_.empty() && !replace(static_cast<size_t>(wiped_member_), kHealLimit)) {
    violate("the wiped member could not be replaced after all faults were healed");
  }
  CommandResult result;
  bool accepted = false;
  const TimePoint heal_end = events_.now() + kHealLimit;
  for (int number = 0; !accepted && violations_.empty() && events_.now() < heal_end; ++number) {
    if (change("final-" + std::to_string(number), acknowledged_version_, result) &&
        result.code != ResultCode::kOk) {
      acknowledged_version_ = std::max(acknowledged_version_, result.version);
    }
    accepted = result.code == ResultCode::kOk && result.version > 0;
  }
  if (!accepted && violations_.empty()) {
    violate("no change was accepted after all faults were healed");
  }
  const uint64_t final_version = result.version;
  const auto everywhere = [&] {
    for (Node& node : nodes_) {
      if (node.follower.configuration().version < final_version) {
        return false;
      }
    }
    return true;
  };
  if (violations_.empty() && !run_until(everywhere, kHealLimit)) {
    violate("the last change did not reach every node after all faults were healed");
  }
  result_.violations = violations_;
  return result_;
}

}  // namespace stoat::simulation
