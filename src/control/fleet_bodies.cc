#include "src/control/fleet_bodies.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/common/hash.h"
#include "src/common/json_text.h"
#include "src/fleet/incarnation.h"
#include "src/placement/cache_namespace.h"

namespace stoat::control {

namespace {

using nlohmann::json;

/// A kind of body, and how long one may be: a parsed value takes many times the memory of its text.
struct BodyKind {
  const char* name;
  size_t max_bytes = SIZE_MAX;  ///< by default, what the HTTP server or client reads
};
constexpr size_t kMaxShortBodyBytes = 2U << 20U;
constexpr BodyKind kConfiguration{"configuration"};
constexpr BodyKind kCacheEvents{"cache events"};
constexpr BodyKind kHeartbeat{"heartbeat", kMaxShortBodyBytes};
constexpr BodyKind kNamedWeights{"weights", kMaxShortBodyBytes};
constexpr BodyKind kRolloutOrder{"rollout", kMaxShortBodyBytes};
constexpr BodyKind kReport{"report", kMaxShortBodyBytes};

/// Number of findings that are listed for one body.
constexpr size_t kMaxFindings = 100;

/// Reads fields of one JSON object. Fields of the wrong type and missing required fields are reported as
/// findings.
class FieldReader {
 public:
  /// `body`: what the whole body is. `field_path`: where the object is in it; empty: it is the whole.
  FieldReader(const json& object, std::string body, std::string field_path, Findings& findings)
      : object_(object), body_(std::move(body)), field_path_(std::move(field_path)), findings_(findings) {
    if (!object.is_object()) {
      add_finding("", "must be an object");
    }
  }
  std::string required_string(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr || !value->is_string() || value->get<std::string>().empty()) {
      add_finding(key, "must be a text");
      return "";
    }
    return value->get<std::string>();
  }
  std::string optional_string(const std::string& key) const {
    const json* value = find(key);
    return value != nullptr && value->is_string() ? value->get<std::string>() : "";
  }
  /// A number of 0 or more. Fractions are truncated; `fallback` if it is missing or invalid.
  int64_t integer(const std::string& key, int64_t fallback) const {
    const json* value = find(key);
    if (value == nullptr) {
      return fallback;
    }
    if (!value->is_number() || value->get<double>() < 0 || value->get<double>() > kMaxExactInteger) {
      add_finding(key, "must be a number of 0 or more");
      return fallback;
    }
    return static_cast<int64_t>(value->get<double>());
  }
  /// An integer of 0 or more; fractions are invalid. 0 if it is missing or invalid.
  uint64_t unsigned_integer(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number_unsigned()) {
      add_finding(key, "must be a whole number of 0 or more");
      return 0;
    }
    return value->get<uint64_t>();
  }
  /// A number of 0 or more; 0 if it is missing or invalid.
  double number(const std::string& key) const {
    const json* value = find(key);
    if (value == nullptr) {
      return 0;
    }
    if (!value->is_number() || value->get<double>() < 0) {
      add_finding(key, "must be a number of 0 or more");
      return 0;
    }
    return value->get<double>();
  }
  bool flag(const std::string& key) const {
    const json* value = find(key);
    if (value != nullptr && !value->is_boolean()) {
      add_finding(key, "must be true or false");
    }
    return value != nullptr && value->is_boolean() && value->get<bool>();
  }
  /// The elements of a list; empty if it is missing or invalid.
  const json& list(const std::string& key, bool required) const {
    static const json no_elements = json::array();
    const json* value = find(key);
    if (value == nullptr && !required) {
      return no_elements;
    }
    if (value == nullptr || !value->is_array()) {
      add_finding(key, "must be a list");
      return no_elements;
    }
    return *value;
  }
  /// A reader of an object within this one.
  FieldReader nested(const json& object, const std::string& key) const {
    return {object, body_, path_of(key), findings_};
  }
  /// A reader of an element of a list in this object.
  FieldReader element(const json& object, const std::string& key, size_t position) const {
    return nested(object, key + "[" + std::to_string(position) + "]");
  }
  const json* find(const std::string& key) const {
    if (!object_.is_object()) {
      return nullptr;
    }
    const auto found = object_.find(key);
    return found == object_.end() || found->is_null() ? nullptr : &*found;
  }
  void add_finding(const std::string& key, const std::string& message) const {
    const size_t count = findings_.list().size();
    if (count < kMaxFindings) {
      findings_.add({body_, 0, 0, path_of(key), message});
    } else if (count == kMaxFindings) {
      findings_.add({body_, 0, 0, "", "has more findings, which are not listed"});
    }
  }

