// ControlServer: the administration API. docs/API.md describes it.
#include "src/control/configuration_json.h"
#include "src/control/control_server.h"

namespace stoat::control {

namespace {

using nlohmann::json;

json error_json(const std::string& code, const std::string& message) {
  return {{"error", {{"code", code}, {"message", message}}}};
}

json findings_json(const Findings& findings) {
  json list = json::array();
  for (const Finding& finding : findings.list()) {
    list.push_back({{"place", finding.file}, {"key", finding.key}, {"message", finding.message}});
  }
  return list;
}

int http_status(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return 200;
    case ResultCode::kVersionConflict:
      return 409;
    default:
      return 422;
  }
}

}  // namespace

void ControlServer::add_routes() {
  http::add_common_routes(*admin_, {&metrics_, [this] { return core_->quorum_age_ms(loop_.now()) >= 0; },
                                    [this] { return status_json(); }});
  const auto add = [this](const char* method, const char* path,
                          std::function<void(const http::ExchangePtr&)> handler) {
    admin_->route(method, path, [this, handler = std::move(handler)](const http::ExchangePtr& exchange) {
      if (authorized(exchange)) {
        handler(exchange);
        driver_->drive();
      }
    });
  };
  add("GET", "/v1/configuration", [this](const http::ExchangePtr& exchange) {
    with_confirmed_state(exchange, [this] { return to_json(core_->state().configuration()); });
  });
  add("GET", "/v1/history", [this](const http::ExchangePtr& exchange) {
    with_confirmed_state(exchange, [this] {
      json lines = json::array();
      for (const HistoryLine& line : core_->state().history()) {
        lines.push_back(to_json(line));
      }
      return json{{"history", lines}};
    });
  });
  add("GET", "/v1/orders", [this](const http::ExchangePtr& exchange) {
    with_confirmed_state(exchange, [this] { return orders_json(); });
  });
  add("GET", "/v1/nodes", [this](const http::ExchangePtr& exchange) {
    with_confirmed_state(exchange, [this] { return nodes_json(); });
  });
  add("GET", "/v1/members",
      [this](const http::ExchangePtr& exchange) { http::reply_json(*exchange, 200, members_json()); });
  add("POST", "/v1/changes", [this](const http::ExchangePtr& exchange) { post_change(exchange); });
  add("POST", "/v1/orders", [this](const http::ExchangePtr& exchange) { post_order(exchange); });
  add("POST", "/v1/members/replace", [this](const http::ExchangePtr& exchange) { post_replace(exchange); });
}

bool ControlServer::authorized(const http::ExchangePtr& exchange) const {
  if (settings_.operator_key.empty() ||
      exchange->header("Authorization") == "Bearer " + settings_.operator_key) {
    return true;
  }
  http::reply_json(*exchange, 401,
                   error_json("wrong_operator_key", "give the operator's key as a bearer token"));
  return false;
}

void ControlServer::reply_not_leader(http::Exchange& exchange) const {
  json body = error_json("not_leader", "this member does not lead; ask another one");
  body["error"]["leader"] = core_->leader_address();
  http::reply_json(exchange, 503, body, {{"Retry-After", "1"}});
}

void ControlServer::with_confirmed_state(const http::ExchangePtr& exchange, std::function<json()> body) {
  const uint64_t token = add_waiting([this, exchange, body = std::move(body)](const CallAnswer& answer) {
    if (answer.status == wire::CallStatus::kDone) {
      http::reply_json(*exchange, 200, body());
    } else {
      reply_not_leader(*exchange);
    }
  });
  core_->read(token, loop_.now());
}

void ControlServer::propose_for(const http::ExchangePtr& exchange, const Command& command) {
  const uint64_t token = add_waiting([this, exchange](const CallAnswer& answer) {
    if (answer.status != wire::CallStatus::kDone) {
      reply_not_leader(*exchange);
      return;
    }
    http::reply_json(*exchange, http_status(answer.result.code), to_json(answer.result));
  });
  const auto wall = std::chrono::system_clock::now().time_since_epoch();
  core_->call(token, command, std::chrono::duration_cast<std::chrono::milliseconds>(wall).count(),
              loop_.now());
}

