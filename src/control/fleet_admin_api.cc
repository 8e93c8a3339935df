#include "src/control/fleet_admin_api.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "src/common/json_text.h"
#include "src/control/fleet_bodies.h"

namespace stoat::control {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
constexpr size_t kMaxRouterAddresses = 64;
constexpr char kJson[] = "application/json";
constexpr char kText[] = "text/plain";

void reply_empty(const http::ExchangePtr& exchange, bool done) {
  exchange->reply(done ? kOk : kUnavailable, kJson, "{}\n");
}

FleetServer::CommitCallback reply_when_committed(const http::ExchangePtr& exchange) {
  return [exchange](bool done) { reply_empty(exchange, done); };
}

const char* backend_state_text(const fleet::BackendRecord& backend) {
  if (backend.state != fleet::BackendState::kReady) {
    return "retired";
  }
  if (backend.lost) {
    return "lost";
  }
  return backend.loading ? "loading" : "ready";
}

nlohmann::json backend_status(const fleet::BackendRecord& backend) {
  std::string models;
  for (const fleet::ModelVersion& entry : backend.models) {
    models += (models.empty() ? "" : " ") + entry.model + "@" + std::to_string(entry.version);
  }
  return {{"id", backend.id},     {"service", backend.service},           {"address", backend.address},
          {"zone", backend.zone}, {"state", backend_state_text(backend)}, {"models", models}};
}

void reply_to_rollout_order(const http::ExchangePtr& exchange, const std::optional<CommandResult>& result) {
  if (!result) {
    reply_empty(exchange, false);
  } else if (result->code == ResultCode::kOk) {
    reply_empty(exchange, true);
  } else {
    const bool under_way = result->code == ResultCode::kRolloutInProgress;
    exchange->reply(under_way ? kConflict : kBadRequest, kText, result->message + "\n");
  }
}

}  // namespace

FleetAdminApi::FleetAdminApi(FleetServer& fleet, FleetHttpInterface interface, double directory_lifetime_s,
                             std::string heartbeat_address)
    : fleet_(fleet),
      interface_(std::move(interface)),
      directory_lifetime_s_(directory_lifetime_s),
      heartbeat_address_(std::move(heartbeat_address)) {}

void FleetAdminApi::refuse(const http::ExchangePtr& exchange, const Findings& findings) {
  unreadable_bodies_.report("call", findings, fleet_.now());
  exchange->reply(kBadRequest, kText, findings.to_text());
}

void FleetAdminApi::put_configuration(const http::ExchangePtr& exchange) {
  Findings findings;
  auto configuration = read_configuration(exchange->body(), interface_.field_names, findings);
  if (!configuration) {
    refuse(exchange, findings);
    return;
  }
  fleet_.commit(fleet::PutConfiguration{std::move(*configuration), exchange->body()},
                reply_when_committed(exchange));
}

void FleetAdminApi::get_configuration(const http::ExchangePtr& exchange) {
  fleet_.read_configuration([exchange](const std::optional<std::string>& source) {
    exchange->reply(source ? kOk : kUnavailable, kJson, source.value_or("{}\n"));
  });
}

void FleetAdminApi::set_target_weights(const http::ExchangePtr& exchange) {
  const auto named = read_named_weights(exchange->body());
  if (!named) {
    refuse(exchange, named.error());
    return;
  }
  fleet_.commit(*named, reply_when_committed(exchange));
}

void FleetAdminApi::order_rollout(const http::ExchangePtr& exchange) {
  Findings findings;
  fleet::StartServiceRollout order = read_rollout_order(exchange->body(), interface_.field_names, findings);
  if (!findings.empty()) {
    // An unknown service is reported here only together with other findings. If it is the only fault, the
    // check is left to the state machine when it applies the command, because this member may lag behind.
    if (!order.service.empty() && !fleet_.has_service(order.service)) {
      const std::string message = "'" + order.service + "' is no service with back ends";
      findings.add({"configuration", 0, 0, "rollout.service", message});
    }
    refuse(exchange, findings);
    return;
  }
  fleet_.order_rollout(std::move(order), [exchange](const std::optional<CommandResult>& result) {
    reply_to_rollout_order(exchange, result);
  });
}

void FleetAdminApi::get_rollout(const http::ExchangePtr& exchange) {
  const std::string service = exchange->path().substr(interface_.paths.rollouts.size() + 1);
  if (service.empty()) {
    exchange->reply(kNotFound, kText, "no service is named\n");
    return;
  }
  fleet_.read_rollout(service, [this, exchange](const auto& found) {
    if (!found) {
      reply_empty(exchange, false);
    } else if (found->empty()) {
      exchange->reply(kNotFound, kText, "no rollout was ordered for this service\n");
    } else {
      exchange->reply(kOk, kJson, rollout_body(found->front(), interface_.field_names));
    }
  });
}