 private:
  static constexpr double kMaxExactInteger = 9007199254740992.0;  ///< 2^53: all integers up to it are exact

  std::string path_of(const std::string& key) const {
    return field_path_ + (field_path_.empty() || key.empty() ? "" : ".") + key;
  }

  const json& object_;
  std::string body_;
  std::string field_path_;
  Findings& findings_;
};

fleet::RouteKind read_kind(const FieldReader& reader) {
  const std::string kind = reader.required_string("kind");
  if (kind == "streaming") {
    return fleet::RouteKind::kStreaming;
  }
  if (kind == "safe") {
    return fleet::RouteKind::kSafe;
  }
  if (kind != "unsafe") {
    reader.add_finding("kind", "must be safe, unsafe or streaming");
  }
  return fleet::RouteKind::kUnsafe;
}

fleet::Route read_route(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::Route route;
  route.name = reader.required_string("name");
  route.host = reader.required_string("host");
  route.path_prefix = reader.required_string("path_prefix");
  route.kind = read_kind(reader);
  route.timeout_ms = reader.integer("timeout_ms", 0);
  route.target_latency_ms = reader.integer("target_latency_ms", 0);
  route.gap_target_ms = reader.integer("gap_target_ms", 0);
  route.priority = static_cast<uint32_t>(reader.integer("priority", 0));
  route.attempts = static_cast<uint32_t>(reader.integer("attempts", 1));
  route.open = reader.flag(names.open_route);
  route.sticky = reader.flag("sticky");
  route.resumable = reader.flag("resumable");
  if (reader.find(names.shares) == nullptr) {
    route.shares.push_back({reader.required_string("service"), 1});
    return route;
  }
  for (const json& entry : reader.list(names.shares, true)) {
    const FieldReader share = reader.element(entry, names.shares, route.shares.size());
    route.shares.push_back(
        {share.required_string("service"), static_cast<uint64_t>(share.integer("weight", 0))});
  }
  return route;
}

fleet::Service read_service(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::Service service;
  service.name = reader.required_string("name");
  service.health_path = reader.optional_string("health_path");
  service.connection_limit = static_cast<uint32_t>(reader.integer("connection_limit", 0));
  service.store_address = reader.optional_string(names.store_address);
  service.store_zone = reader.optional_string("zone");
  service.store_link_mbps = reader.number("link_mbps");
  const json* engine = reader.find("engine");
  service.runs_models = engine != nullptr;
  if (engine != nullptr) {
    const FieldReader profile = reader.nested(*engine, "engine");
    service.engine.slots = static_cast<uint32_t>(profile.integer("slots", 0));
    service.engine.kv_tokens = static_cast<uint64_t>(profile.integer(names.kv_tokens, 0));
    service.engine.kv_bytes_per_token = static_cast<double>(profile.integer(names.kv_bytes, 0));
    service.engine.link_mbps = profile.number("link_mbps");
    service.engine.backups = profile.flag("backups");
    for (const json& model : profile.list("models", false)) {
      const FieldReader entry = profile.element(model, "models", service.engine.models.size());
      service.engine.models.push_back(entry.required_string("name"));
    }
  }
  return service;
}

fleet::Limits read_limits(const FieldReader& reader) {
  fleet::Limits limits;
  limits.header_bytes =
      static_cast<uint64_t>(reader.integer("header_bytes", static_cast<int64_t>(limits.header_bytes)));
  limits.body_bytes =
      static_cast<uint64_t>(reader.integer("body_bytes", static_cast<int64_t>(limits.body_bytes)));
  limits.header_timeout_ms = reader.integer("header_timeout_ms", limits.header_timeout_ms);
  limits.idle_timeout_ms = reader.integer("idle_timeout_ms", limits.idle_timeout_ms);
  return limits;
}

fleet::TenantQuota read_quota(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::TenantQuota quota;
  quota.per_second = reader.number(names.quota_rate);
  quota.burst = reader.number(names.quota_burst);
  quota.tokens_without_count = static_cast<uint32_t>(reader.integer(names.tokens_without_count, 0));
  const std::string unit = reader.optional_string(names.quota_unit);
  if (unit == "tokens") {
    quota.unit = fleet::QuotaUnit::kTokens;
  } else if (!unit.empty() && unit != "requests") {
    reader.add_finding(names.quota_unit, "must be requests or tokens");
  }
  return quota;
}

