#include "src/cache/block_chain.h"

#include "src/common/hash.h"

namespace stoat::cache {

uint64_t namespace_seed(const Namespace& name_space) {
  uint64_t seed = name_space.block_tokens;
  for (const std::string* part :
       {&name_space.group, &name_space.model, &name_space.adapter, &name_space.weights_version}) {
    seed = hash_pair(seed, hash_bytes(*part, part->size()));
  }
  return seed;
}

std::vector<BlockHash> block_chain(uint64_t seed, std::string_view prompt, uint32_t block_tokens) {
  const size_t block_bytes = block_tokens * kBytesPerToken;
  std::vector<BlockHash> chain;
  chain.reserve(prompt.size() / block_bytes);
  BlockHash previous = seed;
  for (size_t offset = 0; offset + block_bytes <= prompt.size(); offset += block_bytes) {
    previous = hash_bytes(prompt.substr(offset, block_bytes), previous);
    chain.push_back(previous);
  }
  return chain;
}

BlockHash chain_root(uint64_t seed, std::string_view prompt, uint32_t block_tokens) {
  return hash_bytes(prompt.substr(0, block_tokens * kBytesPerToken), seed);
}

}  // namespace stoat::cache
