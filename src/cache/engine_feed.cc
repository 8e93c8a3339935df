#include "src/cache/engine_feed.h"

namespace stoat::cache {

FeedResult EngineFeed::on_page(const FeedPage& page) {
  FeedResult result;
  if (page.incarnation != incarnation_) {
    incarnation_ = page.incarnation;
    last_sequence_ = 0;
    awaiting_snapshot_ = false;
    roots_.clear();
    result.reset = true;
    if (!page.events.empty() && page.events.front().sequence == 1) {
      // The events belong to the new incarnation only if they were asked for from its beginning.
    } else {
      awaiting_snapshot_ = page.oldest_sequence > 1 || !page.events.empty();
      result.needs_snapshot = awaiting_snapshot_;
      return result;
    }
  }
  if (awaiting_snapshot_) {
    result.needs_snapshot = true;
    return result;
  }
  for (const FeedEvent& event : page.events) {
    if (event.sequence <= last_sequence_) {
      continue;
    }
    if (event.sequence != last_sequence_ + 1) {
      ++gaps_found_;
      awaiting_snapshot_ = true;
      result.needs_snapshot = true;
      return result;
    }
    last_sequence_ = event.sequence;
    if (!event.stored) {
      const auto found = roots_.find(event.block);
      if (found != roots_.end()) {
        result.changes.push_back({found->second, event.block, false});
        roots_.erase(found);
      }
      continue;
    }
    const auto parent = roots_.find(event.parent);
    const BlockHash root = event.parent == 0 || parent == roots_.end() ? event.block : parent->second;
    roots_[event.block] = root;
    result.changes.push_back({root, event.block, true});
  }
  return result;
}

FeedResult EngineFeed::on_snapshot(const FeedSnapshot& snapshot) {
  FeedResult result;
  result.reset = true;
  incarnation_ = snapshot.incarnation;
  last_sequence_ = snapshot.sequence;
  awaiting_snapshot_ = false;
  roots_.clear();
  std::unordered_map<BlockHash, BlockHash> parents(snapshot.blocks.begin(), snapshot.blocks.end());
  for (const auto& [block, parent] : snapshot.blocks) {
    // Climb to a block whose root is known or that has no held parent, then note the root all the way down.
    std::vector<BlockHash> path;
    BlockHash current = block;
    while (roots_.count(current) == 0) {
      path.push_back(current);
      const auto above = parents.find(current);
      if (above == parents.end() || above->second == 0 || parents.count(above->second) == 0) {
        roots_[current] = current;
        break;
      }
      current = above->second;
    }
    const BlockHash root = roots_[current];
    for (const BlockHash member : path) {
      roots_[member] = root;
    }
  }
  result.changes = everything();
  return result;
}

std::vector<BlockChange> EngineFeed::everything() const {
  std::vector<BlockChange> changes;
  changes.reserve(roots_.size());
  for (const auto& [block, root] : roots_) {
    changes.push_back({root, block, true});
  }
  return changes;
}

}  // namespace stoat::cache