fleet::Tenant read_tenant(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::Tenant tenant;
  tenant.name = reader.required_string("name");
  tenant.priority = static_cast<uint32_t>(reader.integer("priority", 0));
  tenant.isolated = reader.flag("isolated");
  tenant.quota = read_quota(reader, names);
  for (const json& key : reader.list(names.keys, false)) {
    if (key.is_string()) {
      tenant.keys.push_back(key.get<std::string>());
    } else {
      reader.add_finding(names.keys, "must be texts");
    }
  }
  return tenant;
}

fleet::BackendState read_backend_state(const FieldReader& reader) {
  const std::string state = reader.required_string("state");
  if (state == "draining") {
    return fleet::BackendState::kDraining;
  }
  if (state != "ready") {
    reader.add_finding("state", "must be ready or draining");
  }
  return fleet::BackendState::kReady;
}

std::vector<fleet::ModelVersion> read_models(const FieldReader& reader) {
  std::vector<fleet::ModelVersion> models;
  for (const json& entry : reader.list("models", false)) {
    const FieldReader model = reader.element(entry, "models", models.size());
    models.push_back({model.required_string("name"), static_cast<uint64_t>(model.integer("version", 0))});
  }
  return models;
}

/// Parses one event: [number, + or -, salt, part, tokens held now, model]. Returns nullopt for entries of
/// other products in the same cache.
std::optional<fleet::CachedPart> read_cache_event(const json& entry) {
  constexpr size_t kSalt = 2;
  constexpr size_t kPart = 3;
  constexpr size_t kTokens = 4;
  constexpr size_t kModel = 5;
  const bool well_formed = entry.is_array() && entry.size() > kModel && entry[kSalt].is_string() &&
                           entry[kPart].is_string() && entry[kTokens].is_number() &&
                           entry[kModel].is_string();
  const auto name = well_formed ? placement::read_salt(entry[kSalt].get<std::string>()) : std::nullopt;
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

fleet::FleetConfiguration read_configuration_fields(const FieldReader& reader, const JsonFieldNames& names) {
  fleet::FleetConfiguration configuration;
  configuration.version = static_cast<uint64_t>(reader.integer("version", 0));
  for (const json& route : reader.list("routes", true)) {
    configuration.routes.push_back(
        read_route(reader.element(route, "routes", configuration.routes.size()), names));
  }
  for (const json& service : reader.list("services", true)) {
    configuration.services.push_back(
        read_service(reader.element(service, "services", configuration.services.size()), names));
  }
  for (const json& tenant : reader.list("tenants", false)) {
    configuration.tenants.push_back(
        read_tenant(reader.element(tenant, "tenants", configuration.tenants.size()), names));
  }
  if (const json* limits = reader.find("limits")) {
    configuration.limits = read_limits(reader.nested(*limits, "limits"));
  }
  return configuration;
}

fleet::StartServiceRollout read_rollout_fields(const FieldReader& reader, const JsonFieldNames& names) {
  constexpr double kMillisecondsPerSecond = 1000;
  constexpr double kMaxDurationSeconds = 1e9;
  fleet::StartServiceRollout order;
  order.service = reader.required_string("service");
  order.target_version = reader.required_string(names.rollout_target);
  const json* duration = reader.find(names.rollout_seconds);
  const double seconds = duration != nullptr && duration->is_number() ? duration->get<double>() : 0;
  if (seconds > 0 && seconds <= kMaxDurationSeconds) {
    order.duration_ms = std::max<int64_t>(1, static_cast<int64_t>(seconds * kMillisecondsPerSecond));
  } else {
    reader.add_finding(names.rollout_seconds, "must be a number above 0");
  }
  return order;
}

/// Parses a body and reads its fields with `read_fields`. The value is of no use if there are findings.
template <typename ReadFields>
auto read_body(const std::string& text, const BodyKind& kind, Findings& findings,
               const ReadFields& read_fields) {
  using Value = decltype(read_fields(std::declval<const FieldReader&>()));
  if (text.size() > kind.max_bytes) {
    findings.add({kind.name, 0, 0, "", "is longer than " + std::to_string(kind.max_bytes) + " bytes"});
    return Value();
  }
  const auto document = parse_json(text, kind.name);
  if (!document) {
    findings.add(document.error());
    return Value();
  }
  return read_fields(FieldReader(*document, kind.name, "", findings));
}

/// The same for callers that need the value only if there are no findings.
template <typename ReadFields>
auto read_valid_body(const std::string& text, const BodyKind& kind, const ReadFields& read_fields) {
  using Value = decltype(read_fields(std::declval<const FieldReader&>()));
  Findings findings;
  Value value = read_body(text, kind, findings, read_fields);
  return findings.empty() ? BodyResult<Value>(std::move(value)) : tl::make_unexpected(std::move(findings));
}

}  // namespace

