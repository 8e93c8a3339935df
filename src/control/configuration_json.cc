#include "src/control/configuration_json.h"

namespace stoat::control {

namespace {

using nlohmann::json;

const char* row_kind_name(RowKind kind) { return kind == RowKind::kTenant ? "tenant" : "service"; }

/// Reads typed fields of one JSON object and notes what is wrong with them.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string place, Findings& findings)
      : object_(object), place_(std::move(place)), findings_(findings) {}

  std::string text(const char* key, bool required) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      if (required) {
        add(key, "must be given");
      }
      return "";
    }
    if (!found->is_string() || (required && found->get<std::string>().empty())) {
      add(key, required ? "must be text that is not empty" : "must be text");
      return "";
    }
    return found->get<std::string>();
  }

  double number(const char* key, double fallback, bool may_be_negative = false) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      return fallback;
    }
    if (!found->is_number() || (!may_be_negative && found->get<double>() < 0)) {
      add(key, may_be_negative ? "must be a number" : "must be a number that is not negative");
      return fallback;
    }
    return found->get<double>();
  }

  bool flag(const char* key, bool fallback) {
    const auto found = object_.find(key);
    if (found == object_.end()) {
      return fallback;
    }
    if (!found->is_boolean()) {
      add(key, "must be true or false");
      return fallback;
    }
    return found->get<bool>();
  }

  std::vector<std::string> texts(const char* key) {
    std::vector<std::string> values;
    const auto found = object_.find(key);
    if (found == object_.end()) {
      return values;
    }
    if (!found->is_array()) {
      add(key, "must be a list of texts");
      return values;
    }
    for (const json& element : *found) {
      if (element.is_string()) {
        values.push_back(element.get<std::string>());
      } else {
        add(key, "must be a list of texts");
      }
    }
    return values;
  }

  void add(const char* key, const std::string& message) { findings_.add({place_, 0, 0, key, message}); }

 private:
  const json& object_;
  std::string place_;
  Findings& findings_;
};

PolicyRow row_from_json(const json& object, const std::string& place, Findings& findings) {
  ObjectReader reader(object, place, findings);
  PolicyRow row;
  const std::string kind = reader.text("kind", true);
  if (kind != "tenant" && kind != "service" && !kind.empty()) {
    reader.add("kind", "must be tenant or service");
  }
  row.kind = kind == "service" ? RowKind::kService : RowKind::kTenant;
  row.name = reader.text("name", true);
  row.share = reader.number("share", 1);
  row.priority = static_cast<int32_t>(reader.number("priority", 0, true));
  row.requests_per_second = reader.number("requests_per_second", 0);
  row.tokens_per_second = reader.number("tokens_per_second", 0);
  row.concurrent = static_cast<int32_t>(reader.number("concurrent", 0));
  row.queue_time_ms = static_cast<int32_t>(reader.number("queue_time_ms", row.queue_time_ms));
  row.repeatable = reader.flag("repeatable", true);
  return row;
}

std::optional<ChangeItem> item_from_json(const json& item, const std::string& place, Findings& findings) {
  if (!item.is_object() || item.size() != 1) {
    findings.add({place, 0, 0, "", "must be an object with one of tenant, model, backend, table, remove"});
    return std::nullopt;
  }
  const std::string kind = item.begin().key();
  const json& body = item.begin().value();
  if (!body.is_object() && kind != "table") {
    findings.add({place, 0, 0, kind, "must be an object"});
    return std::nullopt;
  }
  ObjectReader reader(body, place + "." + kind, findings);
  if (kind == "tenant") {
    Tenant tenant{reader.text("name", true), reader.text("sharing_group", false),
                  reader.texts("key_digests")};
    for (const std::string& key : reader.texts("api_keys")) {
      tenant.key_digests.push_back(key_digest(key));
    }
    return ChangeItem(tenant);
  }
  if (kind == "model") {
    return ChangeItem(Model{reader.text("name", true), reader.text("weights_version", true),
                            reader.text("adapter", false)});
  }
  if (kind == "backend") {
    const std::string type = reader.text("kind", true);
    const std::optional<BackendKind> backend_kind = backend_kind_of(type);
    if (!backend_kind && !type.empty()) {
      reader.add("kind", "must be engine, plain or kv_store");
    }
    return ChangeItem(Backend{reader.text("name", true), backend_kind.value_or(BackendKind::kEngine),
                              reader.text("serves", true), reader.text("endpoint", true),
                              reader.text("zone", false), reader.flag("draining", false)});
  }
  if (kind == "remove") {
    const std::string type = reader.text("kind", true);
    const ObjectKind object_kind = type == "model"     ? ObjectKind::kModel
                                   : type == "backend" ? ObjectKind::kBackend
                                                       : ObjectKind::kTenant;
    return ChangeItem(Removal{object_kind, reader.text("name", true)});
  }
  if (kind == "table" && body.is_array()) {
    PolicyTable table;
    for (size_t row = 0; row < body.size(); ++row) {
      table.rows.push_back(row_from_json(body[row], place + ".table[" + std::to_string(row) + "]", findings));
    }
    return ChangeItem(table);
  }
  findings.add({place, 0, 0, kind, "must be one of tenant, model, backend, table, remove"});
  return std::nullopt;
}

}  // namespace

