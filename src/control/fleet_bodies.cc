#include "src/control/fleet_bodies.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "src/common/hash.h"
#include "src/fleet/incarnation.h"
#include "src/placement/cache_namespace.h"

namespace stoat::control {

namespace {

using nlohmann::json;

/// Reads fields of one object; each that is missing or of another type becomes a finding.
class FieldReader {
 public:
  FieldReader(const json& object, std::string place, Findings& findings)
      : object_(object), place_(std::move(place)), findings_(findings) {
    if (!object.is_object()) {
      add("", "must be an object");
    }
  }
  std::string text(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr || !value->is_string() || value->get<std::string>().empty()) {
      add(key, "must be a text");
      return "";
    }
    return value->get<std::string>();
  }
  std::string optional_text(const std::string& key) const {
    const json* value = find(key);
    return value != nullptr && value->is_string() ? value->get<std::string>() : "";
  }
  /// A number, which may be written as a fraction; `fallback` when it is missing.
  int64_t whole(const std::string& key, int64_t fallback) const {
    const json* value = find(key);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > kLargestWhole) {
      add(key, "must be a number of 0 or more");
      return fallback;
    }
    return static_cast<int64_t>(value->get<double>());
  }
  /// A whole number of 0 or more; 0 when it is missing.
  uint64_t count(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number_unsigned()) {
      add(key, "must be a whole number of 0 or more");
      return 0;
    }
    return value->get<uint64_t>();
  }
  /// A number of 0 or more; 0 when it is missing.
  double amount(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number() || value->get<double>() < 0) {
      add(key, "must be a number of 0 or more");
      return 0;
    }
    return value->get<double>();
  }
  bool flag(const std::string& key) const {
    const json* value = find(key);
    if (value != nullptr && !value->is_boolean()) {
      add(key, "must be true or false");
    }
    return value != nullptr && value->is_boolean() && value->get<bool>();
  }
  /// The entries of a list; empty when it is missing.
  json::array_t list(const std::string& key, bool required) const {
    const json* value = find(key);
    if (value == nullptr && !required) {
      return {};
    }
    if (value == nullptr || !value->is_array()) {
      add(key, "must be a list");
      return {};
    }
    return value->get<json::array_t>();
  }
  const json* find(const std::string& key) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto found = object_.find(key);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }
  void add(const std::string& key, const std::string& message) const {
    Finding finding;
    finding.file = "configuration";
    finding.key = place_ + (key.empty() ? "" : "." + key);
    finding.message = message;
    findings_.add(finding);
  }

 private:
  static constexpr double kLargestWhole = 9007199254740992.0;  ///< all whole numbers up to it are exact

  const json& object_;
  std::string place_;
  Findings& findings_;
};

fleet::RouteKind read_kind(const FieldReader& reader) {
  const std::string kind = reader.text("kind");
  if (kind == "streaming") {
    return fleet::RouteKind::kStreaming;
  }
  if (kind == "safe") {
    return fleet::RouteKind::kSafe;
  }
  if (kind != "unsafe") {
    reader.add("kind", "must be safe, unsafe or streaming");
  }
  return fleet::RouteKind::kUnsafe;
}

fleet::Route read_route(const json& object, const std::string& place, const JsonFieldNames& names,
                        Findings& findings) {
  const FieldReader reader(object, place, findings);
  fleet::Route route;
  route.name = reader.text("name");
  route.host = reader.text("host");
  route.path_prefix = reader.text("path_prefix");
  route.kind = read_kind(reader);
  route.timeout_ms = reader.whole("timeout_ms", 0);
  route.target_latency_ms = reader.whole("target_latency_ms", 0);
  route.gap_target_ms = reader.whole("gap_target_ms", 0);
  route.priority = static_cast<uint32_t>(reader.whole("priority", 0));
  route.attempts = static_cast<uint32_t>(reader.whole("attempts", 1));
  route.open = reader.flag(names.open_route);
  route.sticky = reader.flag("sticky");
  route.resumable = reader.flag("resumable");
  if (reader.find(names.shares) == nullptr) {
    route.shares.push_back({reader.text("service"), 1});
    return route;
  }
  for (const json& entry : reader.list(names.shares, true)) {
    const FieldReader share(entry, place + "." + names.shares, findings);
    route.shares.push_back({share.text("service"), static_cast<uint64_t>(share.whole("weight", 0))});
  }
  return route;
}

fleet::Service read_service(const json& object, const std::string& place, const JsonFieldNames& names,
                            Findings& findings) {
  const FieldReader reader(object, place, findings);
  fleet::Service service;
  service.name = reader.text("name");
  service.health_path = reader.optional_text("health_path");
  service.connection_limit = static_cast<uint32_t>(reader.whole("connection_limit", 0));
  service.store_address = reader.optional_text(names.store_address);
  service.store_zone = reader.optional_text("zone");
  service.store_link_mbps = reader.amount("link_mbps");
  const json* engine = reader.find("engine");
  service.runs_models = engine != nullptr;
  if (engine != nullptr) {
    const FieldReader profile(*engine, place + ".engine", findings);
    service.engine.slots = static_cast<uint32_t>(profile.whole("slots", 0));
    service.engine.kv_tokens = static_cast<uint64_t>(profile.whole(names.kv_tokens, 0));
    service.engine.kv_bytes_per_token = static_cast<double>(profile.whole(names.kv_bytes, 0));
    service.engine.link_mbps = profile.amount("link_mbps");
    service.engine.backups = profile.flag("backups");
    for (const json& model : profile.list("models", false)) {
      service.engine.models.push_back(FieldReader(model, place + ".engine.models", findings).text("name"));
    }
  }
  return service;
}

