/// The whole configuration of a fleet as operators put it in force: routes, services, limits and tenants
/// under one version. Plain data with a MessagePack form, and its checks.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/common/findings.h"

namespace stoat::fleet {

/// How often a request of a route may run.
enum class RouteKind : uint8_t {
  kSafe,       ///< may run more than once
  kUnsafe,     ///< at most once for each attempt of the caller
  kStreaming,  ///< an event stream; repeatable only where the route is resumable
};

/// One service of a route's weighted split.
struct ServiceShare {
  std::string service;
  uint64_t weight = 1;
  MSGPACK_DEFINE_ARRAY(service, weight)
  bool operator==(const ServiceShare&) const = default;
};

/// Maps a host and a path prefix to services.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  RouteKind kind = RouteKind::kSafe;
  int64_t timeout_ms = 0;         ///< the longest that a request is held
  int64_t target_latency_ms = 0;  ///< the objective: answers within it count in full
  int64_t gap_target_ms = 0;      ///< of a stream: the longest pause between events that is still in time
  uint32_t priority = 0;          ///< 0 is the highest
  uint32_t attempts = 1;          ///< the most back ends that may run one attempt of a caller
  bool open = false;              ///< needs no key
  bool sticky = false;            ///< prompts have shared parts
  bool resumable = false;         ///< a broken stream may be taken up at another back end
  std::vector<ServiceShare> shares;
  MSGPACK_DEFINE_ARRAY(name, host, path_prefix, kind, timeout_ms, target_latency_ms, gap_target_ms, priority,
                       attempts, open, sticky, resumable, shares)
  bool operator==(const Route&) const = default;
  /// True when a request of this route may run more than once.
  bool repeatable() const { return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable); }
};

/// What is told of the engines of a service that runs models.
struct EngineProfile {
  uint32_t slots = 0;               ///< requests that run at once
  uint64_t kv_tokens = 0;           ///< memory for KV cache, in tokens
  double kv_bytes_per_token = 0;    ///< size of the KV cache of one token
  std::vector<std::string> models;  ///< names of the models that it serves
  bool backups = false;             ///< a run's memory can be copied to another engine while it grows
  double link_mbps = 0;             ///< of one engine's link for moves of KV cache, in Mbit/s; 0: unknown
  MSGPACK_DEFINE_ARRAY(slots, kv_tokens, kv_bytes_per_token, models, backups, link_mbps)
  bool operator==(const EngineProfile&) const = default;
};

/// A service: a set of back ends, or a store of kept KV cache.
struct Service {
  std::string name;
  std::string health_path;
  uint32_t connection_limit =
      0;  ///< connections that one back end takes from all callers together; 0: unknown
  bool runs_models = false;
  EngineProfile engine;       ///< counts when runs_models
  std::string store_address;  ///< "address:port" of a KV store; empty for ordinary services
  std::string store_zone;
  double store_link_mbps = 0;  ///< of the store's one link, in Mbit/s; 0: unknown
  MSGPACK_DEFINE_ARRAY(name, health_path, connection_limit, runs_models, engine, store_address, store_zone,
                       store_link_mbps)
  bool operator==(const Service&) const = default;
};

/// Bounds on what a caller may send, and on how long it may take.
struct Limits {
  uint64_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  int64_t header_timeout_ms = 3000;
  int64_t idle_timeout_ms = 15000;
  MSGPACK_DEFINE_ARRAY(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms)
  bool operator==(const Limits&) const = default;
};

/// What a tenant's quota counts.
enum class QuotaUnit : uint8_t {
  kRequests,
  kTokens,  ///< of the prompt, and the most to be made
};

/// What a tenant may use over all routers together: a rate, and a burst beyond it. A rate of 0: no limit.
struct TenantQuota {
  double per_second = 0;
  double burst = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  uint32_t tokens_without_count = 0;  ///< cost of a request that names no tokens
  MSGPACK_DEFINE_ARRAY(per_second, burst, unit, tokens_without_count)
  bool operator==(const TenantQuota&) const = default;
  bool limited() const { return per_second > 0; }
  /// What a request takes of the quota. `tokens`: those that it names, if it does.
  int64_t cost_of(std::optional<uint64_t> tokens) const {
    return unit == QuotaUnit::kRequests ? 1 : static_cast<int64_t>(tokens.value_or(tokens_without_count));
  }
};

/// A holder of access keys.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  uint32_t priority = 0;  ///< 0 is the highest; goes before the route's
  bool isolated = false;  ///< shares no KV cache with other tenants
  TenantQuota quota = {};
  MSGPACK_DEFINE_ARRAY(name, keys, priority, isolated, quota)
  bool operator==(const Tenant&) const = default;
};

/// See the head of this file. Version 0 means that none is known.
struct FleetConfiguration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  std::vector<Tenant> tenants;
  MSGPACK_DEFINE_ARRAY(version, routes, services, limits, tenants)
  bool operator==(const FleetConfiguration&) const = default;
};

/// Adds a finding for each contradiction: a route to an unknown service or without weight or time-out, two
/// routes at one place, a key of two tenants, a quota that is not a finite number of 0 or more.
void check_configuration(const FleetConfiguration& configuration, Findings& findings);

}  // namespace stoat::fleet

MSGPACK_ADD_ENUM(stoat::fleet::RouteKind);
MSGPACK_ADD_ENUM(stoat::fleet::QuotaUnit);
