#include "src/cache/prefix_index.h"

#include <algorithm>

#include "src/common/hash.h"

namespace stoat::cache {

namespace {

constexpr unsigned kInitialBits = 10;
constexpr size_t kMaxLoadPercent = 85;

}  // namespace

PrefixIndex::PrefixIndex() : entries_(size_t{1} << kInitialBits), shift_(64 - kInitialBits), owners_(1) {}

EngineSlot PrefixIndex::slot_of(const std::string& engine, uint64_t incarnation) {
  const auto found = live_slots_.find(engine);
  if (found != live_slots_.end()) {
    if (owners_[found->second].incarnation == incarnation) {
      return found->second;
    }
    drop_engine(engine);
  }
  auto free =
      std::find_if(owners_.begin() + 1, owners_.end(), [](const SlotOwner& owner) { return owner.free; });
  if (free == owners_.end()) {
    owners_.emplace_back();
    free = owners_.end() - 1;
  }
  *free = SlotOwner{engine, hash_bytes(engine), incarnation, true, false};
  const auto slot = static_cast<EngineSlot>(free - owners_.begin());
  live_slots_[engine] = slot;
  return slot;
}

void PrefixIndex::drop_engine(const std::string& engine) {
  const auto found = live_slots_.find(engine);
  if (found == live_slots_.end()) {
    return;
  }
  owners_[found->second].live = false;
  dead_slots_.push_back(found->second);
  live_slots_.erase(found);
}

size_t PrefixIndex::find(BlockHash block) const {
  const size_t mask = entries_.size() - 1;
  for (size_t position = home_of(block);; position = (position + 1) & mask) {
    if (entries_[position].block == block) {
      return position;
    }
    if (entries_[position].block == 0) {
      return entries_.size();
    }
  }
}

size_t PrefixIndex::find_or_insert(BlockHash block) {
  if ((used_ + 1) * 100 > entries_.size() * kMaxLoadPercent) {
    grow();
  }
  const size_t mask = entries_.size() - 1;
  size_t position = home_of(block);
  while (entries_[position].block != 0 && entries_[position].block != block) {
    position = (position + 1) & mask;
  }
  if (entries_[position].block == 0) {
    entries_[position].block = block;
    ++used_;
  }
  return position;
}

void PrefixIndex::grow() {
  std::vector<Entry> former = std::move(entries_);
  entries_ = std::vector<Entry>(former.size() * 2);
  --shift_;
  const size_t mask = entries_.size() - 1;
  for (const Entry& entry : former) {
    if (entry.block == 0) {
      continue;
    }
    size_t position = home_of(entry.block);
    while (entries_[position].block != 0) {
      position = (position + 1) & mask;
    }
    entries_[position] = entry;
  }
}

void PrefixIndex::erase_at(size_t position) {
  const size_t mask = entries_.size() - 1;
  --used_;
  size_t hole = position;
  for (size_t next = (hole + 1) & mask; entries_[next].block != 0; next = (next + 1) & mask) {
    // An entry may move into the hole only if its home does not lie cyclically between the hole and itself.
    const size_t distance_from_home = (next - home_of(entries_[next].block)) & mask;
    const size_t distance_from_hole = (next - hole) & mask;
    if (distance_from_home >= distance_from_hole) {
      entries_[hole] = entries_[next];
      hole = next;
    }
  }
  entries_[hole] = Entry();
}

void PrefixIndex::store(EngineSlot slot, BlockHash block) {
  Entry& entry = entries_[find_or_insert(block)];
  for (EngineSlot& place : entry.slots) {
    if (place == slot) {
      return;
    }
    if (place == 0) {
      place = slot;
      return;
    }
  }
  std::vector<EngineSlot>& more = overflow_[block];
  if (std::find(more.begin(), more.end(), slot) == more.end()) {
    more.push_back(slot);
  }
}

bool PrefixIndex::erase_slot(Entry& entry, EngineSlot slot) {
  const auto overflow = overflow_.find(entry.block);
  const auto place = std::find(entry.slots.begin(), entry.slots.end(), slot);
  if (place == entry.slots.end()) {
    if (overflow != overflow_.end()) {
      std::erase(overflow->second, slot);
      if (overflow->second.empty()) {
        overflow_.erase(overflow);
      }
    }
    return false;
  }
  std::move(place + 1, entry.slots.end(), place);
  entry.slots.back() = 0;
  if (overflow != overflow_.end()) {
    entry.slots.back() = overflow->second.back();
    overflow->second.pop_back();
    if (overflow->second.empty()) {
      overflow_.erase(overflow);
    }
  }
  return entry.slots.front() == 0;
}

void PrefixIndex::remove(EngineSlot slot, BlockHash block) {
  const size_t position = find(block);
  if (position != entries_.size() && erase_slot(entries_[position], slot)) {
    erase_at(position);
  }
}

std::vector<PrefixMatch> PrefixIndex::match(const std::vector<BlockHash>& chain) const {
  lengths_.assign(owners_.size(), 0);
  for (uint32_t depth = 0; depth < chain.size(); ++depth) {
    const size_t position = find(chain[depth]);
    if (position == entries_.size()) {
      break;
    }
    const Entry& entry = entries_[position];
    bool any = false;
    const auto extend = [&](EngineSlot slot) {
      if (slot != 0 && lengths_[slot] == depth) {
        lengths_[slot] = depth + 1;
        any = true;
      }
    };
    std::for_each(entry.slots.begin(), entry.slots.end(), extend);
    if (entry.slots.back() != 0) {
      if (const auto more = overflow_.find(entry.block); more != overflow_.end()) {
        std::for_each(more->second.begin(), more->second.end(), extend);
      }
    }
    if (!any) {
      break;
    }
  }
  std::vector<PrefixMatch> matches;
  for (size_t slot = 1; slot < owners_.size(); ++slot) {
    if (lengths_[slot] > 0 && owners_[slot].live) {
      const SlotOwner& owner = owners_[slot];
      matches.push_back({owner.engine, owner.engine_hash, owner.incarnation, lengths_[slot]});
    }
  }
  return matches;
}

bool PrefixIndex::names_swept_slot(const Entry& entry) const {
  const auto swept = [this](EngineSlot slot) { return owners_[slot].sweeping; };
  if (std::any_of(entry.slots.begin(), entry.slots.end(), swept)) {
    return true;
  }
  if (entry.slots.back() == 0) {
    return false;
  }
  const auto more = overflow_.find(entry.block);
  return more != overflow_.end() && std::any_of(more->second.begin(), more->second.end(), swept);
}

void PrefixIndex::sweep(size_t max_entries) {
  if (dead_slots_.empty()) {
    return;
  }
  if (sweep_position_ == 0) {
    sweep_covers_ = dead_slots_.size();
    for (const EngineSlot slot : dead_slots_) {
      owners_[slot].sweeping = true;
    }
  }
  for (size_t looked_at = 0; looked_at < max_entries; ++looked_at) {
    if (sweep_position_ >= entries_.size()) {
      for (size_t position = 0; position < sweep_covers_; ++position) {
        owners_[dead_slots_[position]].sweeping = false;
        owners_[dead_slots_[position]].free = true;
      }
      dead_slots_.erase(dead_slots_.begin(),
                        dead_slots_.begin() + static_cast<std::ptrdiff_t>(sweep_covers_));
      sweep_position_ = 0;
      return;
    }
    Entry& entry = entries_[sweep_position_];
    bool emptied = false;
    const bool has_dead = entry.block != 0 && names_swept_slot(entry);
    for (size_t position = 0; has_dead && position < sweep_covers_ && !emptied; ++position) {
      emptied = erase_slot(entry, dead_slots_[position]);
    }
    if (emptied) {
      erase_at(sweep_position_);  // another entry may have moved here: look again
    } else {
      ++sweep_position_;
    }
  }
}

/// An entry of the overflow table: key, list header, and the links of its node.
constexpr size_t kOverflowNodeBytes = 48;

size_t PrefixIndex::memory_bytes() const {
  size_t bytes = entries_.capacity() * sizeof(Entry);
  for (const auto& [block, slots] : overflow_) {
    bytes += kOverflowNodeBytes + slots.capacity() * sizeof(EngineSlot);
  }
  return bytes;
}

}  // namespace stoat::cache
