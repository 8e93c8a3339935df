/// Prompts as chains of block hashes. A chain is seeded by a namespace, so that blocks of another tenant,
/// model or weights version can never match, by construction.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoat::cache {

/// Hash of a block together with all blocks before it and the namespace.
using BlockHash = uint64_t;

/// Bytes that the stand-in tokenizer counts as one token.
inline constexpr size_t kBytesPerToken = 4;

/// The number of tokens in a text under the stand-in tokenizer.
inline uint32_t count_tokens(std::string_view text) {
  return static_cast<uint32_t>((text.size() + kBytesPerToken - 1) / kBytesPerToken);
}

/// What separates cached blocks that must not be shared.
struct Namespace {
  std::string group;  ///< sharing group of the tenant, or the tenant's own name
  std::string model;
  std::string adapter;
  std::string weights_version;
  uint32_t block_tokens = 0;
};

/// The seed that a namespace gives to its chains.
uint64_t namespace_seed(const Namespace& name_space);

/// The hashes of the whole blocks of a prompt; a last part block is left out.
std::vector<BlockHash> block_chain(uint64_t seed, std::string_view prompt, uint32_t block_tokens);

/// The hash of the first block (of the whole prompt when it is shorter): decides which router owns the
/// prefix.
BlockHash chain_root(uint64_t seed, std::string_view prompt, uint32_t block_tokens);

}  // namespace stoat::cache
