/// The time needed to transfer KV cache from one cache to another, derived from the configured link speeds,
/// and whether a transfer is worthwhile.
///
/// A link carries one transfer at a time. A transfer between zones takes twice as long as within a zone, one
/// between regions ten times as long. With a link of 550 Gbit/s, a token that takes 0.005 ms within a zone
/// takes 0.048 ms between regions, which is longer than an engine needs to compute its cache.
#pragma once

#include <cstdint>

#include "src/fleet/fleet_configuration.h"
#include "src/topology/topology.h"

namespace stoat::placement {

/// The costs of transfers between engines and from stores, and the comparison with computing the cache anew.
/// Times are in milliseconds.
struct TransferCosts {
  double setup_ms = 4.0;
  /// Between engines of one zone; the default applies if the configuration has no link speed.
  double ms_per_token = 0.015;
  /// From a store in the same zone, whose single link is shared by all engines.
  double store_ms_per_token = 0.06;

  /// Whether the configuration contains the link speeds. Where the transfer time is unknown, transfers are
  /// assumed to be worthwhile.
  bool engine_link_known = false;
  bool store_link_known = false;

  /// Returns the time to transfer tokens between engines.
  double engine_transfer_ms(uint32_t tokens, topology::Distance distance) const;
  /// Returns the time to transfer tokens from a store.
  double store_transfer_ms(uint32_t tokens, topology::Distance distance) const;
  /// Returns whether a transfer is worthwhile compared with computing the tokens again at
  /// `prefill_ms_per_token` each. Computing delays the engine's other requests and a transfer does not, so a
  /// transfer may take somewhat longer.
  bool engine_transfer_pays(uint32_t tokens, topology::Distance distance, double prefill_ms_per_token) const;
  /// The same for a transfer from a store.
  bool store_transfer_pays(uint32_t tokens, topology::Distance distance, double prefill_ms_per_token) const;
};

/// Returns the costs for a service with this engine profile, and for a store; nullptr if there is none.
TransferCosts make_transfer_costs(const fleet::EngineProfile& engine, const fleet::Service* store);

}  // namespace stoat::placement