void ControlServer::post_change(const http::ExchangePtr& exchange) {
  const json body = json::parse(exchange->body(), nullptr, false);
  Findings findings;
  ChangeConfiguration change;
  if (!body.is_object()) {
    findings.add({"body", 0, 0, "", "must be a JSON object"});
  } else {
    change.items = items_from_json(body.value("items", json()), findings);
    for (const char* key : {"operator_request_id", "operator"}) {
      if (!body.contains(key) || !body[key].is_string() || body[key].get<std::string>().empty()) {
        findings.add({"body", 0, 0, key, "must be text that is not empty"});
      }
    }
    if (!body.contains("base_version") || !body["base_version"].is_number_unsigned()) {
      findings.add({"body", 0, 0, "base_version", "must be the version that the change is based on"});
    }
  }
  if (!findings.empty()) {
    json error = error_json("bad_change", findings.to_text());
    error["error"]["findings"] = findings_json(findings);
    http::reply_json(*exchange, 400, error);
    return;
  }
  change.operator_request_id = body["operator_request_id"].get<std::string>();
  change.operator_name = body["operator"].get<std::string>();
  change.base_version = body["base_version"].get<uint64_t>();
  propose_for(exchange, change);
}

void ControlServer::post_order(const http::ExchangePtr& exchange) {
  const json body = json::parse(exchange->body(), nullptr, false);
  const bool good = body.is_object() && body.contains("backend") && body["backend"].is_string() &&
                    body.contains("weights_version") && body["weights_version"].is_string() &&
                    body.contains("operator_request_id") && body["operator_request_id"].is_string();
  if (!good) {
    http::reply_json(
        *exchange, 400,
        error_json("bad_order", "backend, weights_version and operator_request_id must be given as text"));
    return;
  }
  IssueOrder order;
  order.operator_request_id = body["operator_request_id"].get<std::string>();
  order.backend = body["backend"].get<std::string>();
  order.argument = body["weights_version"].get<std::string>();
  propose_for(exchange, order);
}

void ControlServer::post_replace(const http::ExchangePtr& exchange) {
  const json body = json::parse(exchange->body(), nullptr, false);
  if (!body.is_object() || !body.contains("name") || !body["name"].is_string()) {
    http::reply_json(*exchange, 400, error_json("bad_member", "name must be given as text"));
    return;
  }
  if (!core_->replica().leads()) {
    reply_not_leader(*exchange);
    return;
  }
  switch (core_->replace_member(body["name"].get<std::string>(), loop_.now())) {
    case consensus::ProposeError::kNone:
      http::reply_json(*exchange, 202, {{"state", "catching_up"}});
      break;
    case consensus::ProposeError::kNotLeader:
      reply_not_leader(*exchange);
      break;
    default:
      http::reply_json(
          *exchange, 409,
          error_json("not_possible_now", "no blank member of that name waits, or a change is under way"));
      break;
  }
}

json ControlServer::members_json() const {
  json members = json::array();
  for (const consensus::Member& member : core_->replica().members().members) {
    members.push_back({{"name", member.name},
                       {"address", member.address},
                       {"state", member.voter ? "voting" : "catching_up"},
                       {"leads", member.id == core_->replica().leader()},
                       {"lag_entries", core_->replica().leads() ? json(core_->replica().last_index() -
                                                                       core_->replica().match_of(member.id))
                                                                : json()}});
  }
  json joining = json::array();
  for (const consensus::Member& member : core_->joining()) {
    joining.push_back({{"name", member.name}, {"address", member.address}});
  }
  return {{"members", members},
          {"waiting_to_join", joining},
          {"quorum_age_ms", core_->quorum_age_ms(loop_.now())}};
}

json ControlServer::nodes_json() const {
  json nodes = json::array();
  for (const wire::Node& node : core_->live_nodes(loop_.now())) {
    nodes.push_back({{"name", node.name},
                     {"role", node.role},
                     {"endpoint", node.endpoint},
                     {"zone", node.zone},
                     {"version", node.configuration_version},
                     {"draining", node.draining}});
  }
  return {{"version", core_->state().configuration().version}, {"nodes", nodes}};
}

json ControlServer::orders_json() const {
  json orders = json::array();
  for (const auto& [backend, order] : core_->state().orders()) {
    orders.push_back({{"backend", backend},
                      {"fence", order.fence},
                      {"argument", order.argument},
                      {"complete", order.complete}});
  }
  return {{"orders", orders}};
}

json ControlServer::status_json() const {
  return {{"name", settings_.name},
          {"leads", core_->replica().leads()},
          {"leader", core_->leader_address()},
          {"term", core_->replica().term()},
          {"commit_index", core_->replica().commit_index()},
          {"snapshot_index", core_->replica().snapshot_index()},
          {"voter", core_->replica().is_voter()},
          {"quorum_age_ms", core_->quorum_age_ms(loop_.now())},
          {"version", core_->state().configuration().version},
          {"claims", core_->state().claim_count()},
          {"syncs", driver_->syncs()},
          {"members", members_json()["members"]}};
}

}  // namespace stoat::control
