/// The names and paths by which operators, back ends and callers speak to a control member, as data: the
/// defaults are the product's own, and an adapter to another platform gives its own.
#pragma once

#include <string>

namespace stoat::control {

/// Names of JSON fields that differ between platforms. Fields with the plain words of the field (name, host,
/// kind and the like) are the same everywhere and stand in fleet_bodies.cc.
struct JsonFieldNames {
  // a configuration
  std::string open_route = "open";
  std::string shares = "shares";
  std::string store_address = "store_address";
  std::string kv_tokens = "kv_tokens";
  std::string kv_bytes = "kv_bytes_per_token";
  std::string quota_rate = "quota_per_second";
  std::string quota_burst = "quota_burst";
  std::string quota_unit = "quota_unit";
  std::string tokens_without_count = "tokens_without_count";
  std::string keys = "keys";
  // what a cache tells of its changes
  std::string next_event = "next_event";
  std::string gap = "gap";
  // a heartbeat
  std::string software = "software";
  std::string started = "started_ms";  ///< Unix time of the back end's start; also in a report
  std::string heartbeat_address = "heartbeat_address";  ///< in the answer: where later ones should go
  // an operator's order to move a service to another version
  std::string rollout_target = "target_version";
  std::string rollout_seconds = "duration_s";
  // an order to an engine
  std::string operation = "operation";
  std::string load_weights = "load_weights";  ///< the operation
  std::string mode = "running_requests";
  std::string mode_continue = "continue";  ///< running requests go on under the new weights
  std::string holder = "leader";
  std::string fence = "fence";
  std::string expected_sequence = "expected_sequence";
};

/// Paths of HTTP requests.
struct FleetPaths {
  // of a control member
  std::string configuration = "/v1/configuration";
  std::string weights = "/v1/weights";
  std::string backends = "/v1/backends/";  ///< the id follows
  std::string routers = "/v1/routers";
  std::string zone_parameter = "zone";  ///< of a question for routers: the zone of the caller
  std::string status = "/v1/status";
  std::string rollouts = "/v1/rollouts";  ///< the service's name follows in a question for one
  // of an engine or a store
  std::string order = "/v1/order";
  std::string report = "/v1/report";
  std::string cache_events = "/v1/cache-events";
};

/// See the head of this file.
struct FleetHttpInterface {
  JsonFieldNames bodies;
  FleetPaths paths;
  std::string expected_backend_header = "X-Expected-Backend";
  std::string wait_header = "X-Wait-Ms";  ///< how long a cache may wait with its answer for changes
};

}  // namespace stoat::control
