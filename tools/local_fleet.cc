#include "tools/local_fleet.h"

#include <fstream>
#include <stdexcept>

#include "src/common/hash.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

constexpr Duration kPollStep = 50ms;
constexpr Duration kFetchTimeout = 2s;
constexpr char kZone[] = "local/zone-a";

std::string quoted_text(const std::string& text) { return "\"" + text + "\""; }

std::string numbered(const std::string& prefix, uint32_t number) {
  return prefix + "-" + std::to_string(number);
}

}  // namespace

LocalFleet::LocalFleet(ProcessFleet& processes, const LocalFleetSettings& settings)
    : processes_(processes), settings_(settings) {
  if (settings.cuttable_links) {
    links_ = std::make_unique<LinkProxy>();
  }
  add_controls();
  add_backends();
  add_routers();
  add_sidecars();
}

std::string LocalFleet::ledger_file(const std::string& name) const {
  return processes_.work_folder() + "/" + name + ".ledger";
}

Endpoint LocalFleet::reached_at(const std::string& name, const Endpoint& listen) {
  if (links_ == nullptr) {
    return listen;
  }
  Endpoint proxied = processes_.free_endpoint();
  links_->add_link(name, proxied, listen);
  return proxied;
}

void LocalFleet::add_controls() {
  http_["platform"] = processes_.free_endpoint();
  processes_.add("platform", "standin-platform",
                 {"listen=" + quoted_text(to_string(http_["platform"])), "lag_ms=200"});
  std::vector<std::string> listens;
  for (uint32_t number = 1; number <= settings_.controls; ++number) {
    const Endpoint listen = processes_.free_endpoint();
    listens.push_back(to_string(listen));
    control_endpoints_.push_back(to_string(reached_at(numbered("control", number), listen)));
  }
  for (uint32_t number = 1; number <= settings_.controls; ++number) {
    const std::string name = numbered("control", number);
    http_[name] = processes_.free_endpoint();
    std::string peers;
    for (uint32_t peer = 1; peer <= settings_.controls; ++peer) {
      if (peer != number) {
        peers += (peers.empty() ? "" : ",") +
                 quoted_text(numbered("control", peer) + "=" + control_endpoints_[peer - 1]);
      }
    }
    std::vector<std::string> values{"name=" + quoted_text(name),
                                    "listen=" + quoted_text(listens[number - 1]),
                                    "advertise=" + quoted_text(control_endpoints_[number - 1]),
                                    "admin=" + quoted_text(to_string(http_[name])),
                                    "data_folder=" + quoted_text(processes_.folder(name)),
                                    "platform=" + quoted_text(to_string(http_["platform"])),
                                    "peers=[" + peers + "]",
                                    "found_cluster=true"};
    values.insert(values.end(), settings_.control_settings.begin(), settings_.control_settings.end());
    processes_.add(name, "stoat-first-control", values);
  }
}

std::string LocalFleet::control_list() const {
  std::string list;
  for (const std::string& endpoint : control_endpoints_) {
    list += (list.empty() ? "" : ",") + quoted_text(endpoint);
  }
  return "control=[" + list + "]";
}

void LocalFleet::add_backends() {
  const DeploymentNames names = deployment_names(settings_.workload);
  for (uint32_t number = 1; number <= settings_.engines; ++number) {
    const std::string name = numbered("engine", number);
    http_[name] = processes_.free_endpoint();
    engine_endpoints_[name] = reached_at(name, http_[name]);
    std::vector<std::string> values{"name=" + quoted_text(name),
                                    "listen=" + quoted_text(to_string(http_[name])),
                                    "model=" + quoted_text(names.model),
                                    "ledger_file=" + quoted_text(ledger_file(name)), "feed_delay_ms=100"};
    values.insert(values.end(), settings_.engine_settings.begin(), settings_.engine_settings.end());
    processes_.add(name, "standin-engine", values);
  }
  for (uint32_t number = 1; number <= settings_.plain_backends; ++number) {
    const std::string name = numbered("plain", number);
    http_[name] = processes_.free_endpoint();
    processes_.add(name, "standin-service",
                   {"name=" + quoted_text(name), "listen=" + quoted_text(to_string(http_[name])),
                    "ledger_file=" + quoted_text(ledger_file(name))});
  }
  for (uint32_t number = 1; number <= settings_.kv_stores; ++number) {
    const std::string name = numbered("kv-store", number);
    http_[name] = processes_.free_endpoint();
    processes_.add(name, "standin-kv-store",
                   {"name=" + quoted_text(name), "listen=" + quoted_text(to_string(http_[name]))});
  }
}

