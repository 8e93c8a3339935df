#include "src/common/hash.h"

#include <algorithm>
#include <utility>

namespace stoat {

std::vector<std::string> rendezvous_order(uint64_t key, const std::vector<std::string>& names) {
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(names.size());
  for (const std::string& name : names) {
    weighted.emplace_back(hash_bytes(name, key), name);
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<std::string> ordered;
  ordered.reserve(weighted.size());
  for (auto& [weight, name] : weighted) {
    ordered.push_back(std::move(name));
  }
  return ordered;
}

std::string rendezvous_first(uint64_t key, const std::vector<std::string>& names) {
  const std::string* best = nullptr;
  uint64_t best_weight = 0;
  for (const std::string& name : names) {
    const uint64_t weight = hash_bytes(name, key);
    if (best == nullptr || weight > best_weight) {
      best = &name;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string() : *best;
}

std::string to_hex(uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(16, '0');
  for (size_t position = 16; position-- > 0; value >>= 4U) {
    text[position] = kDigits[value & 0xfU];
  }
  return text;
}

std::string to_hex(const std::vector<uint64_t>& values, size_t limit) {
  std::string text;
  for (size_t position = 0; position < std::min(limit, values.size()); ++position) {
    text += (position == 0 ? "" : ",") + to_hex(values[position]);
  }
  return text;
}

}  // namespace stoat
