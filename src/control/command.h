/// Commands that go through the replicated log, and the results that applying them gives.
#pragma once

#include "src/control/configuration.h"
#include "src/fleet/fleet_state.h"

namespace stoat::control {

/// An operator's change of configuration, based on a version.
struct ChangeConfiguration {
  std::string operator_request_id;  ///< a resend under the same id gets the first answer
  std::string operator_name;
  uint64_t base_version = 0;
  int64_t submitted_at_ms = 0;  ///< wall clock of the accepting member; informative
  std::vector<ChangeItem> items;
  MSGPACK_DEFINE_ARRAY(operator_request_id, operator_name, base_version, submitted_at_ms, items)
};

/// Asks for the one right to run a request that must not be repeated.
struct ClaimKey {
  std::string tenant;
  std::string key;
  uint64_t digest = 0;      ///< of the request; the same key with another digest is a conflict
  uint64_t claim_id = 0;    ///< random, one for each attempt to claim
  int64_t at_ms = 0;        ///< wall clock of the router; drives retention
  uint64_t request_id = 0;  ///< 0: of no request that could be given up
  uint32_t attempt = 0;     ///< the sidecar's count of its submissions of this request
  MSGPACK_DEFINE_ARRAY(tenant, key, digest, claim_id, at_ms, request_id, attempt)
};

/// How a claimed request ended.
enum class ClaimState : uint8_t { kGranted, kSettled, kReleased, kUnknown };

/// Ends a claim, by whoever holds it.
struct FinishClaim {
  std::string tenant;
  std::string key;
  uint64_t claim_id = 0;
  ClaimState state = ClaimState::kSettled;
  std::string outcome;  ///< the answer that a resend gets; bounded by kMaxClaimOutcomeBytes
  int64_t at_ms = 0;    ///< wall clock of the accepting member; drives retention
  uint64_t request_id = 0;
  uint32_t attempt = 0;  ///< a release closes this and all earlier attempts of the request for ever
  MSGPACK_DEFINE_ARRAY(tenant, key, claim_id, state, outcome, at_ms, request_id, attempt)
};

/// What an order tells an engine to do.
enum class OrderKind : uint8_t { kLoadModel, kLoadAdapter, kSetRole };

/// Orders an engine to change what it serves. The log gives it the engine's next fence number.
struct IssueOrder {
  std::string operator_request_id;
  std::string backend;
  OrderKind kind = OrderKind::kLoadModel;
  std::string argument;  ///< model@version, adapter or role
  MSGPACK_DEFINE_ARRAY(operator_request_id, backend, kind, argument)
};

/// Records that an engine has carried out an order.
struct CompleteOrder {
  std::string backend;
  uint64_t fence = 0;
  MSGPACK_DEFINE_ARRAY(backend, fence)
};

/// Drops claims older than a moment, so that the state stays within its memory.
struct ExpireClaims {
  int64_t before_ms = 0;
  MSGPACK_DEFINE_ARRAY(before_ms)
};

/// Any command. New alternatives go at the end.
using Command = wire::Packed<ChangeConfiguration, ClaimKey, FinishClaim, IssueOrder, CompleteOrder,
                             ExpireClaims, fleet::PutConfiguration, fleet::NameWeights, fleet::RetireBackend>;

/// How a command ended.
enum class ResultCode : uint8_t {
  kOk,
  kVersionConflict,  ///< another change came first; `version` is the present one
  kInvalid,          ///< the command contradicts the state; `message` says how
  kClaimHeld,        ///< the key was granted before; `claim_state` and `outcome` tell what became of it
  kDigestConflict,   ///< the key belongs to another request
};

/// The result of a command.
struct CommandResult {
  ResultCode code = ResultCode::kOk;
  uint64_t version = 0;  ///< of the configuration, or the fence number of an order
  ClaimState claim_state = ClaimState::kGranted;
  std::string outcome;
  std::string message;
  MSGPACK_DEFINE_ARRAY(code, version, claim_state, outcome, message)
};

}  // namespace stoat::control

MSGPACK_ADD_ENUM(stoat::control::ClaimState);
MSGPACK_ADD_ENUM(stoat::control::OrderKind);
MSGPACK_ADD_ENUM(stoat::control::ResultCode);
