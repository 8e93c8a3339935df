#include "src/dispatch/link_monitor.h"

#include <algorithm>
#include <iterator>

namespace stoat::dispatch {

void LinkMonitor::forget(const std::string& backend) {
  links_.erase(backend);
  troubled_.erase(backend);
  failed_since_heard_.erase(backend);
}

void LinkMonitor::on_heard(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link != links_.end()) {
    link->second.heard_at = now;
    link->second.unreached_since = TimePoint(0);
    failed_since_heard_.clear();
    if (link->second.connect_failed_since == TimePoint(0)) {
      troubled_.erase(backend);
    }
  }
}

void LinkMonitor::on_connected(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link != links_.end()) {
    link->second.connect_failed_since = TimePoint(0);
    link->second.relay_reaches = false;
    on_heard(backend, now);
  }
}

void LinkMonitor::on_connect_failure(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link != links_.end() && link->second.connect_failed_since == TimePoint(0)) {
    link->second.connect_failed_since = now;
  }
  on_broken(backend, now);
}

void LinkMonitor::on_broken(const std::string& backend, TimePoint now) {
  const auto link = links_.find(backend);
  if (link == links_.end()) {
    return;
  }
  const bool was_cut_off = cut_off();
  failed_since_heard_.insert(backend);
  troubled_.insert(backend);
  cut_off_since_ = was_cut_off ? cut_off_since_ : now;
  if (link->second.unreached_since == TimePoint(0)) {
    link->second.unreached_since = now;
  }
}

void LinkMonitor::on_relay_reached(const std::string& backend) {
  const auto link = links_.find(backend);
  if (link != links_.end()) {
    link->second.relay_reaches = true;
  }
}

const LinkMonitor::Link* LinkMonitor::find(const std::string& backend) const {
  const auto link = links_.find(backend);
  return link == links_.end() ? nullptr : &link->second;
}

bool LinkMonitor::relayed_alone(const std::string& backend) const {
  const Link* link = troubled_.count(backend) == 0 ? nullptr : find(backend);
  return link != nullptr && link->connect_failed_since > TimePoint(0) && link->relay_reaches;
}

bool LinkMonitor::prefers_relay(const std::string& backend) const {
  return cut_off() || relayed_alone(backend);
}

bool LinkMonitor::open_connections_live(const std::string& backend) const {
  const Link* link = find(backend);
  return link != nullptr && !cut_off() && link->heard_at >= link->connect_failed_since;
}

bool LinkMonitor::heard_other_since(const std::string& backend, TimePoint since) const {
  return std::any_of(links_.begin(), links_.end(), [&](const auto& entry) {
    return entry.first != backend && entry.second.heard_at >= since;
  });
}

std::set<std::string> LinkMonitor::relayed_backends() const {
  std::set<std::string> relayed;
  std::copy_if(troubled_.begin(), troubled_.end(), std::inserter(relayed, relayed.end()),
               [this](const std::string& backend) { return relayed_alone(backend); });
  return relayed;
}

LinkSummary LinkMonitor::summary() const {
  LinkSummary summary;
  summary.known = links_.size();
  summary.cut_off = cut_off();
  for (const std::string& backend : troubled_) {
    const TimePoint since = links_.at(backend).unreached_since;
    if (since == TimePoint(0)) {
      continue;
    }
    const bool earliest = summary.unreached == 0 || since < summary.unreached_since;
    summary.unreached_since = earliest ? since : summary.unreached_since;
    ++summary.unreached;
  }
  return summary;
}

}  // namespace stoat::dispatch
