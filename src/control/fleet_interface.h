/// Field names, paths and headers of the HTTP interface between control members and operators, backends,
/// engines and clients. The defaults are stoatstack's own; an adapter to another platform supplies different
/// values.
#pragma once

#include <string>

namespace stoat::control {

/// Names of JSON fields that differ between platforms. Common names such as name, host and kind are the same
/// everywhere and are literals in fleet_bodies.cc.
struct JsonFieldNames {
  // configuration
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
  // cache events
  std::string next_event = "next_event";
  std::string gap = "gap";
  // heartbeat
  std::string software = "software";
  std::string started = "started_ms";  ///< Unix time of the backend's start, in ms; also in a report
  std::string heartbeat_address = "heartbeat_address";  ///< in the reply: where to send later heartbeats
  // operator's order to roll out another version of a service
  std::string rollout_target = "target_version";
  std::string rollout_seconds = "duration_s";
  // order to an engine to load weights
  std::string operation = "operation";
  std::string load_weights = "load_weights";  ///< value of `operation`
  std::string mode = "running_requests";
  std::string mode_continue =
      "continue";  ///< value of `mode`: running requests continue with the new weights
  std::string holder = "leader";
  std::string fencing_token_field = "fence";
  std::string expected_sequence = "expected_sequence";
};

/// Paths of HTTP requests.
struct FleetPaths {
  // control member
  std::string configuration = "/v1/configuration";
  std::string weights = "/v1/weights";
  std::string backends = "/v1/backends/";  ///< followed by the backend's id
  std::string routers = "/v1/routers";
  std::string zone_parameter = "zone";  ///< query parameter of `routers`: the client's zone
  std::string status = "/v1/status";
  std::string rollouts = "/v1/rollouts";  ///< with "/" and a service's name: state of its rollout
  // engine or KV store
  std::string order = "/v1/order";
  std::string report = "/v1/report";
  std::string cache_events = "/v1/cache-events";
};

/// The names by which a control member reads and writes HTTP messages of operators, backends, engines and
/// clients.
struct FleetHttpInterface {
  JsonFieldNames field_names;
  FleetPaths paths;
  std::string expected_backend_header = "X-Expected-Backend";
  std::string wait_header = "X-Wait-Ms";  ///< how long a cache may wait for changes before it replies, in ms
};

}  // namespace stoat::control
