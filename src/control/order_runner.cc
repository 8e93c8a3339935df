// ControlServer: the leader follows the platform's machine list and carries out orders to engines, paced.
#include "src/control/control_server.h"

namespace stoat::control {

namespace {

using nlohmann::json;

constexpr Duration kCallTimeout = 2s;

}  // namespace

void ControlServer::poll_platform() {
  Endpoint endpoint;
  if (!core_->replica().leads() || !parse_endpoint(settings_.platform, endpoint)) {
    return;
  }
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.path = "/machines";
  request.timeout = kCallTimeout;
  client_.start(request, nullptr, [this](const http::ClientResult& result) {
    const json body = json::parse(result.body, nullptr, false);
    if (result.status != 200 || !body.is_object() || !body.contains("leaving") ||
        !body["leaving"].is_array()) {
      return;  // the last list stays in force
    }
    std::vector<std::string> leaving;
    for (const json& name : body["leaving"]) {
      if (name.is_string()) {
        leaving.push_back(name.get<std::string>());
      }
    }
    core_->set_leaving(std::move(leaving));
  });
}

void ControlServer::run_orders() {
  if (!core_->replica().leads()) {
    orders_under_way_.clear();
    return;
  }
  for (const auto& [backend, order] : core_->state().orders()) {
    const auto under_way = orders_under_way_.find(backend);
    if (order.complete) {
      if (under_way != orders_under_way_.end()) {
        orders_under_way_.erase(under_way);
      }
      continue;
    }
    if (under_way != orders_under_way_.end() && under_way->second == order.fence) {
      check_order(backend, order);
    } else if (orders_under_way_.size() < static_cast<size_t>(settings_.max_weight_loads) ||
               under_way != orders_under_way_.end()) {
      orders_under_way_[backend] = order.fence;
      send_order(backend, order);
    }
  }
}

void ControlServer::send_order(const std::string& backend, const Order& order) {
  const auto found = core_->state().configuration().backends.find(backend);
  http::ClientRequest request;
  if (found == core_->state().configuration().backends.end() ||
      !parse_endpoint(found->second.endpoint, request.endpoint)) {
    return;
  }
  request.method = "POST";
  request.path = "/orders";
  request.timeout = kCallTimeout;
  request.body = json{{"fence", order.fence}, {"weights_version", order.argument}}.dump();
  client_.start(request, nullptr, [this, backend, fence = order.fence](const http::ClientResult& result) {
    log_.info("order sent", {{"backend", backend}, {"fence", fence}, {"status", result.status}});
    if (result.status == 0) {
      orders_under_way_.erase(backend);  // try again at the next round
    }
  });
}

void ControlServer::check_order(const std::string& backend, const Order& order) {
  const auto found = core_->state().configuration().backends.find(backend);
  http::ClientRequest request;
  if (found == core_->state().configuration().backends.end() ||
      !parse_endpoint(found->second.endpoint, request.endpoint)) {
    return;
  }
  request.path = "/status";
  request.timeout = kCallTimeout;
  client_.start(request, nullptr, [this, backend, order](const http::ClientResult& result) {
    const json body = json::parse(result.body, nullptr, false);
    const bool loaded = result.status == 200 && body.is_object() && body.contains("load") &&
                        body["load"].value("weights_version", "") == order.argument;
    if (!loaded) {
      return;
    }
    orders_under_way_.erase(backend);
    const uint64_t token = add_waiting([](const CallAnswer&) {});
    core_->call(token, CompleteOrder{backend, order.fence}, 0, loop_.now());
    driver_->drive();
  });
}

}  // namespace stoat::control
