/// 64-bit hashing (xxHash) and rendezvous (highest random weight) hashing.
#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoat {

/// A 64-bit hash of `bytes`, seeded with `seed`.
inline uint64_t hash_bytes(std::string_view bytes, uint64_t seed = 0) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

/// Hashes two 64-bit values into one.
inline uint64_t hash_pair(uint64_t first, uint64_t second) {
  const uint64_t words[2] = {first, second};
  return XXH3_64bits(words, sizeof(words));
}

/// Orders `names` by rendezvous weight for `key`, highest first. Adding or removing a name does not change
/// the relative order of the others.
std::vector<std::string> rendezvous_order(uint64_t key, const std::vector<std::string>& names);

/// The name with the highest rendezvous weight for `key`, or an empty string when there are no names.
std::string rendezvous_first(uint64_t key, const std::vector<std::string>& names);

/// Formats a value as 16 hexadecimal digits.
std::string to_hex(uint64_t value);

/// Formats up to `limit` values in the same way, joined by commas.
std::string to_hex(const std::vector<uint64_t>& values, size_t limit = SIZE_MAX);

}  // namespace stoat
