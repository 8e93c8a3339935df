#include "tools/loopback_fleet.h"

#include <fstream>
#include <map>
#include <stdexcept>

#include "src/common/json_text.h"
#include "src/http/blocking.h"

namespace stoat::tools {

namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr Duration kStartTimeout = 30s;
constexpr Duration kPollInterval = 50ms;
constexpr Duration kCallTimeout = 3s;
constexpr Duration kRequestTimeout = 1s;

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

std::string setting(const std::string& key, const std::string& text) { return key + "=" + quoted(text); }

std::string list_setting(const std::string& key, const std::vector<Endpoint>& endpoints) {
  std::string list;
  for (const Endpoint& endpoint : endpoints) {
    list += (list.empty() ? "" : ",") + quoted(to_string(endpoint));
  }
  return key + "=[" + list + "]";
}

json rename_fields(const json& document, const std::map<std::string, std::string>& new_names) {
  if (!document.is_structured()) {
    return document;
  }
  json renamed = document.is_array() ? json::array() : json::object();
  for (const auto& [name, value] : document.items()) {
    const auto found = new_names.find(name);
    const json inner = rename_fields(value, new_names);
    if (document.is_array()) {
      renamed.push_back(inner);
    } else {
      renamed[found == new_names.end() ? name : found->second] = inner;
    }
  }
  return renamed;
}

http::ClientResult send_request(const Endpoint& endpoint, const std::string& method, const std::string& path,
                                const std::string& body = "") {
  http::ClientRequest request;
  request.endpoint = endpoint;
  request.method = method;
  request.path = path;
  request.body = body;
  request.timeout = kCallTimeout;
  return http::fetch(request);
}

}  // namespace

LoopbackFleet::LoopbackFleet(ProcessFleet& processes, const LoopbackFleetOptions& options)
    : processes_(processes), options_(options) {
  add_control_members();
  add_routers();
  for (uint32_t number = 1; number <= options.engines; ++number) {
    add_backend("engine-" + std::to_string(number), "engines", true);
  }
  for (uint32_t number = 1; number <= options.services; ++number) {
    const bool limited = number <= options.limited_services;
    add_backend("service-" + std::to_string(number), "search", false, limited ? options.rate_limit : 0);
  }
}

void LoopbackFleet::add_control_members() {
  std::vector<Endpoint> internal;
  for (uint32_t number = 1; number <= options_.control_members; ++number) {
    internal.push_back(processes_.free_endpoint());
    internal.back().address = "127.0.0." + std::to_string(number);
  }
  seeds_setting_ = list_setting("seeds", internal);
  for (uint32_t number = 1; number <= options_.control_members; ++number) {
    const std::string name = "control-" + std::to_string(number);
    control_names_.push_back(name);
    admin_endpoints_.push_back(processes_.free_endpoint());
    add_server(name, options_.programs.control,
               {setting("name", name), setting("zone", "zone-" + std::to_string(number)), seeds_setting_,
                setting("internal", to_string(internal[number - 1])),
                setting("control", to_string(admin_endpoints_.back())),
                setting("directory", to_string(processes_.free_endpoint())),
                setting("metrics", to_string(processes_.free_endpoint())),
                setting("data_folder", processes_.make_folder(name + "-data")), "first_start=true",
                "tolerated_losses=" + std::to_string((options_.control_members - 1) / 2)},
               options_.control_settings);
  }
}

void LoopbackFleet::add_server(const std::string& name, const std::string& program,
                               std::vector<std::string> settings,
                               const std::vector<std::string>& more_settings) {
  settings.insert(settings.end(), more_settings.begin(), more_settings.end());
  processes_.add(name, program, settings);
  if (!options_.first_bin_folder.empty()) {
    processes_.set_bin_folder(name, options_.first_bin_folder);
  }
}

