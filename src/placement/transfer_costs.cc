#include "src/placement/transfer_costs.h"

namespace stoat::placement {

namespace {

/// How much longer a transfer between zones or between regions takes than one within a zone.
constexpr double kCrossZoneFactor = 2;
constexpr double kCrossRegionFactor = 10;
/// Transfers from a store wait for those of other engines, which on average doubles their duration.
constexpr double kStoreSharingFactor = 2;
/// A transfer may take this many times as long as computing the tokens.
constexpr double kMaxTransferRatio = 1.5;

constexpr double kBitsPerByte = 8;
constexpr double kBitsPerMbitMs = 1000;  ///< that a link of 1 Mbit/s carries in a millisecond

double distance_factor(topology::Distance distance) {
  switch (distance) {
    case topology::Distance::kSameZone:
      return 1;
    case topology::Distance::kSameRegion:
      return kCrossZoneFactor;
    case topology::Distance::kOtherRegion:
      return kCrossRegionFactor;
  }
  return kCrossRegionFactor;
}

double link_ms(double bytes, double link_mbps) { return bytes * kBitsPerByte / (link_mbps * kBitsPerMbitMs); }

}  // namespace

double TransferCosts::engine_transfer_ms(uint32_t tokens, topology::Distance distance) const {
  return setup_ms + tokens * ms_per_token * distance_factor(distance);
}

double TransferCosts::store_transfer_ms(uint32_t tokens, topology::Distance distance) const {
  return setup_ms + tokens * store_ms_per_token * distance_factor(distance);
}

bool TransferCosts::engine_transfer_pays(uint32_t tokens, topology::Distance distance,
                                         double prefill_ms_per_token) const {
  return !engine_link_known ||
         engine_transfer_ms(tokens, distance) < kMaxTransferRatio * prefill_ms_per_token * tokens;
}

bool TransferCosts::store_transfer_pays(uint32_t tokens, topology::Distance distance,
                                        double prefill_ms_per_token) const {
  return !store_link_known ||
         store_transfer_ms(tokens, distance) < kMaxTransferRatio * prefill_ms_per_token * tokens;
}

TransferCosts make_transfer_costs(const fleet::EngineProfile& engine, const fleet::Service* store) {
  TransferCosts costs;
  if (engine.kv_bytes_per_token > 0 && engine.link_mbps > 0) {
    costs.engine_link_known = true;
    costs.ms_per_token = link_ms(engine.kv_bytes_per_token, engine.link_mbps);
  }
  if (engine.kv_bytes_per_token > 0 && store != nullptr && store->store_link_mbps > 0) {
    costs.store_link_known = true;
    costs.store_ms_per_token =
        kStoreSharingFactor * link_ms(engine.kv_bytes_per_token, store->store_link_mbps);
  }
  return costs;
}

}  // namespace stoat::placement