fleet::Limits read_limits(const json& object, Findings& findings) {
  const FieldReader reader(object, "limits", findings);
  fleet::Limits limits;
  limits.header_bytes =
      static_cast<uint64_t>(reader.whole("header_bytes", static_cast<int64_t>(limits.header_bytes)));
  limits.body_bytes =
      static_cast<uint64_t>(reader.whole("body_bytes", static_cast<int64_t>(limits.body_bytes)));
  limits.header_timeout_ms = reader.whole("header_timeout_ms", limits.header_timeout_ms);
  limits.idle_timeout_ms = reader.whole("idle_timeout_ms", limits.idle_timeout_ms);
  return limits;
}

fleet::TenantQuota read_quota(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::TenantQuota quota;
  quota.per_second = reader.amount(names.quota_rate);
  quota.burst = reader.amount(names.quota_burst);
  quota.tokens_without_count = static_cast<uint32_t>(reader.whole(names.tokens_without_count, 0));
  const std::string unit = reader.optional_text(names.quota_unit);
  if (unit == "tokens") {
    quota.unit = fleet::QuotaUnit::kTokens;
  } else if (!unit.empty() && unit != "requests") {
    reader.add(names.quota_unit, "must be requests or tokens");
  }
  return quota;
}

fleet::Tenant read_tenant(const json& object, const std::string& place, const JsonFieldNames& names,
                          Findings& findings) {
  const FieldReader reader(object, place, findings);
  fleet::Tenant tenant;
  tenant.name = reader.text("name");
  tenant.priority = static_cast<uint32_t>(reader.whole("priority", 0));
  tenant.isolated = reader.flag("isolated");
  tenant.quota = read_quota(reader, names);
  for (const json& key : reader.list(names.keys, false)) {
    if (key.is_string()) {
      tenant.keys.push_back(key.get<std::string>());
    } else {
      reader.add(names.keys, "must be texts");
    }
  }
  return tenant;
}

fleet::BackendState read_backend_state(const FieldReader& reader) {
  const std::string state = reader.text("state");
  if (state == "draining") {
    return fleet::BackendState::kDraining;
  }
  if (state != "ready") {
    reader.add("state", "must be ready or draining");
  }
  return fleet::BackendState::kReady;
}

std::string numbered(const char* list, size_t position) {
  return std::string(list) + "[" + std::to_string(position) + "]";
}

std::vector<fleet::ModelVersion> read_models(const FieldReader& reader, Findings& findings) {
  std::vector<fleet::ModelVersion> models;
  for (const json& entry : reader.list("models", false)) {
    const FieldReader model(entry, "models", findings);
    models.push_back({model.text("name"), static_cast<uint64_t>(model.whole("version", 0))});
  }
  return models;
}

/// One event: [number, + or -, salt, part, tokens held now, model]. What other products keep there is passed
/// over.
std::optional<fleet::CachedPart> read_cache_event(const json& entry) {
  constexpr size_t kSalt = 2;
  constexpr size_t kPart = 3;
  constexpr size_t kTokens = 4;
  constexpr size_t kModel = 5;
  const bool whole = entry.is_array() && entry.size() > kModel && entry[kSalt].is_string() &&
                     entry[kPart].is_string() && entry[kTokens].is_number() && entry[kModel].is_string();
  const auto name = whole ? placement::read_salt(entry[kSalt].get<std::string>()) : std::nullopt;
  if (!name) {
    return std::nullopt;
  }
  fleet::CachedPart holding;
  holding.part = placement::part_hash(name->owner, entry[kModel].get<std::string>(),
                                      hash_bytes(entry[kPart].get<std::string>()));
  holding.weights = name->weights;
  holding.tokens = static_cast<uint32_t>(std::max(0.0, entry[kTokens].get<double>()));
  return holding;
}

}  // namespace

std::optional<fleet::FleetConfiguration> read_configuration(const std::string& text,
                                                            const JsonFieldNames& names, Findings& findings) {
  const json document = json::parse(text, nullptr, false);
  if (document.is_discarded() || !document.is_object()) {
    Finding finding;
    finding.file = "configuration";
    finding.message = "is not a JSON object";
    findings.add(finding);
    return std::nullopt;
  }
  const FieldReader reader(document, "configuration", findings);
  fleet::FleetConfiguration configuration;
  configuration.version = static_cast<uint64_t>(reader.whole("version", 0));
  for (const json& route : reader.list("routes", true)) {
    configuration.routes.push_back(
        read_route(route, numbered("routes", configuration.routes.size()), names, findings));
  }
  for (const json& service : reader.list("services", true)) {
    configuration.services.push_back(
        read_service(service, numbered("services", configuration.services.size()), names, findings));
  }
  for (const json& tenant : reader.list("tenants", false)) {
    configuration.tenants.push_back(
        read_tenant(tenant, numbered("tenants", configuration.tenants.size()), names, findings));
  }
  if (const json* limits = reader.find("limits")) {
    configuration.limits = read_limits(*limits, findings);
  }
  if (findings.empty()) {
    fleet::check_configuration(configuration, findings);
  }
  return findings.empty() ? std::optional(configuration) : std::nullopt;
}

