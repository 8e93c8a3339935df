/// Selects the routers that relay connections to backends for another router. Performs no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "src/fleet/backend_record.h"
#include "src/topology/topology.h"

namespace stoat::control {

/// Keeps the routers that can relay, and selects a few of them for each router.
class RelaySelection {
 public:
  explicit RelaySelection(topology::Topology topology = {}) : topology_(std::move(topology)) {}

  /// Sets the routers that are ready. Those that relay and are not cut off can be selected.
  void update(const std::vector<fleet::RouterRecord>& ready);
  /// Changes when select() may return something else.
  uint64_t revision() const { return revision_; }
  /// Addresses of up to `limit` routers that relay for this one: of its region if there are any, and half of
  /// them in its zone as far as possible. Each router gets other ones, and few of them change when a router
  /// comes or goes.
  std::vector<std::string> select(const fleet::RouterRecord& router, size_t limit) const;

 private:
  struct Candidate {
    uint64_t name_hash = 0;
    topology::Location place;
    std::string address;
    bool operator==(const Candidate& other) const {
      return name_hash == other.name_hash && address == other.address;
    }
  };
  /// A candidate and its rank for one router; the lowest is selected first.
  using Ranked = std::pair<uint64_t, const Candidate*>;
  /// Keeps the first `count` by rank, in order.
  static void keep_first(std::vector<Ranked>& candidates, size_t count);

  topology::Topology topology_;
  std::vector<Candidate> candidates_;
  uint64_t revision_ = 1;
};

}  // namespace stoat::control
