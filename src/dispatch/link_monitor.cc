#include "src/dispatch/link_monitor.h"

namespace stoat::dispatch {

void LinkMonitor::on_heard(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link != links_.end()) {
    link->second.heard_at = now;
    link->second.unreached_since = TimePoint(0);
  }
}

void LinkMonitor::on_failure(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link != links_.end() && link->second.unreached_since == TimePoint(0)) {
    link->second.unreached_since = now;
  }
}

TimePoint LinkMonitor::unreached_since(const std::string& backend) const {
  const auto link = links_.find(backend);
  return link == links_.end() ? TimePoint(0) : link->second.unreached_since;
}

LinkSummary LinkMonitor::summary() const {
  LinkSummary summary;
  summary.known = links_.size();
  for (const auto& [backend, link] : links_) {
    if (link.unreached_since == TimePoint(0)) {
      continue;
    }
    const bool earliest = summary.unreached == 0 || link.unreached_since < summary.unreached_since;
    summary.unreached_since = earliest ? link.unreached_since : summary.unreached_since;
    ++summary.unreached;
  }
  return summary;
}

}  // namespace stoat::dispatch
