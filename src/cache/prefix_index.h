/// Which engines hold which blocks, as far as the feeds have told. A flat table of 16-byte entries.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/cache/block_chain.h"

namespace stoat::cache {

/// A small number that stands for one incarnation of one engine within an index. 0 means none.
using EngineSlot = uint16_t;

/// How many leading blocks of a chain an engine holds.
struct PrefixMatch {
  std::string_view engine;   ///< holds until the index changes
  uint64_t engine_hash = 0;  ///< hash_bytes() of its name
  uint64_t incarnation = 0;
  uint32_t blocks = 0;
};

/// See the head of this file. Not thread-safe.
class PrefixIndex {
 public:
  PrefixIndex();

  /// The slot of an engine's incarnation. A new incarnation makes all entries of the former one invisible at
  /// once.
  EngineSlot slot_of(const std::string& engine, uint64_t incarnation);
  /// Makes all entries of an engine invisible at once.
  void drop_engine(const std::string& engine);

  void store(EngineSlot slot, BlockHash block);
  void remove(EngineSlot slot, BlockHash block);
  /// The engines that hold the chain's first block, each with its number of leading blocks.
  std::vector<PrefixMatch> match(const std::vector<BlockHash>& chain) const;

  /// Clears entries of invisible slots, looking at up to `max_entries`; to be called now and then.
  void sweep(size_t max_entries);

  size_t block_count() const { return used_; }
  /// Bytes held by the tables.
  size_t memory_bytes() const;

 private:
  static constexpr size_t kInlineSlots = 4;
  /// `slots` is filled from the front. When it is full, more slots may stand in overflow_.
  struct Entry {
    BlockHash block = 0;  ///< 0: empty
    std::array<EngineSlot, kInlineSlots> slots{};
  };
  struct SlotOwner {
    std::string engine;
    uint64_t engine_hash = 0;
    uint64_t incarnation = 0;
    bool live = false;
    bool free = true;
    bool sweeping = false;  ///< dead, and being cleared by the present pass
  };

  bool names_swept_slot(const Entry& entry) const;
  size_t find(BlockHash block) const;
  size_t find_or_insert(BlockHash block);
  void erase_at(size_t position);
  void grow();
  bool erase_slot(Entry& entry, EngineSlot slot);
  size_t home_of(BlockHash block) const { return (block * kHashMultiplier) >> shift_; }
  static constexpr uint64_t kHashMultiplier = 0x9E3779B97F4A7C15ULL;

  std::vector<Entry> entries_;
  unsigned shift_ = 0;
  size_t used_ = 0;
  std::unordered_map<BlockHash, std::vector<EngineSlot>> overflow_;
  std::vector<SlotOwner> owners_;
  std::unordered_map<std::string, EngineSlot> live_slots_;
  std::vector<EngineSlot> dead_slots_;  ///< invisible, still named by entries
  size_t sweep_position_ = 0;
  size_t sweep_covers_ = 0;  ///< how many of dead_slots_ the present pass clears
  mutable std::vector<uint32_t> lengths_;
};

}  // namespace stoat::cache