void LoopbackFleet::add_routers() {
  for (uint32_t number = 1; number <= options_.routers; ++number) {
    const std::string name = "router-" + std::to_string(number);
    router_endpoints_.push_back(processes_.free_endpoint());
    add_server(name, options_.programs.router,
               {setting("name", name), setting("zone", "zone-" + std::to_string(number)), seeds_setting_,
                setting("listen", to_string(router_endpoints_.back())),
                setting("ready", to_string(processes_.free_endpoint())),
                setting("metrics", to_string(processes_.free_endpoint()))});
    processes_.add_own_settings(name, {setting("relay", to_string(processes_.free_endpoint()))});
  }
}

void LoopbackFleet::add_backend(const std::string& name, const std::string& service, bool engine,
                                double rate_limit) {
  backend_names_.push_back(name);
  std::vector<std::string> settings = {setting("name", name), setting("service", service),
                                       setting("listen", to_string(processes_.free_endpoint())),
                                       setting("runs_file", runs_file(name)),
                                       list_setting("control", admin_endpoints_)};
  if (!engine && !options_.software.empty()) {
    settings.push_back(setting("software", options_.software));
  }
  if (engine && !options_.engine_software.empty()) {
    const size_t turn = backend_names_.size() - 1;
    settings.push_back(setting("software", options_.engine_software[turn % options_.engine_software.size()]));
  }
  if (engine) {
    settings.push_back(setting("model", LoadTarget().model));
    settings.push_back("slots=16");
    settings.push_back("token_ms=10");
    settings.push_back("prefill_us_per_token=30");
  }
  if (!engine && !options_.crash_on.empty()) {
    settings.push_back(setting("crash_on", options_.crash_on));
  }
  if (rate_limit > 0) {
    settings.push_back("rate_limit=" + std::to_string(rate_limit));
  }
  processes_.add(name, options_.programs.backend, settings);
}

void LoopbackFleet::start_service_backend(const std::string& name, const std::string& software,
                                          uint32_t fails_each) {
  backend_names_.push_back(name);
  processes_.add(name, options_.programs.backend,
                 {setting("name", name), setting("service", "search"),
                  setting("listen", to_string(processes_.free_endpoint())),
                  setting("runs_file", runs_file(name)), list_setting("control", admin_endpoints_),
                  setting("software", software), "fails_each=" + std::to_string(fails_each)});
  processes_.start(name);
}

std::string LoopbackFleet::runs_file(const std::string& name) const {
  return processes_.work_folder() + "/" + name + ".runs";
}

void LoopbackFleet::start() {
  for (const std::string& name : processes_.names()) {
    processes_.start(name);
  }
  if (!put_configuration(make_configuration().dump(), kStartTimeout)) {
    throw std::runtime_error("the configuration was not accepted; see the logs in " +
                             processes_.work_folder());
  }
  const auto has_started = [this] {
    return options_.first_bin_folder.empty() ? has_registered(router_endpoints_.size(), backend_names_.size())
                                             : every_router_serves();
  };
  if (!wait_until(has_started, kStartTimeout)) {
    throw std::runtime_error("not all routers and backends were registered in time; see the logs in " +
                             processes_.work_folder());
  }
}

json LoopbackFleet::make_configuration() const {
  std::ifstream file(options_.configuration_file);
  const control::JsonFieldNames own;
  const control::JsonFieldNames& names = options_.programs.interface.field_names;
  return rename_fields(json::parse(file), {{own.open_route, names.open_route},
                                           {own.keys, names.keys},
                                           {own.kv_tokens, names.kv_tokens},
                                           {own.kv_bytes, names.kv_bytes}});
}

bool LoopbackFleet::put_configuration(const std::string& document, Duration limit) const {
  size_t next = 0;
  return wait_until(
      [&] {
        const Endpoint& member = admin_endpoints_[next++ % admin_endpoints_.size()];
        return send_request(member, "PUT", options_.programs.interface.paths.configuration, document)
                   .status == kOk;
      },
      limit);
}

json LoopbackFleet::read_configuration() const {
  for (const Endpoint& member : admin_endpoints_) {
    const http::ClientResult result =
        send_request(member, "GET", options_.programs.interface.paths.configuration);
    if (result.status == kOk) {
      return parse_json(result.body, "configuration").value_or(json());
    }
  }
  return {};
}

