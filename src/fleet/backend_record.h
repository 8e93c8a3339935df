/// Records of running backends, built from their heartbeats, and of routers.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::fleet {

/// Life-cycle state of a backend.
enum class BackendState : uint8_t {
  kReady,
  kDraining,  ///< gets no new requests
  kGone,      ///< has announced its end
};

/// A model that a backend serves, and the version of its weights.
struct ModelVersion {
  std::string model;
  uint64_t version = 0;
  MSGPACK_DEFINE_ARRAY(model, version)
  bool operator==(const ModelVersion&) const = default;
};

/// One incarnation of a backend. Of two records with the same id, the one with the higher sequence is newer.
struct BackendRecord {
  std::string id;  ///< of the incarnation, see incarnation.h
  std::string service;
  std::string address;  ///< "address:port"
  std::string zone;
  uint32_t slots = 0;
  BackendState state = BackendState::kReady;
  uint64_t sequence = 0;  ///< increases with every heartbeat
  std::vector<ModelVersion> models;
  bool lost = false;     ///< its heartbeats have stopped
  bool loading = false;  ///< new weights are being loaded: gets no requests
  std::string software;  ///< version of the program, not of the weights; empty: not reported
  MSGPACK_DEFINE_ARRAY(id, service, address, zone, slots, state, sequence, models, lost, loading, software)
  bool operator==(const BackendRecord&) const = default;
  /// The version of a model's weights, or 0 when the backend does not serve the model.
  uint64_t version_of(const std::string& model) const {
    for (const ModelVersion& entry : models) {
      if (entry.model == model) {
        return entry.version;
      }
    }
    return 0;
  }
};

/// A router of the fleet, as listed in the router directory.
struct RouterRecord {
  std::string name;
  std::string address;  ///< "address:port" for callers
  std::string zone;
  std::string region;
  bool ready = false;
  std::string relay_address = {};  ///< "address:port" where it relays connections; empty: it does not
  bool cut_off = false;            ///< it reaches no backend itself
  MSGPACK_DEFINE_ARRAY(name, address, zone, region, ready, relay_address, cut_off)
  bool operator==(const RouterRecord&) const = default;
};

}  // namespace stoat::fleet

MSGPACK_ADD_ENUM(stoat::fleet::BackendState);
