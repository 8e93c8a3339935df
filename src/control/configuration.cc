#include "src/control/configuration.h"

#include "src/common/hash.h"

namespace stoat::control {

namespace {

/// Seeds of the two halves of an API key's digest.
constexpr uint64_t kKeyDigestSeeds[2] = {0x5374616f74000001ULL, 0x5374616f74000002ULL};

struct ItemApplier {
  Configuration& configuration;

  void operator()(const Tenant& tenant) const { configuration.tenants[tenant.name] = tenant; }
  void operator()(const Model& model) const { configuration.models[model.name] = model; }
  void operator()(const Backend& backend) const { configuration.backends[backend.name] = backend; }
  void operator()(const PolicyTable& table) const { configuration.table = table; }
  void operator()(const Removal& removal) const {
    switch (removal.kind) {
      case ObjectKind::kTenant:
        configuration.tenants.erase(removal.name);
        break;
      case ObjectKind::kModel:
        configuration.models.erase(removal.name);
        break;
      case ObjectKind::kBackend:
        configuration.backends.erase(removal.name);
        break;
    }
  }
};

}  // namespace

const char* backend_kind_name(BackendKind kind) {
  switch (kind) {
    case BackendKind::kEngine:
      return "engine";
    case BackendKind::kPlain:
      return "plain";
    case BackendKind::kKvStore:
      return "kv_store";
  }
  return "unknown";
}

std::optional<BackendKind> backend_kind_of(const std::string& name) {
  for (const BackendKind kind : {BackendKind::kEngine, BackendKind::kPlain, BackendKind::kKvStore}) {
    if (name == backend_kind_name(kind)) {
      return kind;
    }
  }
  return std::nullopt;
}

bool Configuration::apply(const VersionedChange& change) {
  if (change.version != version + 1) {
    return false;
  }
  for (const ChangeItem& item : change.items) {
    std::visit(ItemApplier{*this}, item.value);
  }
  version = change.version;
  return true;
}

const Tenant* Configuration::tenant_of_key(const std::string& api_key) const {
  const std::string digest = key_digest(api_key);
  for (const auto& [name, tenant] : tenants) {
    for (const std::string& candidate : tenant.key_digests) {
      if (candidate == digest) {
        return &tenant;
      }
    }
  }
  return nullptr;
}

PolicyRow Configuration::row(RowKind kind, const std::string& name) const {
  for (const PolicyRow& row : table.rows) {
    if (row.kind == kind && row.name == name) {
      return row;
    }
  }
  PolicyRow defaults;
  defaults.kind = kind;
  defaults.name = name;
  return defaults;
}

std::string key_digest(const std::string& api_key) {
  return to_hex(hash_bytes(api_key, kKeyDigestSeeds[0])) + to_hex(hash_bytes(api_key, kKeyDigestSeeds[1]));
}

}  // namespace stoat::control