void FleetAdminApi::retire(const http::ExchangePtr& exchange, const std::string& id,
                           fleet::BackendState state) {
  if (fleet_.is_retired(id, state)) {
    reply_empty(exchange, true);
    return;
  }
  fleet_.commit(fleet::RetireBackend{id, state}, reply_when_committed(exchange));
}

void FleetAdminApi::delete_backend(const http::ExchangePtr& exchange) {
  using Outcome = FleetServer::RetireOutcome;
  fleet_.retire_by_name(backend_name_from_path(*exchange), [exchange](Outcome outcome) {
    if (outcome == Outcome::kUnknownBackend) {
      exchange->reply(kNotFound, kText, "no back end of this name is known\n");
    } else {
      reply_empty(exchange, outcome == Outcome::kRetired);
    }
  });
}

std::string FleetAdminApi::backend_name_from_path(const http::Exchange& exchange) const {
  return exchange.path().substr(interface_.paths.backends.size());
}

void FleetAdminApi::put_heartbeat(const http::ExchangePtr& exchange) {
  const std::string name = backend_name_from_path(*exchange);
  if (!is_utf8(name)) {
    exchange->reply(kBadRequest, kText, "the back end's id is not UTF-8\n");
    return;
  }
  const auto record = read_heartbeat(name, exchange->body(), interface_.field_names);
  if (!record) {
    refuse(exchange, record.error());
    return;
  }
  if (fleet_.conflicts_with_registry(*record)) {
    exchange->reply(kConflict, kText, "another back end is known under this id or address\n");
    return;
  }
  const HeartbeatAdvice advice = fleet_.receive_heartbeat(*record);
  if (record->state != fleet::BackendState::kReady) {
    retire(exchange, record->id, record->state);
  } else if (advice == HeartbeatAdvice::kStayHere) {
    exchange->reply(kOk, kJson, heartbeat_reply_body(heartbeat_address_, interface_.field_names));
  } else {
    reply_empty(exchange, advice != HeartbeatAdvice::kMoveAway);
  }
}

void FleetAdminApi::get_status(const http::ExchangePtr& exchange) {
  nlohmann::json status = {{"leads", fleet_.leads()},
                           {"voters", fleet_.voter_count()},
                           {"configuration", fleet_.configuration_version()},
                           {"routers", nlohmann::json::array()},
                           {"backends", nlohmann::json::array()}};
  for (const fleet::RouterRecord& router : fleet_.ready_routers("", kMaxRouterAddresses)) {
    status["routers"].push_back({{"name", router.name}, {"address", router.address}, {"zone", router.zone}});
  }
  for (const fleet::BackendRecord& backend : fleet_.soft_state().registry().records()) {
    status["backends"].push_back(backend_status(backend));
  }
  exchange->reply(kOk, kJson, to_json_text(status) + "\n");
}

void FleetAdminApi::get_routers(const http::ExchangePtr& exchange) {
  std::vector<std::string> addresses;
  const std::string zone = exchange->query(interface_.paths.zone_parameter);
  for (const fleet::RouterRecord& router : fleet_.ready_routers(zone, kMaxRouterAddresses)) {
    addresses.push_back(router.address);
  }
  if (addresses.empty()) {
    exchange->reply(kUnavailable, kJson, "{}\n");
    return;
  }
  exchange->reply(kOk, kJson, routers_body(addresses, directory_lifetime_s_));
}

void FleetAdminApi::add_control_routes(http::Server& server) {
  const FleetPaths& paths = interface_.paths;
  server.route("PUT", paths.configuration,
               [this](const http::ExchangePtr& exchange) { put_configuration(exchange); });
  server.route("GET", paths.configuration,
               [this](const http::ExchangePtr& exchange) { get_configuration(exchange); });
  server.route("POST", paths.weights,
               [this](const http::ExchangePtr& exchange) { set_target_weights(exchange); });
  server.route("POST", paths.rollouts,
               [this](const http::ExchangePtr& exchange) { order_rollout(exchange); });
  server.route("GET", paths.rollouts + "/*",
               [this](const http::ExchangePtr& exchange) { get_rollout(exchange); });
  server.route("GET", paths.status, [this](const http::ExchangePtr& exchange) { get_status(exchange); });
  const std::string backends = paths.backends + "*";
  server.route("PUT", backends, [this](const http::ExchangePtr& exchange) { put_heartbeat(exchange); });
  server.route("DELETE", backends, [this](const http::ExchangePtr& exchange) { delete_backend(exchange); });
}

void FleetAdminApi::add_directory_routes(http::Server& server) {
  server.route("GET", interface_.paths.routers,
               [this](const http::ExchangePtr& exchange) { get_routers(exchange); });
}

}  // namespace stoat::control