std::optional<fleet::FleetConfiguration> read_configuration(const std::string& text,
                                                            const JsonFieldNames& names, Findings& findings) {
  fleet::FleetConfiguration configuration =
      read_body(text, kConfiguration, findings,
                [&](const FieldReader& reader) { return read_configuration_fields(reader, names); });
  if (findings.empty()) {
    fleet::check_configuration(configuration, findings);
  }
  return findings.empty() ? std::optional(std::move(configuration)) : std::nullopt;
}

BodyResult<fleet::BackendRecord> read_heartbeat(const std::string& name, const std::string& text,
                                                const JsonFieldNames& names) {
  return read_valid_body(text, kHeartbeat, [&](const FieldReader& reader) {
    fleet::BackendRecord record;
    record.id = fleet::incarnation_id(name, reader.unsigned_integer(names.started));
    record.service = reader.required_string("service");
    record.address = reader.required_string("address");
    record.zone = reader.optional_string("zone");
    record.slots = static_cast<uint32_t>(reader.integer("slots", 1));
    record.software = reader.optional_string(names.software);
    record.sequence = static_cast<uint64_t>(reader.integer("sequence", 0));
    record.state = read_backend_state(reader);
    record.models = read_models(reader);
    return record;
  });
}

BodyResult<fleet::SetTargetWeights> read_named_weights(const std::string& text) {
  return read_valid_body(text, kNamedWeights, [](const FieldReader& reader) {
    fleet::SetTargetWeights command;
    command.model = reader.required_string("model");
    command.version = static_cast<uint64_t>(reader.integer("version", 0));
    if (command.version == 0) {
      reader.add_finding("version", "must be a number above 0");
    }
    return command;
  });
}

fleet::StartServiceRollout read_rollout_order(const std::string& text, const JsonFieldNames& names,
                                              Findings& findings) {
  return read_body(text, kRolloutOrder, findings,
                   [&](const FieldReader& reader) { return read_rollout_fields(reader, names); });
}

std::string rollout_body(const fleet::ServiceRollout& rollout, const JsonFieldNames& names) {
  const char* state = "running";
  if (rollout.phase == fleet::RolloutPhase::kCompleted) {
    state = "completed";
  } else if (rollout.phase == fleet::RolloutPhase::kRolledBack) {
    state = "rolled_back";
  }
  return to_json_text({{"state", state}, {names.rollout_target, rollout.target_version}});
}

BodyResult<EngineReport> read_report(const std::string& text, const JsonFieldNames& names) {
  return read_valid_body(text, kReport, [&](const FieldReader& reader) {
    EngineReport report;
    report.started_ms = reader.unsigned_integer(names.started);
    report.busy = reader.flag("busy");
    report.order_sequence = static_cast<uint64_t>(reader.integer("sequence", 0));
    report.models = read_models(reader);
    return report;
  });
}

BodyResult<CacheEvents> read_cache_events(const std::string& text, const JsonFieldNames& names) {
  return read_valid_body(text, kCacheEvents, [&](const FieldReader& reader) {
    CacheEvents events;
    events.epoch = static_cast<uint64_t>(reader.integer("epoch", 0));
    events.next_event = static_cast<uint64_t>(reader.integer(names.next_event, 0));
    events.gap = reader.flag(names.gap);
    for (const json& entry : reader.list("events", false)) {
      if (const auto holding = read_cache_event(entry)) {
        events.holdings.push_back(*holding);
      }
    }
    return events;
  });
}

std::string weight_order_body(const LoadWeightsOrder& order, const JsonFieldNames& names) {
  const json body = {{names.operation, names.load_weights},
                     {"model", order.model},
                     {"version", order.version},
                     {names.mode, names.mode_continue},
                     {names.holder, order.holder},
                     {names.fencing_token_field, order.fencing_token},
                     {names.expected_sequence, order.expected_sequence}};
  return to_json_text(body);
}

std::string heartbeat_reply_body(const std::string& address, const JsonFieldNames& names) {
  return to_json_text({{names.heartbeat_address, address}});
}

std::string routers_body(const std::vector<std::string>& addresses, double lifetime_s) {
  return to_json_text({{"addresses", addresses}, {"lifetime_s", lifetime_s}});
}

}  // namespace stoat::control