json LoopbackFleet::status_of(const Endpoint& member) const {
  const http::ClientResult result = send_request(member, "GET", options_.programs.interface.paths.status);
  const auto page = parse_json(result.body, "status");
  return page && page->is_object() ? *page : json::object();
}

json LoopbackFleet::status_of_leader() const {
  for (const Endpoint& member : admin_endpoints_) {
    json page = status_of(member);
    if (page.value("leads", false)) {
      return page;
    }
  }
  return {};
}

std::string LoopbackFleet::leader() const {
  for (size_t position = 0; position < admin_endpoints_.size(); ++position) {
    if (status_of(admin_endpoints_[position]).value("leads", false)) {
      return control_names_[position];
    }
  }
  return "";
}

bool LoopbackFleet::wait_until(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = monotonic_now() + limit;
  while (!condition()) {
    if (monotonic_now() >= end) {
      return false;
    }
    sleep_for(kPollInterval);
  }
  return true;
}

bool LoopbackFleet::has_registered(size_t routers, size_t backends) const {
  const json status = status_of_leader();
  if (status.is_null() || status["routers"].size() != routers) {
    return false;
  }
  size_t ready = 0;
  for (const json& backend : status["backends"]) {
    ready += backend["state"] == "ready" ? 1 : 0;
  }
  return ready == backends;
}

http::ClientResult LoopbackFleet::send_to_router(size_t router, const std::string& path,
                                                 const std::string& request_id) const {
  const LoadTarget target = this->target();
  http::ClientRequest request;
  request.endpoint = target.routers.at(router);
  request.method = "POST";
  request.path = path;
  request.timeout = kRequestTimeout;
  request.headers = request_headers(target, request_id, to_milliseconds(kRequestTimeout));
  request.body = "{}";
  return http::fetch(request);
}

bool LoopbackFleet::every_router_serves() const {
  for (size_t router = 0; router < router_endpoints_.size(); ++router) {
    if (send_to_router(router, "/search/", "start-" + std::to_string(router)).status != kOk) {
      return false;
    }
  }
  return true;
}

LoadTarget LoopbackFleet::target() const {
  LoadTarget target;
  target.routers = router_endpoints_;
  target.headers = options_.programs.headers;
  return target;
}

std::vector<std::string> LoopbackFleet::names_of(const std::string& kind) const {
  std::vector<std::string> names;
  for (const std::string& name : processes_.names()) {
    if (name.starts_with(kind + "-")) {
      names.push_back(name);
    }
  }
  return names;
}

std::multiset<std::string> LoopbackFleet::runs() const {
  std::multiset<std::string> runs;
  for (const std::string& name : backend_names_) {
    runs.merge(runs_at(name));
  }
  return runs;
}

std::multiset<std::string> LoopbackFleet::runs_at(const std::string& name) const {
  std::multiset<std::string> runs;
  std::ifstream file(runs_file(name));
  for (std::string line; std::getline(file, line);) {
    runs.insert(line);
  }
  return runs;
}

std::vector<std::string> check_guarantees(const std::vector<RequestClass>& classes,
                                          const std::vector<RequestRecord>& records,
                                          const std::multiset<std::string>& runs) {
  std::vector<std::string> violations;
  for (const RequestRecord& record : records) {
    const RequestClass& request_class = classes[record.planned.request_class];
    const size_t count = runs.count(record.planned.id);
    const std::string description = request_class.route + " " + record.planned.id;
    if (record.outcome == RequestOutcome::kWrong) {
      violations.push_back(description + " got an incorrect response");
    }
    if (record.outcome == RequestOutcome::kRefused && count > 0) {
      violations.push_back(description + " was refused with " + std::to_string(record.status) +
                           ", but has run");
    }
    if (record.outcome == RequestOutcome::kComplete && count == 0) {
      violations.push_back(description + " got a response, but never ran");
    }
    if (count > request_class.max_runs) {
      violations.push_back(description + " ran " + std::to_string(count) + " times");
    }
  }
  return violations;
}

}  // namespace stoat::tools