void LocalFleet::add_routers() {
  for (uint32_t number = 1; number <= settings_.routers; ++number) {
    const std::string name = numbered("router", number);
    http_[name] = processes_.free_endpoint();
    const Endpoint listen = processes_.free_endpoint();
    std::vector<std::string> values{"name=" + quoted_text(name),
                                    "zone=" + quoted_text(kZone),
                                    "listen=" + quoted_text(to_string(listen)),
                                    "advertise=" + quoted_text(to_string(reached_at(name, listen))),
                                    "http=" + quoted_text(to_string(http_[name])),
                                    "data_folder=" + quoted_text(processes_.folder(name)),
                                    "control_poll_ms=200",
                                    control_list()};
    values.insert(values.end(), settings_.router_settings.begin(), settings_.router_settings.end());
    processes_.add(name, "stoat-first-router", values);
  }
}

void LocalFleet::add_sidecars() {
  for (uint32_t number = 1; number <= settings_.sidecars; ++number) {
    const std::string name = numbered("sidecar", number);
    http_[name] = processes_.free_endpoint();
    std::vector<std::string> values{"name=" + quoted_text(name),
                                    "zone=" + quoted_text(kZone),
                                    "listen=" + quoted_text(to_string(http_[name])),
                                    "data_folder=" + quoted_text(processes_.folder(name)),
                                    "control_poll_ms=200",
                                    control_list()};
    values.insert(values.end(), settings_.sidecar_settings.begin(), settings_.sidecar_settings.end());
    processes_.add(name, "stoat-sidecar", values);
  }
}

json LocalFleet::configuration_items() const {
  const DeploymentNames names = deployment_names(settings_.workload);
  json items = json::array();
  for (const std::string& tenant : names.tenants) {
    items.push_back({{"tenant", {{"name", tenant}, {"api_keys", {tool_api_key(tenant)}}}}});
  }
  items.push_back({{"model", {{"name", names.model}, {"weights_version", "v1"}}}});
  const auto add_backends = [&](const char* prefix, const char* kind, const std::string& serves) {
    for (const std::string& name : names_with_prefix(prefix)) {
      const auto proxied = engine_endpoints_.find(name);
      const Endpoint& endpoint = proxied == engine_endpoints_.end() ? http_.at(name) : proxied->second;
      items.push_back({{"backend",
                        {{"name", name},
                         {"kind", kind},
                         {"serves", serves},
                         {"zone", kZone},
                         {"endpoint", to_string(endpoint)}}}});
    }
  };
  add_backends("engine-", "engine", names.model);
  add_backends("plain-", "plain", names.plain_service);
  add_backends("kv-store-", "kv_store", names.model);
  items.push_back({{"table", {{{"kind", "service"}, {"name", names.plain_service}, {"repeatable", false}}}}});
  return items;
}

std::vector<std::string> LocalFleet::names_with_prefix(const std::string& prefix) const {
  std::vector<std::string> names;
  for (const auto& [name, endpoint] : http_) {
    if (name.starts_with(prefix)) {
      names.push_back(name);
    }
  }
  return names;
}

bool LocalFleet::wait_until(const std::function<bool()>& condition, Duration limit) {
  for (Duration waited{0}; waited < limit; waited += kPollStep) {
    if (condition()) {
      return true;
    }
    sleep_for(kPollStep);
  }
  return condition();
}

void LocalFleet::start(Duration limit) {
  for (const std::string& name : processes_.names()) {
    processes_.start(name);
  }
  if (!wait_until([&] { return !leader().empty(); }, limit)) {
    throw std::runtime_error("no control member leads");
  }
  change(configuration_items());
  for (const std::string& name : names_with_prefix("sidecar-")) {
    const bool ready = wait_until(
        [&] {
          const json status = get(name, "/status");
          return status.is_object() && status["version"] >= version_ &&
                 status["usable_routers"] >= names_with_prefix("router-").size();
        },
        limit);
    if (!ready) {
      throw std::runtime_error(name + " is not ready; status " + get(name, "/status").dump());
    }
  }
  for (const std::string& name : names_with_prefix("router-")) {
    const auto knows_engines = [&] {
      const json status = get(name, "/status");
      return status.is_object() && status["version"] >= version_ &&
             status["engines"].size() >= settings_.engines && status["known_routers"] >= settings_.routers;
    };
    if (!wait_until(knows_engines, limit)) {
      throw std::runtime_error(name + " does not know the engines and routers; status " +
                               get(name, "/status").dump());
    }
  }
}

