/// Key-value table that tracks the order of its changes, so that a receiver can be sent the changes since a
/// revision instead of the full table.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace stoat::fleet {

/// A table with a revision that increases with each change. Revision 0 is that of a receiver without data.
/// Only the most recently erased keys are remembered; a receiver that is further behind needs the full table.
template <typename Key, typename Value>
class RevisionTable {
 public:
  /// `erased_limit`: number of erased keys that are remembered.
  explicit RevisionTable(size_t erased_limit = kDefaultErasedLimit) : erased_limit_(erased_limit) {}

  /// Sets a value. Returns true when it differs from the current one.
  bool set(const Key& key, const Value& value) {
    Entry& entry = entries_[key];
    if (entry.value && *entry.value == value) {
      return false;
    }
    if (!entry.value) {
      ++size_;
    }
    entry.value = value;
    record_change(key, entry);
    return true;
  }

  /// Erases a value. Returns true when there was one.
  bool erase(const Key& key) {
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.value) {
      return false;
    }
    found->second.value.reset();
    --size_;
    record_change(key, found->second);
    erased_revisions_.insert(revision_);
    evict_erased();
    return true;
  }

  /// The value of a key, or nullptr.
  const Value* find(const Key& key) const {
    const auto found = entries_.find(key);
    return found == entries_.end() || !found->second.value ? nullptr : &*found->second.value;
  }

  size_t size() const { return size_; }
  uint64_t revision() const { return revision_; }
  /// True when a receiver at this revision can be updated with changes only.
  bool can_update_from(uint64_t revision) const {
    return revision == 0 || revision >= newest_evicted_revision_;
  }

  /// Calls `visit(key, value)` for at most `limit` entries that changed after `revision`, in the order of
  /// their last change; `value` is nullptr for an erased key. Returns the revision that the receiver is at
  /// afterwards.
  template <typename Visitor>
  uint64_t visit_since(uint64_t revision, size_t limit, const Visitor& visit) const {
    size_t visited = 0;
    for (auto position = key_by_revision_.upper_bound(revision); position != key_by_revision_.end();
         ++position) {
      if (visited == limit) {
        return std::prev(position)->first;
      }
      const Entry& entry = entries_.at(position->second);
      visit(position->second, entry.value ? &*entry.value : nullptr);
      ++visited;
    }
    return revision_;
  }

  /// Calls `visit(key, value)` for each entry, ordered by key.
  template <typename Visitor>
  void visit_all(const Visitor& visit) const {
    for (const auto& [key, entry] : entries_) {
      if (entry.value) {
        visit(key, *entry.value);
      }
    }
  }

 private:
  static constexpr size_t kDefaultErasedLimit = 8192;
  struct Entry {
    std::optional<Value> value;
    uint64_t revision = 0;
  };

  void record_change(const Key& key, Entry& entry) {
    if (entry.revision != 0) {
      key_by_revision_.erase(entry.revision);
      erased_revisions_.erase(entry.revision);
    }
    entry.revision = ++revision_;
    key_by_revision_.emplace(revision_, key);
  }

  void evict_erased() {
    while (erased_revisions_.size() > erased_limit_) {
      const uint64_t oldest = *erased_revisions_.begin();
      erased_revisions_.erase(erased_revisions_.begin());
      newest_evicted_revision_ = oldest;
      const auto position = key_by_revision_.find(oldest);
      entries_.erase(position->second);
      key_by_revision_.erase(position);
    }
  }

  size_t erased_limit_;
  std::map<Key, Entry> entries_;
  std::map<uint64_t, Key> key_by_revision_;  ///< by revision of the last change
  std::set<uint64_t> erased_revisions_;      ///< revisions at which remembered keys were erased
  uint64_t revision_ = 0;
  uint64_t newest_evicted_revision_ = 0;  ///< of the newest erasure that is no longer remembered
  size_t size_ = 0;
};

}  // namespace stoat::fleet
