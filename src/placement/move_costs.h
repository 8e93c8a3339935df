/// How long KV cache takes from one cache to another, from what the deployment tells of its links, and
/// whether that is worth while.
///
/// A link carries one move at a time. Between zones a move takes twice as long as within one, between regions
/// ten times: what a link of 550 Gbit/s moves in 0.005 ms within a zone takes 0.048 ms between regions,
/// longer than an engine takes to read it.
#pragma once

#include <cstdint>

#include "src/fleet/fleet_configuration.h"
#include "src/topology/topology.h"

namespace stoat::placement {

/// See the head of this file. Times are in milliseconds.
struct MoveCosts {
  double setup_ms = 4.0;
  double ms_per_token = 0.015;  ///< between engines of one zone; assumed where the deployment tells nothing
  /// From a store in the same zone, whose one link all engines share.
  double store_ms_per_token = 0.06;

  /// What the deployment tells. Where it is unknown how long a move takes, moves are taken to be worth while.
  bool engine_known = false;
  bool store_known = false;

  /// To move so many tokens between engines.
  double engine_ms(uint32_t tokens, topology::Distance distance) const;
  /// To move so many tokens from a store.
  double store_ms(uint32_t tokens, topology::Distance distance) const;
  /// True when a move is worth while against reading the tokens anew, at `prefill_ms` each. To read keeps the
  /// engine's other requests waiting, to move does not: so a move may take somewhat longer.
  bool engine_pays(uint32_t tokens, topology::Distance distance, double prefill_ms) const;
  /// The same of a move from a store.
  bool worth_taking_from_store(uint32_t tokens, topology::Distance distance, double prefill_ms) const;
};

/// The costs for a service, and for a store when there is one (else nullptr).
MoveCosts make_transfer_costs(const fleet::EngineProfile& engine, const fleet::Service* store);

}  // namespace stoat::placement