std::vector<std::string> LocalFleet::stop() {
  std::vector<std::string> unclean;
  for (const char* prefix :
       {"sidecar-", "router-", "engine-", "plain-", "kv-store-", "control-", "platform"}) {
    const std::vector<std::string> names = names_with_prefix(prefix);
    for (const std::string& name : names) {
      processes_.ask_to_stop(name);
    }
    for (const std::string& name : names) {
      if (processes_.wait_stopped(name) != 0) {
        unclean.push_back(name);
      }
    }
  }
  return unclean;
}

std::vector<Endpoint> LocalFleet::sidecar_endpoints() const {
  std::vector<Endpoint> endpoints;
  for (const std::string& name : names_with_prefix("sidecar-")) {
    endpoints.push_back(http_.at(name));
  }
  return endpoints;
}

std::vector<Endpoint> LocalFleet::control_members() const {
  std::vector<Endpoint> members;
  for (const std::string& text : control_endpoints_) {
    Endpoint endpoint;
    parse_endpoint(text, endpoint);
    members.push_back(endpoint);
  }
  return members;
}

json LocalFleet::get(const std::string& name, const std::string& path) const {
  http::ClientRequest request;
  request.endpoint = http_.at(name);
  request.path = path;
  request.timeout = kFetchTimeout;
  const json body = json::parse(http::fetch(request).body, nullptr, false);
  return body.is_discarded() ? json() : body;
}

std::vector<std::string> LocalFleet::nodes_below(uint64_t version) const {
  std::vector<std::string> below;
  for (const char* prefix : {"router-", "sidecar-"}) {
    for (const std::string& name : names_with_prefix(prefix)) {
      const json status = get(name, "/status");
      if (!status.is_object() || status["version"] < version) {
        below.push_back(name);
      }
    }
  }
  return below;
}

std::string LocalFleet::leader() const {
  for (const std::string& name : names_with_prefix("control-")) {
    const json status = get(name, "/status");
    if (status.is_object() && status.value("leads", false)) {
      return name;
    }
  }
  return "";
}

http::ClientResult LocalFleet::admin(const std::string& method, const std::string& path, const json& body,
                                     Duration limit) const {
  http::ClientRequest request;
  request.method = method;
  request.path = path;
  request.body = body.is_null() ? "" : body.dump();
  request.timeout = kFetchTimeout;
  http::ClientResult result;
  wait_until(
      [&] {
        const std::string name = leader();
        if (name.empty()) {
          return false;
        }
        request.endpoint = http_.at(name);
        result = http::fetch(request);
        return result.status != 0 && result.status != 503;
      },
      limit);
  return result;
}

void LocalFleet::change(const json& items) {
  const json present = json::parse(admin("GET", "/v1/configuration", json()).body, nullptr, false);
  if (!present.is_object()) {
    throw std::runtime_error("the configuration can't be read");
  }
  const json body = {{"operator", "local-fleet"},
                     {"operator_request_id", "local-fleet-" + std::to_string(++last_change_)},
                     {"base_version", present["version"]},
                     {"items", items}};
  const http::ClientResult result = admin("POST", "/v1/changes", body);
  if (result.status != 200) {
    throw std::runtime_error("the change was refused: " + result.body);
  }
  version_ = json::parse(result.body).value("version", version_);
}

std::map<std::string, uint32_t> LocalFleet::runs_per_key() const {
  std::map<std::string, uint32_t> runs;
  for (const char* prefix : {"engine-", "plain-"}) {
    for (const std::string& name : names_with_prefix(prefix)) {
      std::ifstream file(ledger_file(name));
      for (std::string line; std::getline(file, line);) {
        const json entry = json::parse(line, nullptr, false);
        if (entry.is_object()) {
          ++runs[entry.value("idempotency_key", "")];
        }
      }
    }
  }
  return runs;
}

}  // namespace stoat::tools
