#include "src/control/state_machine.h"

#include <algorithm>

#include "src/common/settings.h"

namespace stoat::control {

namespace {

constexpr size_t kMaxHistoryLines = 10000;

std::string claim_name(const std::string& tenant, const std::string& key) {
  return std::to_string(tenant.size()) + ":" + tenant + key;
}

struct ItemSummary {
  std::string operator()(const Tenant& tenant) const { return "tenant " + tenant.name; }
  std::string operator()(const Model& model) const {
    return "model " + model.name + "@" + model.weights_version;
  }
  std::string operator()(const Backend& backend) const {
    return "backend " + backend.name + (backend.draining ? " draining" : "");
  }
  std::string operator()(const PolicyTable& table) const {
    return "table with " + std::to_string(table.rows.size()) + " rows";
  }
  std::string operator()(const Removal& removal) const { return "remove " + removal.name; }
};

std::string summarize(const std::vector<ChangeItem>& items) {
  std::string text;
  for (const ChangeItem& item : items) {
    text += (text.empty() ? "" : ", ") + std::visit(ItemSummary{}, item.value);
  }
  return text;
}

std::string check_item(const Configuration& configuration, const ChangeItem& item) {
  if (const auto* backend = std::get_if<Backend>(&item.value)) {
    Endpoint endpoint;
    if (!parse_endpoint(backend->endpoint, endpoint)) {
      return "backend " + backend->name + ": endpoint '" + backend->endpoint +
             "' is not an IP address and a port";
    }
  }
  if (const auto* removal = std::get_if<Removal>(&item.value)) {
    const bool exists =
        (removal->kind == ObjectKind::kTenant && configuration.tenants.count(removal->name) > 0) ||
        (removal->kind == ObjectKind::kModel && configuration.models.count(removal->name) > 0) ||
        (removal->kind == ObjectKind::kBackend && configuration.backends.count(removal->name) > 0);
    return exists ? "" : "nothing named " + removal->name + " to remove";
  }
  return "";
}

}  // namespace

std::string check_change(const Configuration& configuration, const std::vector<ChangeItem>& items) {
  if (items.empty()) {
    return "the change is empty";
  }
  std::string findings;
  for (const ChangeItem& item : items) {
    const std::string finding = check_item(configuration, item);
    findings += finding.empty() ? "" : (findings.empty() ? "" : "; ") + finding;
  }
  return findings;
}

CommandResult StateMachine::apply(const Command& command) {
  struct Applier {
    StateMachine& state;
    CommandResult operator()(const ChangeConfiguration& change) const { return state.apply_change(change); }
    CommandResult operator()(const ClaimKey& claim) const { return state.apply_claim(claim); }
    CommandResult operator()(const FinishClaim& finish) const { return state.apply_finish(finish); }
    CommandResult operator()(const IssueOrder& order) const { return state.apply_order(order); }
    CommandResult operator()(const CompleteOrder& complete) const { return state.apply_complete(complete); }
    CommandResult operator()(const ExpireClaims& expire) const { return state.apply_expire(expire); }
    CommandResult operator()(const fleet::PutConfiguration& put) const { return state.apply_fleet(put); }
    CommandResult operator()(const fleet::NameWeights& named) const { return state.apply_fleet(named); }
    CommandResult operator()(const fleet::RetireBackend& retired) const { return state.apply_fleet(retired); }
  };
  return std::visit(Applier{*this}, command.value);
}

void StateMachine::keep_answer(const std::string& operator_request_id, const CommandResult& result) {
  if (operator_request_id.empty()) {
    return;
  }
  answers_.push_back({operator_request_id, result});
  if (answers_.size() > kMaxKeptAnswers) {
    answers_.pop_front();
  }
}

const CommandResult* StateMachine::kept_answer(const std::string& operator_request_id) const {
  for (auto answer = answers_.rbegin(); answer != answers_.rend(); ++answer) {
    if (!operator_request_id.empty() && answer->operator_request_id == operator_request_id) {
      return &answer->result;
    }
  }
  return nullptr;
}

CommandResult StateMachine::apply_change(const ChangeConfiguration& change) {
  if (const CommandResult* first = kept_answer(change.operator_request_id)) {
    return *first;
  }
  CommandResult result;
  result.version = configuration_.version;
  if (change.base_version != configuration_.version) {
    result.code = ResultCode::kVersionConflict;
    result.message = "the present version is " + std::to_string(configuration_.version);
    if (!history_.empty()) {
      result.message += ", by " + history_.back().operator_name + ": " + history_.back().summary;
    }
  } else if (const std::string finding = check_change(configuration_, change.items); !finding.empty()) {
    result.code = ResultCode::kInvalid;
    result.message = finding;
  } else {
    const VersionedChange accepted{configuration_.version + 1, change.items};
    configuration_.apply(accepted);
    result.version = accepted.version;
    changes_.push_back(accepted);
    history_.push_back({accepted.version, change.operator_name, change.operator_request_id,
                        change.submitted_at_ms, summarize(change.items)});
  }
  if (changes_.size() > kMaxKeptChanges) {
    changes_.pop_front();
  }
  if (history_.size() > kMaxHistoryLines) {
    history_.pop_front();
  }
  keep_answer(change.operator_request_id, result);
  return result;
}

bool StateMachine::is_closed(const std::string& name, const ClaimKey& claim) const {
  const auto closed = closed_.find(name);
  return closed != closed_.end() &&
         std::any_of(closed->second.begin(), closed->second.end(), [&](const ClosedAttempts& attempts) {
           return attempts.request_id == claim.request_id && claim.attempt <= attempts.up_to_attempt;
         });
}

void StateMachine::close_attempts(const std::string& name, const FinishClaim& release) {
  std::vector<ClosedAttempts>& closed = closed_[name];
  const auto known = std::find_if(closed.begin(), closed.end(), [&](const ClosedAttempts& attempts) {
    return attempts.request_id == release.request_id;
  });
  if (known != closed.end()) {
    known->up_to_attempt = std::max(known->up_to_attempt, release.attempt);
    return;
  }
  closed.push_back({release.request_id, release.attempt});
  if (closed.size() > kMaxClosedRequests) {
    closed.erase(closed.begin());
  }
}

CommandResult StateMachine::apply_claim(const ClaimKey& claim) {
  CommandResult result;
  const std::string name = claim_name(claim.tenant, claim.key);
  if (is_closed(name, claim)) {
    result.code = ResultCode::kClaimHeld;
    result.claim_state = ClaimState::kReleased;
    return result;
  }
  auto [found, fresh] = claims_.try_emplace(name);
  Claim& held = found->second;
  const bool released = !fresh && held.state == ClaimState::kReleased;
  if (released && held.claim_id == claim.claim_id) {
    // The attempt was given up before its claim came through the log.
    result.code = ResultCode::kClaimHeld;
    result.claim_state = ClaimState::kReleased;
    return result;
  }
  if (!fresh && !released && held.digest != claim.digest) {
    result.code = ResultCode::kDigestConflict;
    return result;
  }
  if (fresh || released) {
    held = Claim{claim.digest, claim.claim_id, claim.at_ms, ClaimState::kGranted, ""};
    return result;
  }
  if (held.claim_id == claim.claim_id && held.state == ClaimState::kGranted) {
    return result;  // the same attempt asks again after a lost answer
  }
  result.code = ResultCode::kClaimHeld;
  result.claim_state = held.state;
  result.outcome = held.outcome;
  return result;
}

CommandResult StateMachine::apply_finish(const FinishClaim& finish) {
  CommandResult result;
  const std::string name = claim_name(finish.tenant, finish.key);
  if (finish.state == ClaimState::kReleased && finish.request_id != 0) {
    close_attempts(name, finish);
  }
  if (finish.state == ClaimState::kReleased && claims_.count(name) == 0) {
    // The release overtook its claim: keep it, so that the claim is refused when it comes.
    claims_[name] = Claim{0, finish.claim_id, finish.at_ms, ClaimState::kReleased, ""};
    result.claim_state = ClaimState::kReleased;
    return result;
  }
  const auto found = claims_.find(name);
  if (found == claims_.end() || found->second.claim_id != finish.claim_id) {
    result.code = ResultCode::kInvalid;
    result.message = "the claim is not held under this id";
    return result;
  }
  Claim& held = found->second;
  if (held.state == ClaimState::kGranted) {
    held.state = finish.state;
    held.outcome = finish.outcome.substr(0, kMaxClaimOutcomeBytes);
  }
  result.claim_state = held.state;
  return result;
}

CommandResult StateMachine::apply_order(const IssueOrder& order) {
  if (const CommandResult* first = kept_answer(order.operator_request_id)) {
    return *first;
  }
  CommandResult result;
  if (configuration_.backends.count(order.backend) == 0) {
    result.code = ResultCode::kInvalid;
    result.message = "no back end named " + order.backend;
  } else {
    Order& last = orders_[order.backend];
    last = Order{last.fence + 1, order.kind, order.argument, false};
    result.version = last.fence;
  }
  keep_answer(order.operator_request_id, result);
  return result;
}

CommandResult StateMachine::apply_complete(const CompleteOrder& complete) {
  CommandResult result;
  const auto found = orders_.find(complete.backend);
  if (found == orders_.end() || found->second.fence != complete.fence) {
    result.code = ResultCode::kInvalid;
    result.message = "a later order took its place";
    return result;
  }
  found->second.complete = true;
  return result;
}

CommandResult StateMachine::apply_expire(const ExpireClaims& expire) {
  std::erase_if(claims_, [&](const auto& entry) { return entry.second.at_ms < expire.before_ms; });
  std::erase_if(closed_, [&](const auto& entry) { return claims_.count(entry.first) == 0; });
  return {};
}

const Claim* StateMachine::claim(const std::string& tenant, const std::string& key) const {
  const auto found = claims_.find(claim_name(tenant, key));
  return found == claims_.end() ? nullptr : &found->second;
}

namespace {

/// The saved form. Claims are sorted so that equal states give equal bytes.
struct SavedState {
  Configuration configuration;
  std::deque<VersionedChange> changes;
  std::deque<HistoryLine> history;
  std::deque<KeptAnswer> answers;
  std::map<std::string, Order> orders;
  std::map<std::string, Claim> claims;
  std::map<std::string, std::vector<ClosedAttempts>> closed;
  fleet::FleetState fleet;
  MSGPACK_DEFINE_ARRAY(configuration, changes, history, answers, orders, claims, closed, fleet)
};

}  // namespace

std::string StateMachine::save() const {
  const SavedState saved{configuration_,
                         changes_,
                         history_,
                         answers_,
                         orders_,
                         {claims_.begin(), claims_.end()},
                         {closed_.begin(), closed_.end()},
                         fleet_};
  return wire::encode(saved);
}

bool StateMachine::load(const std::string& bytes) {
  auto saved = wire::decode<SavedState>(bytes);
  if (!saved) {
    return false;
  }
  configuration_ = std::move(saved->configuration);
  changes_ = std::move(saved->changes);
  history_ = std::move(saved->history);
  answers_ = std::move(saved->answers);
  orders_ = std::move(saved->orders);
  claims_ = {saved->claims.begin(), saved->claims.end()};
  closed_ = {saved->closed.begin(), saved->closed.end()};
  fleet_ = std::move(saved->fleet);
  return true;
}

}  // namespace stoat::control
