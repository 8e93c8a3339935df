/// The fleet configuration set by operators: routes, services, limits and tenants under one version number.
/// Plain data with MessagePack encoding, and its validation.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/common/findings.h"

namespace stoat::fleet {

/// Whether a request of a route may run more than once.
enum class RouteKind : uint8_t {
  kSafe,       ///< may run more than once
  kUnsafe,     ///< may run at most once per attempt of the caller
  kStreaming,  ///< an event stream; repeatable only if the route is resumable
};

/// One service in a route's weighted traffic split.
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
  int64_t timeout_ms = 0;         ///< maximum time that a request is held
  int64_t target_latency_ms = 0;  ///< latency objective: answers within it get full credit
  int64_t gap_target_ms = 0;      ///< streams: the longest gap between events that meets the objective
  uint32_t priority = 0;          ///< 0 is the highest
  uint32_t attempts = 1;          ///< maximum number of backends that may run one attempt of a caller
  bool open = false;              ///< requires no access key
  bool sticky = false;            ///< prompts share prefixes, so KV cache placement matters
  bool resumable = false;         ///< a broken stream may be resumed at another backend
  std::vector<ServiceShare> shares;
  MSGPACK_DEFINE_ARRAY(name, host, path_prefix, kind, timeout_ms, target_latency_ms, gap_target_ms, priority,
                       attempts, open, sticky, resumable, shares)
  bool operator==(const Route&) const = default;
  /// True when a request of this route may run more than once.
  bool repeatable() const { return kind == RouteKind::kSafe || (kind == RouteKind::kStreaming && resumable); }
};

/// Properties of the engines of a service that runs models.
struct EngineProfile {
  uint32_t slots = 0;               ///< requests that run concurrently
  uint64_t kv_tokens = 0;           ///< KV cache capacity, in tokens
  double kv_bytes_per_token = 0;    ///< KV cache size of one token
  std::vector<std::string> models;  ///< names of the served models
  bool backups = false;  ///< the KV cache of a running request can be copied to another engine as it grows
  double link_mbps = 0;  ///< bandwidth of one engine's link for KV cache transfers, in Mbit/s; 0: unknown
  MSGPACK_DEFINE_ARRAY(slots, kv_tokens, kv_bytes_per_token, models, backups, link_mbps)
  bool operator==(const EngineProfile&) const = default;
};

/// A service: a set of backends, or a KV cache store.
struct Service {
  std::string name;
  std::string health_path;
  uint32_t connection_limit =
      0;  ///< connections that one backend accepts from all callers together; 0: unknown
  bool runs_models = false;
  EngineProfile engine;       ///< used when runs_models is set
  std::string store_address;  ///< "address:port" of a KV store; empty for ordinary services
  std::string store_zone;
  double store_link_mbps = 0;  ///< bandwidth of the store's one link, in Mbit/s; 0: unknown
  MSGPACK_DEFINE_ARRAY(name, health_path, connection_limit, runs_models, engine, store_address, store_zone,
                       store_link_mbps)
  bool operator==(const Service&) const = default;
};

/// Limits on the size of a request and on the time that a caller may take to send it.
struct Limits {
  uint64_t header_bytes = 16384;
  uint64_t body_bytes = 4194304;
  int64_t header_timeout_ms = 3000;
  int64_t idle_timeout_ms = 15000;
  MSGPACK_DEFINE_ARRAY(header_bytes, body_bytes, header_timeout_ms, idle_timeout_ms)
  bool operator==(const Limits&) const = default;
};

/// Unit of a tenant's quota.
enum class QuotaUnit : uint8_t {
  kRequests,
  kTokens,  ///< tokens of the prompt plus the maximum number to be generated
};

/// What a tenant may use across all routers: a sustained rate, and a burst on top of it. A rate of 0: no
/// limit.
struct TenantQuota {
  double per_second = 0;
  double burst = 0;
  QuotaUnit unit = QuotaUnit::kRequests;
  uint32_t tokens_without_count = 0;  ///< cost of a request without token counts
  MSGPACK_DEFINE_ARRAY(per_second, burst, unit, tokens_without_count)
  bool operator==(const TenantQuota&) const = default;
  bool limited() const { return per_second > 0; }
  /// Cost of a request. `tokens`: its token count, if it states one.
  int64_t cost_of(std::optional<uint64_t> tokens) const {
    return unit == QuotaUnit::kRequests ? 1 : static_cast<int64_t>(tokens.value_or(tokens_without_count));
  }
};

/// A tenant and its access keys.
struct Tenant {
  std::string name;
  std::vector<std::string> keys;
  uint32_t priority = 0;  ///< 0 is the highest; takes precedence over the route's priority
  bool isolated = false;  ///< shares no KV cache with other tenants
  TenantQuota quota = {};
  MSGPACK_DEFINE_ARRAY(name, keys, priority, isolated, quota)
  bool operator==(const Tenant&) const = default;
};

/// The configuration of a fleet. Version 0 means that none is known.
struct FleetConfiguration {
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  Limits limits;
  std::vector<Tenant> tenants;
  MSGPACK_DEFINE_ARRAY(version, routes, services, limits, tenants)
  bool operator==(const FleetConfiguration&) const = default;
};

/// Validates a configuration. Adds a finding for each error: version 0, a duplicate service name, a route to
/// an unknown service or without weight or time-out, two routes with the same host and path prefix, an access
/// key of two tenants, a quota that is not a finite number of 0 or more.
void check_configuration(const FleetConfiguration& configuration, Findings& findings);

}  // namespace stoat::fleet

MSGPACK_ADD_ENUM(stoat::fleet::RouteKind);
MSGPACK_ADD_ENUM(stoat::fleet::QuotaUnit);