json to_json(const PolicyRow& row) {
  return {{"kind", row_kind_name(row.kind)},
          {"name", row.name},
          {"share", row.share},
          {"priority", row.priority},
          {"requests_per_second", row.requests_per_second},
          {"tokens_per_second", row.tokens_per_second},
          {"concurrent", row.concurrent},
          {"queue_time_ms", row.queue_time_ms},
          {"repeatable", row.repeatable}};
}

json to_json(const ChangeItem& item) {
  struct Writer {
    json operator()(const Tenant& tenant) const {
      return {{"tenant",
               {{"name", tenant.name},
                {"sharing_group", tenant.sharing_group},
                {"key_digests", tenant.key_digests}}}};
    }
    json operator()(const Model& model) const {
      return {
          {"model",
           {{"name", model.name}, {"weights_version", model.weights_version}, {"adapter", model.adapter}}}};
    }
    json operator()(const Backend& backend) const {
      return {{"backend",
               {{"name", backend.name},
                {"kind", backend_kind_name(backend.kind)},
                {"serves", backend.serves},
                {"endpoint", backend.endpoint},
                {"zone", backend.zone},
                {"draining", backend.draining}}}};
    }
    json operator()(const PolicyTable& table) const {
      json rows = json::array();
      for (const PolicyRow& row : table.rows) {
        rows.push_back(to_json(row));
      }
      return {{"table", rows}};
    }
    json operator()(const Removal& removal) const {
      const char* kind = removal.kind == ObjectKind::kTenant  ? "tenant"
                         : removal.kind == ObjectKind::kModel ? "model"
                                                              : "backend";
      return {{"remove", {{"kind", kind}, {"name", removal.name}}}};
    }
  };
  return std::visit(Writer{}, item.value);
}

json to_json(const Configuration& configuration) {
  json result = {{"version", configuration.version},
                 {"tenants", json::array()},
                 {"models", json::array()},
                 {"backends", json::array()}};
  for (const auto& [name, tenant] : configuration.tenants) {
    result["tenants"].push_back(to_json(ChangeItem(tenant))["tenant"]);
  }
  for (const auto& [name, model] : configuration.models) {
    result["models"].push_back(to_json(ChangeItem(model))["model"]);
  }
  for (const auto& [name, backend] : configuration.backends) {
    result["backends"].push_back(to_json(ChangeItem(backend))["backend"]);
  }
  result["table"] = to_json(ChangeItem(configuration.table))["table"];
  return result;
}

json to_json(const HistoryLine& line) {
  return {{"version", line.version},
          {"operator", line.operator_name},
          {"operator_request_id", line.operator_request_id},
          {"at_ms", line.submitted_at_ms},
          {"summary", line.summary}};
}

const char* result_name(ResultCode code) {
  switch (code) {
    case ResultCode::kOk:
      return "ok";
    case ResultCode::kVersionConflict:
      return "version_conflict";
    case ResultCode::kInvalid:
      return "invalid";
    case ResultCode::kClaimHeld:
      return "claim_held";
    case ResultCode::kDigestConflict:
      return "digest_conflict";
  }
  return "unknown";
}

json to_json(const CommandResult& result) {
  return {{"code", result_name(result.code)}, {"version", result.version}, {"message", result.message}};
}

std::vector<ChangeItem> items_from_json(const json& items, Findings& findings) {
  std::vector<ChangeItem> result;
  if (!items.is_array()) {
    findings.add({"body", 0, 0, "items", "must be a list"});
    return result;
  }
  for (size_t position = 0; position < items.size(); ++position) {
    auto item = item_from_json(items[position], "items[" + std::to_string(position) + "]", findings);
    if (item) {
      result.push_back(std::move(*item));
    }
  }
  return result;
}

}  // namespace stoat::control