std::optional<fleet::BackendRecord> read_heartbeat(const std::string& name, const std::string& text,
                                                   const JsonFieldNames& names) {
  const json document = json::parse(text, nullptr, false);
  Findings findings;
  const FieldReader reader(document, "heartbeat", findings);
  fleet::BackendRecord record;
  record.id = fleet::incarnation_id(name, reader.count(names.started));
  record.service = reader.text("service");
  record.address = reader.text("address");
  record.zone = reader.optional_text("zone");
  record.slots = static_cast<uint32_t>(reader.whole("slots", 1));
  record.software = reader.optional_text(names.software);
  record.sequence = static_cast<uint64_t>(reader.whole("sequence", 0));
  record.state = read_backend_state(reader);
  record.models = read_models(reader, findings);
  return findings.empty() ? std::optional(record) : std::nullopt;
}

std::optional<fleet::SetTargetWeights> read_named_weights(const std::string& text) {
  const json document = json::parse(text, nullptr, false);
  Findings findings;
  const FieldReader reader(document, "weights", findings);
  fleet::SetTargetWeights named;
  named.model = reader.text("model");
  named.version = static_cast<uint64_t>(reader.whole("version", 0));
  return findings.empty() && named.version > 0 ? std::optional(named) : std::nullopt;
}

fleet::StartServiceRollout read_rollout_order(const std::string& text, const JsonFieldNames& names,
                                              Findings& findings) {
  constexpr double kMillisecondsPerSecond = 1000;
  constexpr double kLongestSeconds = 1e9;
  const json document = json::parse(text, nullptr, false);
  const FieldReader reader(document, "rollout", findings);
  fleet::StartServiceRollout order;
  order.service = reader.text("service");
  order.target_version = reader.text(names.rollout_target);
  const json* duration = reader.find(names.rollout_seconds);
  const double seconds = duration != nullptr && duration->is_number() ? duration->get<double>() : 0;
  if (seconds > 0 && seconds <= kLongestSeconds) {
    order.duration_ms = std::max<int64_t>(1, static_cast<int64_t>(seconds * kMillisecondsPerSecond));
  } else {
    reader.add(names.rollout_seconds, "must be a number above 0");
  }
  return order;
}

std::string rollout_body(const fleet::ServiceRollout& rollout, const JsonFieldNames& names) {
  const char* state = "running";
  if (rollout.phase == fleet::RolloutPhase::kCompleted) {
    state = "completed";
  } else if (rollout.phase == fleet::RolloutPhase::kRolledBack) {
    state = "rolled_back";
  }
  return json{{"state", state}, {names.rollout_target, rollout.target_version}}.dump();
}

std::optional<EngineReport> read_report(const std::string& text, const JsonFieldNames& names) {
  const json document = json::parse(text, nullptr, false);
  Findings findings;
  const FieldReader reader(document, "report", findings);
  EngineReport report;
  report.started_ms = reader.count(names.started);
  report.busy = reader.flag("busy");
  report.order_sequence = static_cast<uint64_t>(reader.whole("sequence", 0));
  report.models = read_models(reader, findings);
  return findings.empty() ? std::optional(report) : std::nullopt;
}

std::optional<CacheEvents> read_cache_events(const std::string& text, const JsonFieldNames& names) {
  const json document = json::parse(text, nullptr, false);
  Findings findings;
  const FieldReader reader(document, "events", findings);
  CacheEvents events;
  events.epoch = static_cast<uint64_t>(reader.whole("epoch", 0));
  events.next_event = static_cast<uint64_t>(reader.whole(names.next_event, 0));
  events.gap = reader.flag(names.gap);
  for (const json& entry : reader.list("events", false)) {
    if (const auto holding = read_cache_event(entry)) {
      events.holdings.push_back(*holding);
    }
  }
  return findings.empty() ? std::optional(events) : std::nullopt;
}

std::string order_body(const LoadWeightsOrder& order, const JsonFieldNames& names) {
  const json body = {{names.operation, names.load_weights},
                     {"model", order.model},
                     {"version", order.version},
                     {names.mode, names.mode_continue},
                     {names.holder, order.holder},
                     {names.fence, order.fence},
                     {names.expected_sequence, order.expected_sequence}};
  return body.dump();
}

std::string heartbeat_answer(const std::string& address, const JsonFieldNames& names) {
  return json{{names.heartbeat_address, address}}.dump();
}

std::string routers_body(const std::vector<std::string>& addresses, double lifetime_s) {
  return json{{"addresses", addresses}, {"lifetime_s", lifetime_s}}.dump();
}

}  // namespace stoat::control
