#include "src/control/incarnation_lookup.h"

#include <utility>

#include "src/fleet/incarnation.h"

namespace stoat::control {

namespace {

/// A lookup takes at least this long, so that processes that reconnect after a restart of this member are
/// asked too, and at most kMaxLookupTime. Callers wait 1 s for an answer.
constexpr Duration kMinLookupTime = 200ms;
constexpr Duration kMaxLookupTime = 700ms;
/// Lookups in progress at the same time.
constexpr size_t kMaxLookups = 1024;

}  // namespace

bool IncarnationLookup::start(const std::string& name, Callback on_end, TimePoint now) {
  const auto known = lookups_.find(name);
  if (known != lookups_.end()) {
    known->second.callbacks.push_back(std::move(on_end));
    return true;
  }
  if (lookups_.size() >= kMaxLookups) {
    return false;
  }
  Lookup& lookup = lookups_[name];
  lookup.callbacks.push_back(std::move(on_end));
  lookup.started_at = now;
  return true;
}

std::optional<fleet::IncarnationRequest> IncarnationLookup::make_request(const std::string& process) {
  fleet::IncarnationRequest request;
  for (auto& [name, lookup] : lookups_) {
    if (lookup.asked.insert(process).second) {
      lookup.unanswered.insert(process);
      request.names.push_back(name);
    }
  }
  if (request.names.empty()) {
    return std::nullopt;
  }
  request.number = ++last_number_;
  sent_requests_[request.number] = {process, request.names};
  return request;
}

void IncarnationLookup::on_connection_ended(const std::string& process) {
  for (auto& [name, lookup] : lookups_) {
    if (lookup.unanswered.erase(process) > 0) {
      lookup.asked.erase(process);
    }
  }
  std::erase_if(sent_requests_, [&](const auto& entry) { return entry.second.process == process; });
}

void IncarnationLookup::on_response(const fleet::IncarnationResponse& response) {
  const auto sent = sent_requests_.find(response.number);
  if (sent == sent_requests_.end()) {
    return;
  }
  for (const std::string& name : sent->second.names) {
    const auto lookup = lookups_.find(name);
    if (lookup != lookups_.end()) {
      lookup->second.unanswered.erase(sent->second.process);
    }
  }
  sent_requests_.erase(sent);
  for (const fleet::KnownIncarnation& known : response.incarnations) {
    const auto lookup = lookups_.find(known.name);
    if (lookup != lookups_.end()) {
      lookup->second.newest_id = fleet::newer_incarnation(lookup->second.newest_id, known.id);
    }
  }
}

bool IncarnationLookup::is_due(const Lookup& lookup, TimePoint now) {
  const Duration taken = now - lookup.started_at;
  const bool found = !lookup.newest_id.empty() && lookup.unanswered.empty();
  return taken >= (found ? kMinLookupTime : kMaxLookupTime);
}

void IncarnationLookup::end_due(TimePoint now) {
  std::vector<Lookup> ended;
  std::erase_if(lookups_, [&](auto& entry) {
    const bool due = is_due(entry.second, now);
    if (due) {
      ended.push_back(std::move(entry.second));
    }
    return due;
  });
  if (lookups_.empty()) {
    sent_requests_.clear();
  }
  for (const Lookup& lookup : ended) {
    const IncarnationLookupResult result{lookup.newest_id, lookup.asked.size(),
                                         lookup.asked.size() - lookup.unanswered.size(),
                                         now - lookup.started_at};
    for (const Callback& on_end : lookup.callbacks) {
      on_end(result);
    }
  }
}

}  // namespace stoat::control
