/// Seeded random numbers for decision code, so that a run can be repeated from its seed.
#pragma once

#include <cstdint>
#include <random>

namespace stoat {

/// A seeded generator. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// A uniform integer in [0, bound). `bound` must be positive.
  uint64_t below(uint64_t bound) { return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_); }

  /// A uniform integer in [low, high].
  int64_t between(int64_t low, int64_t high) {
    return std::uniform_int_distribution<int64_t>(low, high)(engine_);
  }

  /// A uniform real in [0, 1).
  double uniform_real() { return std::uniform_real_distribution<double>(0.0, 1.0)(engine_); }

  /// True with the given probability.
  bool chance(double probability) { return uniform_real() < probability; }

  /// An exponentially distributed real with the given mean.
  double exponential(double mean) { return std::exponential_distribution<double>(1.0 / mean)(engine_); }

  /// 64 random bits.
  uint64_t bits() { return engine_(); }

 private:
  std::mt19937_64 engine_;
};

/// A seed from the operating system, for programs without a configured seed.
inline uint64_t seed_from_device() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

}  // namespace stoat
