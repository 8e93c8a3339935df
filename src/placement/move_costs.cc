#include "src/placement/move_costs.h"

namespace stoat::placement {

namespace {

/// How much longer a move takes between zones and between regions than within a zone.
constexpr double kBetweenZones = 2;
constexpr double kBetweenRegions = 10;
/// Moves from a store wait for those of other engines: on the whole as long again as they take.
constexpr double kStoreSharing = 2;
/// A move may take so many times as long as to read.
constexpr double kLongestMove = 1.5;

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbitMs = 1000;  ///< that a link of 1 Mbit/s carries in a millisecond

double factor(topology::Distance distance) {
  switch (distance) {
    case topology::Distance::kSameZone:
      return 1;
    case topology::Distance::kSameRegion:
      return kBetweenZones;
    case topology::Distance::kOtherRegion:
      return kBetweenRegions;
  }
  return kBetweenRegions;
}

double link_ms(double bytes, double link_mbps) { return bytes * kBitsPerByte / (link_mbps * kBitsPerMbitMs); }

}  // namespace

double MoveCosts::engine_ms(uint32_t tokens, topology::Distance distance) const {
  return setup_ms + tokens * ms_per_token * factor(distance);
}

double MoveCosts::store_ms(uint32_t tokens, topology::Distance distance) const {
  return setup_ms + tokens * store_ms_per_token * factor(distance);
}

bool MoveCosts::engine_pays(uint32_t tokens, topology::Distance distance, double prefill_ms) const {
  return !engine_known || engine_ms(tokens, distance) < kLongestMove * prefill_ms * tokens;
}

bool MoveCosts::worth_taking_from_store(uint32_t tokens, topology::Distance distance,
                                        double prefill_ms) const {
  return !store_known || store_ms(tokens, distance) < kLongestMove * prefill_ms * tokens;
}

MoveCosts make_transfer_costs(const fleet::EngineProfile& engine, const fleet::Service* store) {
  MoveCosts costs;
  if (engine.kv_bytes_per_token > 0 && engine.link_mbps > 0) {
    costs.engine_known = true;
    costs.ms_per_token = link_ms(engine.kv_bytes_per_token, engine.link_mbps);
  }
  if (engine.kv_bytes_per_token > 0 && store != nullptr && store->store_link_mbps > 0) {
    costs.store_known = true;
    costs.store_ms_per_token = kStoreSharing * link_ms(engine.kv_bytes_per_token, store->store_link_mbps);
  }
  return costs;
}

}  // namespace stoat::placement
