/// Typed messages between the system's own processes.
#pragma once

#include "src/consensus/message.h"
#include "src/control/command.h"
#include "src/control/configuration.h"
#include "src/fleet/fleet_messages.h"
#include "src/wire/codec.h"

namespace stoat::wire {

/// What kind of work a request is.
enum class RequestKind : uint8_t { kCompletion, kPlain };

/// How a request ended, as far as the system can truthfully tell.
enum class Outcome : uint8_t {
  kComplete,  ///< the whole answer was delivered
  kNotRun,    ///< no back end ran any part of it
  kUnknown,   ///< it may have run; it will not be sent again
  kFailed,    ///< it ran and failed
};

/// Where a stream stood when its router was lost.
struct ResumePoint {
  std::string engine;
  uint64_t incarnation = 0;
  uint32_t engine_attempt = 0;  ///< attempt number under which the engine runs it
  uint64_t claim_id = 0;        ///< of the claim under which it runs; 0: none
  MSGPACK_DEFINE_ARRAY(engine, incarnation, engine_attempt, claim_id)
};

/// Sidecar to router: run this request.
struct SubmitRequest {
  uint64_t request_id = 0;
  uint32_t attempt = 0;  ///< counts the sidecar's submissions of this request
  RequestKind kind = RequestKind::kCompletion;
  std::string tenant;
  std::string serves;  ///< model or service name
  std::string prompt;  ///< prompt text, or the body of a plain request
  std::string method;  ///< of a plain request
  std::string path;    ///< of a plain request
  uint32_t max_tokens = 0;
  bool repeatable = true;
  std::string idempotency_key;      ///< set for requests that must not be repeated
  int64_t deadline_left_ms = 0;     ///< time that the caller still waits for the first token
  uint32_t next_index = 0;          ///< pieces that the sidecar already has
  std::string delivered;            ///< their text, so that another engine can go on after it
  bool may_have_run = false;        ///< an earlier attempt may have reached a back end
  std::vector<ResumePoint> resume;  ///< empty or one
  uint64_t configuration_version = 0;
  MSGPACK_DEFINE_ARRAY(request_id, attempt, kind, tenant, serves, prompt, method, path, max_tokens,
                       repeatable, idempotency_key, deadline_left_ms, next_index, delivered, may_have_run,
                       resume, configuration_version)
};

/// Router to sidecar: the request is on its way to this engine.
struct RequestDispatched {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  ResumePoint where;
  MSGPACK_DEFINE_ARRAY(request_id, attempt, where)
};

/// Router to sidecar: one piece of a stream.
struct StreamPiece {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  uint32_t index = 0;
  std::string text;
  MSGPACK_DEFINE_ARRAY(request_id, attempt, index, text)
};

/// Why a request ended without a complete answer. Listed in docs/API.md.
enum class FailureReason : uint8_t {
  kNone,
  kOverCeiling,        ///< a ceiling of the tenant's or service's row
  kQueueFull,          ///< the router's queue is full
  kDeadline,           ///< could not be started in time
  kNoBackend,          ///< no live back end serves it
  kBackendLost,        ///< the back end failed while it ran
  kClaimUnavailable,   ///< no quorum to grant the claim
  kClaimHeld,          ///< an earlier request under the key is still open
  kClaimConflict,      ///< the key belongs to another request
  kOutcomeUnknown,     ///< may have run; not sent again
  kDraining,           ///< the router is stopping
  kUnknownModel,       ///< the configuration has no such model or service
  kRouterUnavailable,  ///< the sidecar reached no router
  kBackendRejected,    ///< the back end answered with an error of its own
};

/// Router to sidecar: the request ended.
struct RequestFinished {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  Outcome outcome = Outcome::kComplete;
  FailureReason reason = FailureReason::kNone;
  std::string message;
  int32_t http_status = 200;
  int64_t retry_after_ms = 0;
  uint32_t piece_count = 0;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  std::string body;  ///< answer of a plain service, or the whole text of a replayed outcome
  MSGPACK_DEFINE_ARRAY(request_id, attempt, outcome, reason, message, http_status, retry_after_ms,
                       piece_count, prompt_tokens, cached_tokens, body)
};

/// Sidecar to router: the caller has gone.
struct CancelRequest {
  uint64_t request_id = 0;
  MSGPACK_DEFINE_ARRAY(request_id)
};

/// Router to sidecar: stop sending new requests here.
struct RouterDraining {
  bool draining = true;
  MSGPACK_DEFINE_ARRAY(draining)
};

/// Node to control: propose a command.
struct ControlCall {
  uint64_t call_id = 0;
  control::Command command;
  MSGPACK_DEFINE_ARRAY(call_id, command)
};

/// Why a control call got no result.
enum class CallStatus : uint8_t { kDone, kNotLeader, kUnavailable };

/// Control to node: how the call ended.
struct ControlAnswer {
  uint64_t call_id = 0;
  CallStatus status = CallStatus::kDone;
  std::string leader;  ///< "address:port" of the leader, if known
  control::CommandResult result;
  MSGPACK_DEFINE_ARRAY(call_id, status, leader, result)
};

/// A node of the fleet, as control knows it from its polls. Soft state: not in the log.
struct Node {
  std::string name;
  std::string role;  ///< "router" or "sidecar"
  std::string endpoint;
  std::string zone;       ///< "region/zone"
  uint64_t start_id = 0;  ///< random at each start; tells a restarted node from one that ran on
  uint64_t configuration_version = 0;
  bool draining = false;
  MSGPACK_DEFINE_ARRAY(name, role, endpoint, zone, start_id, configuration_version, draining)
  bool operator==(const Node&) const = default;
};

/// Node to control: heartbeat, and a request for what is new. Also node to router, when no control member
/// answers.
struct NodePoll {
  Node node;
  uint64_t routers_digest = 0;  ///< of the router list that the node has
  MSGPACK_DEFINE_ARRAY(node, routers_digest)
};

/// Control to node: what is new.
struct NodePollAnswer {
  std::string leader;
  int64_t quorum_age_ms = 0;  ///< since a quorum last confirmed this member; negative: never
  uint64_t version = 0;       ///< newest that this member has
  std::vector<control::VersionedChange> changes;  ///< those after the node's version, oldest first
  std::vector<control::Configuration> snapshot;   ///< empty or one, when too many changes were missed
  uint64_t routers_digest = 0;
  std::vector<Node> routers;  ///< given when the digest differs
  bool routers_given = false;
  std::vector<std::string> leaving;  ///< back ends that the platform says are leaving
  MSGPACK_DEFINE_ARRAY(leader, quorum_age_ms, version, changes, snapshot, routers_digest, routers,
                       routers_given, leaving)
};

/// Engine home to prefix owner: what changed in one engine's cache. The owner needs no roots; no block stands
/// in both lists.
struct BlockChanges {
  std::string engine;
  uint64_t incarnation = 0;
  bool reset = false;  ///< drop all that is known of the engine first
  std::vector<uint64_t> stored;
  std::vector<uint64_t> evicted;
  MSGPACK_DEFINE_ARRAY(engine, incarnation, reset, stored, evicted)
  size_t size() const { return stored.size() + evicted.size(); }
};

/// One engine's load, as its home last saw it.
struct EngineLoad {
  std::string engine;
  uint64_t incarnation = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t waiting_tokens = 0;
  bool leaving = false;
  std::string weights_version;
  MSGPACK_DEFINE_ARRAY(engine, incarnation, running, waiting, waiting_tokens, leaving, weights_version)
};

/// Engine home to the routers of its region: the loads of its engines.
struct LoadDigest {
  std::string home;
  std::vector<EngineLoad> loads;
  uint64_t configuration_version = 0;  ///< that the home has in force
  MSGPACK_DEFINE_ARRAY(home, loads, configuration_version)
};

/// Router to the owner of a row's quota: what it used and would use.
struct QuotaRequest {
  std::string router;
  control::RowKind kind = control::RowKind::kTenant;
  std::string name;
  double demand_requests = 0;  ///< a second
  double demand_tokens = 0;    ///< a second
  MSGPACK_DEFINE_ARRAY(router, kind, name, demand_requests, demand_tokens)
};

/// Owner to router: the part of the row's ceilings that the router may use until the lease ends.
struct QuotaGrant {
  control::RowKind kind = control::RowKind::kTenant;
  std::string name;
  double requests_per_second = 0;
  double tokens_per_second = 0;
  double concurrent = 0;
  int64_t lease_ms = 0;
  MSGPACK_DEFINE_ARRAY(kind, name, requests_per_second, tokens_per_second, concurrent, lease_ms)
};

/// Asks the other side to answer, to find out whether it is alive.
struct Ping {
  uint64_t number = 0;
  MSGPACK_DEFINE_ARRAY(number)
};

/// Answers a Ping.
struct Pong {
  uint64_t number = 0;
  MSGPACK_DEFINE_ARRAY(number)
};

/// Control member to control member.
struct PeerMessage {
  consensus::Message message;
  MSGPACK_DEFINE_ARRAY(message)
};

/// Control member that is in no member list to its peers: I ask to be taken in.
struct JoinRequest {
  consensus::Member member;
  bool blank = true;  ///< it has no state at all, so a cluster may be founded with it
  MSGPACK_DEFINE_ARRAY(member, blank)
};

/// A prefix that several routers own.
struct HotPrefix {
  uint64_t root = 0;    ///< hash of the chain's first block
  uint32_t owners = 1;  ///< the first so many routers in rendezvous order
  MSGPACK_DEFINE_ARRAY(root, owners)
};

/// First owner of prefixes to routers and sidecars: these have several owners.
struct HotPrefixes {
  std::vector<HotPrefix> prefixes;
  MSGPACK_DEFINE_ARRAY(prefixes)
};

/// Any message. New alternatives go at the end.
using Message =
    Packed<SubmitRequest, RequestDispatched, StreamPiece, RequestFinished, CancelRequest, RouterDraining,
           ControlCall, ControlAnswer, NodePoll, NodePollAnswer, BlockChanges, LoadDigest, QuotaRequest,
           QuotaGrant, PeerMessage, JoinRequest, Ping, Pong, HotPrefixes, fleet::RouterStatus,
           fleet::FleetUpdate, fleet::PeerNews, fleet::ConfirmedRead, fleet::ConfirmedReadAnswer,
           fleet::MemberAddresses, fleet::PlacementNews, fleet::FleetNews, fleet::RouterLoads,
           fleet::ConfirmationQuestion, fleet::ConfirmationAnswer>;

}  // namespace stoat::wire

MSGPACK_ADD_ENUM(stoat::wire::RequestKind);
MSGPACK_ADD_ENUM(stoat::wire::Outcome);
MSGPACK_ADD_ENUM(stoat::wire::FailureReason);
MSGPACK_ADD_ENUM(stoat::wire::CallStatus);
