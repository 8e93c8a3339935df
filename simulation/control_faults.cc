// ControlSimulation: load and faults drawn from the seed, and the whole run.
#include "simulation/control_simulation.h"

namespace stoat::simulation {

namespace {

constexpr Duration kHealLimit = 15s;
constexpr uint64_t kBackends = 300;

}  // namespace

void ControlSimulation::put_configuration(uint64_t version) {
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
  retire.id = "backend-" + std::to_string(random_.below(kBackends));
  retire.state = random_.chance(0.5) ? fleet::BackendState::kDraining : fleet::BackendState::kGone;
  start_call(retire, nullptr);
}

void ControlSimulation::start_read() {
  const int leader_now = leader();
  const size_t target = leader_now >= 0 && random_.chance(0.7) ? static_cast<size_t>(leader_now)
                                                               : random_.below(members_.size());
  const uint64_t token = ++last_token_;
  reads_[token] = acknowledged_;
  members_[target]->run([token](control::ControlCore& core, TimePoint now) { core.read(token, now); });
}

void ControlSimulation::add_client_load() {
  if (random_.chance(0.05)) {
    put_configuration(acknowledged_.configuration + 1);
    if (random_.chance(0.5)) {
      put_configuration(acknowledged_.configuration + 1);  // another operator races for the same version
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
      network_.faults.loss = random_.uniform_real() * 0.3;
      network_.faults.duplication = random_.uniform_real() * 0.2;
      network_.faults.most_delay = Duration(random_.between(1000, 120000));
      break;
    case 6:
      member.set_clock_rate(0.8 + 0.4 * random_.uniform_real());
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

void ControlSimulation::note_replaced() {
  if (wiped_member_ >= 0 && replaced(static_cast<size_t>(wiped_member_))) {
    wiped_member_ = -1;
    ++result_.members_replaced;
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

void ControlSimulation::check_works_again() {
  if (wiped_member_ >= 0 && !wait_replaced(static_cast<size_t>(wiped_member_), kHealLimit)) {
    violate("the wiped member could not be replaced after all faults were healed");
  }
  const uint64_t version = acknowledged_.configuration + 1000;  // above all that is still on its way
  if (violations_.empty() && !put(version, "final", kHealLimit)) {
    violate("no configuration was accepted after all faults were healed");
  }
  const auto everywhere = [&] {
    for (size_t position = 0; position < members_.size(); ++position) {
      if (!members_[position]->running() || state_of(position).configuration().version < version) {
        return false;
      }
    }
    return true;
  };
  if (violations_.empty() && !run_until(everywhere, kHealLimit)) {
    violate("the last configuration did not reach every member after all faults were healed");
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
    note_replaced();
  }
  heal_everything();
  if (violations_.empty()) {
    check_works_again();
  }
  result_.violations = violations_;
  return result_;
}

}  // namespace stoat::simulation
