/// The configuration that operators edit: tenants, models, back ends and the policy table, under one version.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "src/wire/codec.h"

namespace stoat::control {

/// A customer or team. Its API keys are stored only as hashes.
struct Tenant {
  std::string name;
  std::string sharing_group;             ///< tenants of one group may reuse each other's blocks; empty: none
  std::vector<std::string> key_digests;  ///< hexadecimal digests of API keys
  MSGPACK_DEFINE_ARRAY(name, sharing_group, key_digests)
  bool operator==(const Tenant&) const = default;
};

/// A model and the weights version that is in force for it.
struct Model {
  std::string name;
  std::string weights_version;
  std::string adapter;
  MSGPACK_DEFINE_ARRAY(name, weights_version, adapter)
  bool operator==(const Model&) const = default;
};

/// What a back end is. New kinds go at the end.
enum class BackendKind : uint8_t {
  kEngine,
  kPlain,
  kKvStore,  ///< keeps prefix blocks that engines export to it and import again
};

/// The name of a kind in the administration API.
const char* backend_kind_name(BackendKind kind);

/// The kind of a name, or nothing.
std::optional<BackendKind> backend_kind_of(const std::string& name);

/// An engine, one instance of a plain service, or a store of kept blocks.
struct Backend {
  std::string name;
  BackendKind kind = BackendKind::kEngine;
  std::string serves;    ///< model name of an engine or a store, service name of a plain back end
  std::string endpoint;  ///< "address:port"
  std::string zone;
  bool draining = false;
  MSGPACK_DEFINE_ARRAY(name, kind, serves, endpoint, zone, draining)
  bool operator==(const Backend&) const = default;
};

/// Whom a row of the policy table is about.
enum class RowKind : uint8_t { kTenant, kService };

/// One row of the policy table. A ceiling of 0 means no ceiling.
struct PolicyRow {
  RowKind kind = RowKind::kTenant;
  std::string name;
  double share = 1.0;              ///< weight within a priority class
  int32_t priority = 0;            ///< higher goes first
  double requests_per_second = 0;  ///< ceiling over the whole fleet
  double tokens_per_second = 0;    ///< ceiling over the whole fleet, prompt and completion tokens
  int32_t concurrent = 0;          ///< ceiling on requests being run
  int32_t queue_time_ms = 2000;    ///< longest wait before a refusal
  bool repeatable = true;          ///< false: each request runs at most once
  MSGPACK_DEFINE_ARRAY(kind, name, share, priority, requests_per_second, tokens_per_second, concurrent,
                       queue_time_ms, repeatable)
  bool operator==(const PolicyRow&) const = default;
};

/// The whole policy table; replaces the former one.
struct PolicyTable {
  std::vector<PolicyRow> rows;
  MSGPACK_DEFINE_ARRAY(rows)
  bool operator==(const PolicyTable&) const = default;
};

/// Kinds of things that can be removed by name.
enum class ObjectKind : uint8_t { kTenant, kModel, kBackend };

/// Removal of one thing.
struct Removal {
  ObjectKind kind = ObjectKind::kTenant;
  std::string name;
  MSGPACK_DEFINE_ARRAY(kind, name)
  bool operator==(const Removal&) const = default;
};

/// One item of a change: a thing to put in place, or to remove.
using ChangeItem = wire::Packed<Tenant, Model, Backend, PolicyTable, Removal>;

/// An accepted change and the version that it brought.
struct VersionedChange {
  uint64_t version = 0;
  std::vector<ChangeItem> items;
  MSGPACK_DEFINE_ARRAY(version, items)
};

/// The configuration at one version. The same class serves the control members and every node.
struct Configuration {
  uint64_t version = 0;
  std::map<std::string, Tenant> tenants;
  std::map<std::string, Model> models;
  std::map<std::string, Backend> backends;
  PolicyTable table;
  MSGPACK_DEFINE_ARRAY(version, tenants, models, backends, table)
  bool operator==(const Configuration&) const = default;

  /// Puts a change in force. Returns false, and changes nothing, unless it is exactly the next version.
  bool apply(const VersionedChange& change);

  /// The tenant that holds the API key, or nullptr.
  const Tenant* tenant_of_key(const std::string& api_key) const;

  /// The row for a tenant or a service; a row of defaults when the table has none.
  PolicyRow row(RowKind kind, const std::string& name) const;
};

/// The digest under which an API key is stored.
std::string key_digest(const std::string& api_key);

}  // namespace stoat::control

MSGPACK_ADD_ENUM(stoat::control::BackendKind);
MSGPACK_ADD_ENUM(stoat::control::RowKind);
MSGPACK_ADD_ENUM(stoat::control::ObjectKind);
