// ControlSimulation: client load and faults, both generated from the seed, and the complete run.
#include "simulation/control_simulation.h"

namespace stoat::simulation {

namespace {

constexpr Duration kRecoveryTimeout = 15s;
constexpr uint64_t kBackendIds = 300;

}  // namespace

void ControlSimulation::start_configuration_put(uint64_t version) {
  const std::string source = "document-" + std::to_string(++last_document_);
  fleet::PutConfiguration put = make_configuration(version, source);
  sent_configurations_.push_back(put);
  start_call(put, nullptr);
}

void ControlSimulation::resend_configuration() {
  if (!sent_configurations_.empty()) {
    start_call(sent_configurations_[random_.below(sent_configurations_.size())], nullptr);
  }
}

void ControlSimulation::retire_backend() {
  fleet::RetireBackend retire;
  retire.id = "backend-" + std::to_string(random_.below(kBackendIds));
  retire.state = random_.chance(0.5) ? fleet::BackendState::kDraining : fleet::BackendState::kGone;
  start_call(retire, nullptr);
}

void ControlSimulation::start_read() {
  const int current_leader = leader();
  const size_t target = current_leader >= 0 && random_.chance(0.7) ? static_cast<size_t>(current_leader)
                                                                   : random_.below(members_.size());
  const uint64_t token = ++last_token_;
  reads_[token] = acknowledged_;
  members_[target]->run([token](control::ControlCore& core, TimePoint now) { core.read(token, now); });
}

void ControlSimulation::add_client_load() {
  if (random_.chance(0.05)) {
    start_configuration_put(acknowledged_.configuration + 1);
    if (random_.chance(0.5)) {
      // A second operator competes for the same version.
      start_configuration_put(acknowledged_.configuration + 1);
    }
  }
  if (random_.chance(0.02)) {
    resend_configuration();
  }
  if (random_.chance(0.02)) {
    start_call(fleet::SetTargetWeights{kModel, acknowledged_.weights + 1}, nullptr);
  }
  if (random_.chance(0.1)) {
    retire_backend();
  }
  if (random_.chance(0.05)) {
    start_read();
  }
}

void ControlSimulation::wipe_random_disk() {
  // A disk may be lost only while a majority of the other members is intact. The next disk is not wiped until
  // the previous member has been replaced.
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
        member.pause();
      }
      break;
    case 3:
      isolate(position);
      break;
    case 4:
      cut_link(position, random_.below(members_.size()));
      break;
    case 5:
      network_.faults.loss = random_.uniform_real() * 0.3;
      network_.faults.duplication = random_.uniform_real() * 0.2;
      network_.faults.max_delay = Duration(random_.between(1000, 120000));
      break;
    case 6:
      member.set_clock_rate(0.8 + 0.4 * random_.uniform_real());
      break;
    case 7:
      wipe_random_disk();
      break;
    default:
      heal_network();
      network_.faults = NetworkFaults();
      break;
  }
  for (auto& other : members_) {
    if (random_.chance(0.6)) {
      other->resume();
    }
    if (!other->running() && random_.chance(0.7)) {
      other->start();
    }
  }
}

void ControlSimulation::update_wiped_member() {
  if (wiped_member_ >= 0 && is_replaced(static_cast<size_t>(wiped_member_))) {
    wiped_member_ = -1;
    ++result_.members_replaced;
  }
}

void ControlSimulation::clear_all_faults() {
  heal_network();
  network_.faults = NetworkFaults();
  for (auto& member : members_) {
    if (!member->running()) {
      member->start();
    }
    if (!member->start_error().empty()) {
      record_violation(member->name() + " does not start: " + member->start_error());
    }
    member->resume();
  }
}

void ControlSimulation::check_recovery() {
  if (wiped_member_ >= 0 && !wait_until_replaced(static_cast<size_t>(wiped_member_), kRecoveryTimeout)) {
    record_violation("the wiped member could not be replaced after all faults were cleared");
  }
  const uint64_t version = acknowledged_.configuration + 1000;  // higher than any version still in flight
  if (violations_.empty() && !put(version, "final", kRecoveryTimeout)) {
    record_violation("no configuration was accepted after all faults were cleared");
  }
  const auto applied_everywhere = [&] {
    for (size_t position = 0; position < members_.size(); ++position) {
      if (!members_[position]->running() || state_of(position).configuration().version < version) {
        return false;
      }
    }
    return true;
  };
  if (violations_.empty() && !run_until(applied_everywhere, kRecoveryTimeout)) {
    record_violation("the last configuration did not reach every member after all faults were cleared");
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
    update_wiped_member();
  }
  clear_all_faults();
  if (violations_.empty()) {
    check_recovery();
  }
  result_.violations = violations_;
  return result_;
}

}  // namespace stoat::simulation
