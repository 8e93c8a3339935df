/// The replicated state: configuration with its history, operators' answers, orders, and claims.
/// Applying the same commands in the same order gives the same state on every member.
#pragma once

#include <deque>
#include <unordered_map>

#include "src/control/command.h"

namespace stoat::control {

/// The longest outcome that is kept with a claim, in bytes.
inline constexpr size_t kMaxClaimOutcomeBytes = 64U << 10U;

/// How many past changes are kept for nodes that fell behind; older ones need a snapshot.
inline constexpr size_t kMaxKeptChanges = 1000;

/// How many operators' answers are kept for resends.
inline constexpr size_t kMaxKeptAnswers = 10000;

/// A line of the change history.
struct HistoryLine {
  uint64_t version = 0;
  std::string operator_name;
  std::string operator_request_id;
  int64_t submitted_at_ms = 0;
  std::string summary;
  MSGPACK_DEFINE_ARRAY(version, operator_name, operator_request_id, submitted_at_ms, summary)
};

/// One granted key.
struct Claim {
  uint64_t digest = 0;
  uint64_t claim_id = 0;
  int64_t at_ms = 0;
  ClaimState state = ClaimState::kGranted;
  std::string outcome;
  MSGPACK_DEFINE_ARRAY(digest, claim_id, at_ms, state, outcome)
};

/// Attempts of a request that will never be granted a key, because its router gave it up and may have told
/// its caller that it did not run.
struct ClosedAttempts {
  uint64_t request_id = 0;
  uint32_t up_to_attempt = 0;
  MSGPACK_DEFINE_ARRAY(request_id, up_to_attempt)
};

/// How many requests that were given up are remembered for one key; the oldest goes first.
inline constexpr size_t kMaxClosedRequests = 16;

/// The last order given to a back end.
struct Order {
  uint64_t fence = 0;
  OrderKind kind = OrderKind::kLoadModel;
  std::string argument;
  bool complete = false;
  MSGPACK_DEFINE_ARRAY(fence, kind, argument, complete)
};

/// An operator's answer, kept for a resend.
struct KeptAnswer {
  std::string operator_request_id;
  CommandResult result;
  MSGPACK_DEFINE_ARRAY(operator_request_id, result)
};

/// See the head of this file.
class StateMachine {
 public:
  /// Applies one command. Deterministic.
  CommandResult apply(const Command& command);

  /// The whole state as bytes, and back. load() leaves the state alone when the bytes are bad.
  std::string save() const;
  bool load(const std::string& bytes);

  const Configuration& configuration() const { return configuration_; }
  const std::deque<VersionedChange>& changes() const { return changes_; }
  const std::deque<HistoryLine>& history() const { return history_; }
  const std::map<std::string, Order>& orders() const { return orders_; }
  const fleet::FleetState& fleet() const { return fleet_; }
  size_t claim_count() const { return claims_.size(); }
  /// The claim of a tenant's key, or nullptr.
  const Claim* claim(const std::string& tenant, const std::string& key) const;

 private:
  template <typename FleetCommand>
  CommandResult apply_fleet(const FleetCommand& command) {
    fleet_.apply(command);
    return {};
  }
  CommandResult apply_change(const ChangeConfiguration& change);
  CommandResult apply_claim(const ClaimKey& claim);
  bool is_closed(const std::string& name, const ClaimKey& claim) const;
  void close_attempts(const std::string& name, const FinishClaim& release);
  CommandResult apply_finish(const FinishClaim& finish);
  CommandResult apply_order(const IssueOrder& order);
  CommandResult apply_complete(const CompleteOrder& complete);
  CommandResult apply_expire(const ExpireClaims& expire);
  void keep_answer(const std::string& operator_request_id, const CommandResult& result);
  const CommandResult* kept_answer(const std::string& operator_request_id) const;

  Configuration configuration_;
  std::deque<VersionedChange> changes_;
  std::deque<HistoryLine> history_;
  std::deque<KeptAnswer> answers_;
  std::map<std::string, Order> orders_;
  std::unordered_map<std::string, Claim> claims_;
  /// By claim; only for keys that were released.
  std::unordered_map<std::string, std::vector<ClosedAttempts>> closed_;
  fleet::FleetState fleet_;
};

/// What is wrong with a change, judged against the configuration that it is based on.
std::string check_change(const Configuration& configuration, const std::vector<ChangeItem>& items);

}  // namespace stoat::control
