/// What backends have announced of the load that they bear, as reported to a control member by its own
/// routers and by the other members: rate limits, and how many rejections a brittle backend bears. The latest
/// report applies. Performs no I/O.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "src/fleet/backend_limit.h"
#include "src/fleet/revision_table.h"
#include "src/fleet/slot_lease.h"

namespace stoat::control {

/// Announced numbers by backend. Backends that announce none, or 0, have no entry.
/// `Announcement`: a message with the backend's id and the number `kValue`.
template <typename Announcement, double Announcement::*kValue>
class AnnouncementTable {
 public:
  /// Applies what a router of this member reports.
  void on_router(const std::vector<Announcement>& announcements) {
    for (const Announcement& announcement : announcements) {
      if (set(announcement)) {
        changed_[announcement.backend] = announcement.*kValue;
      }
    }
  }
  /// Applies the changes that another member reports.
  void on_peer(const std::vector<Announcement>& announcements) {
    for (const Announcement& announcement : announcements) {
      set(announcement);
    }
  }
  /// Removes the backends for which `is_registered(id)` is false.
  template <typename Predicate>
  void retain(const Predicate& is_registered) {
    for (const Announcement& announcement : all()) {
      if (!is_registered(announcement.backend)) {
        values_.erase(announcement.backend);
      }
    }
  }
  /// Adds up to `count` changes since a revision to `announcements`; 0 stands for a withdrawn number. Returns
  /// the revision up to which they are complete.
  uint64_t add_changes_since(uint64_t revision, size_t count,
                             std::vector<Announcement>& announcements) const {
    return values_.visit_since(revision, count, [&](const std::string& backend, const double* value) {
      announcements.push_back({backend, value == nullptr ? 0 : *value});
    });
  }

  /// What this member's routers have changed since the last call, to be sent to the other members.
  std::vector<Announcement> take_changes() {
    return fleet::to_list<Announcement>(std::exchange(changed_, {}));
  }
  std::vector<Announcement> all() const {
    std::vector<Announcement> list;
    values_.visit_all([&](const std::string& backend, double value) { list.push_back({backend, value}); });
    return list;
  }
  /// The number that a backend has announced, or `default_value` when none is known.
  double value_or(const std::string& backend, double default_value) const {
    const double* known = values_.find(backend);
    return known == nullptr ? default_value : *known;
  }
  const fleet::RevisionTable<std::string, double>& values() const { return values_; }

 private:
  bool set(const Announcement& announcement) {
    const double value = announcement.*kValue;
    return value > 0 ? values_.set(announcement.backend, value) : values_.erase(announcement.backend);
  }

  fleet::RevisionTable<std::string, double> values_;  ///< by id of the backend
  std::map<std::string, double> changed_;
};

/// Rate limits, in requests per second.
using BackendLimitTable = AnnouncementTable<fleet::BackendLimit, &fleet::BackendLimit::per_second>;
/// Brittle backends, with the rejections per second that they bear.
using BrittleBackendTable =
    AnnouncementTable<fleet::BrittleBackend, &fleet::BrittleBackend::rejections_per_second>;

}  // namespace stoat::control
