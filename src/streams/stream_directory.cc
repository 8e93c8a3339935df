#include "src/streams/stream_directory.h"

#include <algorithm>
#include <utility>

namespace stoat::streams {

namespace {

/// Number of members that keep each record.
constexpr size_t kReplicas = 3;
/// A search ends this long after it began, with the answers that have arrived.
constexpr Duration kSearchTimeout = 200ms;

}  // namespace

const char* to_text(OriginSource source) {
  switch (source) {
    case OriginSource::kThisRouter:
      return "this router";
    case OriginSource::kMember:
      return "record";
    case OriginSource::kOnlyVersion:
      return "only version";
    case OriginSource::kUnknown:
      break;
  }
  return "unknown";
}

bool StreamDirectory::TrackedStream::is_stored() const {
  return !stored.empty() &&
         std::includes(stored.begin(), stored.end(), maybe_earlier.begin(), maybe_earlier.end());
}

void StreamDirectory::on_member_ready(const std::string& member, bool keeps_records) {
  on_member_lost(member);
  (keeps_records ? keepers_ : non_keepers_).insert(member);
  std::vector<uint64_t> searches;
  for (const auto& [number, search] : searches_) {
    searches.push_back(number);
  }
  for (const uint64_t number : searches) {
    if (keeps_records) {
      ask(number, member);
    } else {
      end_search_if_complete(number);
    }
  }
  if (keeps_records) {
    for (auto& [key, stream] : tracked_) {
      replicate(stream);
    }
  }
}

void StreamDirectory::on_member_lost(const std::string& member) {
  non_keepers_.erase(member);
  listed_.erase(member);
  if (keepers_.erase(member) == 0) {
    return;
  }
  batches_.erase(member);
  unconfirmed_.erase(member);
  for (auto& [key, stream] : tracked_) {
    const bool had_record = stream.sent.erase(member) + stream.stored.erase(member) > 0;
    if (had_record) {
      replicate(stream);
    }
  }
  std::vector<uint64_t> searches;
  for (auto& [number, search] : searches_) {
    if (search.awaited.erase(member) > 0) {
      searches.push_back(number);
    }
  }
  for (const uint64_t number : searches) {
    end_search_if_complete(number);
  }
}

void StreamDirectory::set_mixed_services(const std::string& member, const fleet::MixedServices& mixed) {
  if (std::exchange(listed_[member], mixed) == mixed) {
    return;
  }
  for (const fleet::ServiceSoftware& entry : mixed.services) {
    replicate_service(entry.service);
  }
}

void StreamDirectory::put_backend(const fleet::BackendRecord& record) {
  const uint64_t before = software_.revision();
  software_.put(record);
  if (software_.revision() != before) {
    replicate_service(record.service);
  }
}

void StreamDirectory::remove_backend(const std::string& id) { software_.erase(id, links_.now()); }

void StreamDirectory::expire() {
  const TimePoint now = links_.now();
  local_.expire(now);
  software_.expire(now);
}

std::set<std::string> StreamDirectory::versions(const std::string& service) const {
  std::set<std::string> versions = software_.versions(service);
  for (const auto& [member, mixed] : listed_) {
    for (const fleet::ServiceSoftware& entry : mixed.services) {
      if (entry.service == service) {
        versions.insert(entry.versions.begin(), entry.versions.end());
      }
    }
  }
  return versions;
}

void StreamDirectory::track(const fleet::StreamRecord& record, RecordPolicy policy, StoredHandler on_stored) {
  const TimePoint now = links_.now();
  local_.put(record, now);
  TrackedStream& stream = tracked_[record.stream];
  ++stream.users;
  if (stream.users == 1) {
    stream.record = record;
  } else if (record.generation > stream.record.generation) {
    stream.maybe_earlier = stream.reached;
    stream.sent.clear();
    stream.stored.clear();
    stream.record = record;
  }
  stream.policy = policy;
  stream.expires = now + Duration(1000 * record.lifetime_ms);
  if (on_stored) {
    stream.on_stored = std::move(on_stored);
  }
  replicate(stream);
}

void StreamDirectory::untrack(uint64_t stream) {
  const auto found = tracked_.find(stream);
  if (found != tracked_.end() && --found->second.users == 0) {
    tracked_.erase(found);
  }
}

bool StreamDirectory::is_stored(uint64_t stream) const {
  const auto found = tracked_.find(stream);
  return found == tracked_.end() || found->second.is_stored() || !needs_record(found->second);
}

bool StreamDirectory::may_be_outdated(uint64_t stream) const {
  const auto found = tracked_.find(stream);
  return found != tracked_.end() && !found->second.maybe_earlier.empty() && !found->second.is_stored();
}

bool StreamDirectory::needs_record(const TrackedStream& stream) const {
  return stream.policy == RecordPolicy::kAlways || !stream.maybe_earlier.empty() ||
         needs_records(stream.record.origin.service);
}

void StreamDirectory::replicate(TrackedStream& stream) {
  if (!needs_record(stream)) {
    return;
  }
  std::vector<std::string> members =
      rendezvous_order(stream.record.stream, std::vector<std::string>(keepers_.begin(), keepers_.end()));
  members.resize(std::min(members.size(), kReplicas));
  members.insert(members.end(), stream.maybe_earlier.begin(), stream.maybe_earlier.end());
  for (const std::string& member : members) {
    if (keepers_.count(member) == 0 || stream.stored.count(member) > 0 || stream.sent.count(member) > 0) {
      continue;
    }
    stream.reached.insert(member);
    Batch& batch = batches_[member];
    if (!batch.flush_scheduled) {
      batch.flush_scheduled = true;
      batch.message.number = ++last_number_;
      links_.call_after(Duration(0), [this, member] { flush(member); });
    }
    fleet::StreamRecord record = stream.record;
    record.lifetime_ms = to_milliseconds(stream.expires - links_.now());
    batch.message.records.push_back(std::move(record));
    stream.sent[member] = batch.message.number;
    unconfirmed_[member][batch.message.number].push_back(stream.record.stream);
  }
}

void StreamDirectory::replicate_service(const std::string& service) {
  if (!needs_records(service)) {
    return;
  }
  for (auto& [key, stream] : tracked_) {
    if (stream.record.origin.service == service) {
      replicate(stream);
    }
  }
}

void StreamDirectory::flush(const std::string& member) {
  const auto found = batches_.find(member);
  if (found == batches_.end()) {
    return;  // the member was lost
  }
  const Batch batch = std::move(found->second);
  batches_.erase(found);
  counts_.records_sent += batch.message.records.size();
  links_.send_records(member, batch.message);
}

void StreamDirectory::on_records_stored(const std::string& member,
                                        const fleet::StreamRecordBatchResponse& response) {
  auto& batches = unconfirmed_[member];
  const auto batch = batches.find(response.number);
  if (batch == batches.end()) {
    return;
  }
  std::vector<StoredHandler> stored;
  for (const uint64_t key : batch->second) {
    const auto found = tracked_.find(key);
    if (found == tracked_.end()) {
      continue;
    }
    TrackedStream& stream = found->second;
    const auto sent = stream.sent.find(member);
    if (sent == stream.sent.end() || sent->second != batch->first) {
      continue;  // an earlier generation of the record
    }
    stream.sent.erase(sent);
    stream.stored.insert(member);
    if (stream.is_stored() && stream.on_stored) {
      stored.push_back(std::exchange(stream.on_stored, {}));
    }
  }
  batches.erase(batch);
  for (const StoredHandler& on_stored : stored) {
    on_stored();
  }
}

void StreamDirectory::find(uint64_t stream, const std::string& service, FoundHandler on_found) {
  if (const auto known = local_.find(stream, links_.now())) {
    on_found({OriginSource::kThisRouter, known});
    return;
  }
  const uint64_t number = ++last_number_;
  Search& search = searches_[number];
  search.stream = stream;
  search.service = service;
  search.on_found = std::move(on_found);
  for (const std::string& member : keepers_) {
    ask(number, member);
  }
  end_search_if_complete(number);
  links_.call_after(kSearchTimeout, [this, number] { end_search(number); });
}

void StreamDirectory::ask(uint64_t number, const std::string& member) {
  Search& search = searches_.at(number);
  search.awaited.insert(member);
  ++counts_.requests_sent;
  links_.send_request(member, {number, search.stream, search.service});
}

void StreamDirectory::on_response(const std::string& member, const fleet::StreamRecordResponse& response) {
  const auto found = searches_.find(response.number);
  if (found == searches_.end()) {
    return;
  }
  if (!response.record.empty()) {
    finish_search(response.number, {OriginSource::kMember, response.record.front()});
    return;
  }
  Search& search = found->second;
  if (search.awaited.erase(member) == 0) {
    return;
  }
  search.responded.insert(member);
  for (const fleet::ServiceSoftware& software : response.software) {
    search.informed.insert(member);
    search.versions.insert(software.versions.begin(), software.versions.end());
  }
  end_search_if_complete(response.number);
}

void StreamDirectory::end_search_if_complete(uint64_t number) {
  const auto found = searches_.find(number);
  // A router that has just started, or is cut off, waits for members to connect.
  if (found != searches_.end() && found->second.awaited.empty() &&
      is_majority(found->second.responded.size() + non_keepers_.size())) {
    end_search(number);
  }
}

void StreamDirectory::end_search(uint64_t number) {
  const auto found = searches_.find(number);
  if (found != searches_.end()) {
    finish_search(number, conclude(found->second));
  }
}

void StreamDirectory::finish_search(uint64_t number, const OriginFinding& finding) {
  const FoundHandler on_found = std::move(searches_.at(number).on_found);
  searches_.erase(number);
  on_found(finding);
}

OriginFinding StreamDirectory::conclude(const Search& search) const {
  // Members pass heartbeats on to one another, so a majority knows all versions. Members of builds that keep
  // no records report none.
  const bool majority = is_majority(search.informed.size() + non_keepers_.size());
  std::set<std::string> possible = versions(search.service);
  possible.insert(search.versions.begin(), search.versions.end());
  if (!majority || possible.size() != 1) {
    return {.conclusive = majority};
  }
  fleet::StreamRecord record;
  record.stream = search.stream;
  record.origin = {search.service, *possible.begin()};
  return {OriginSource::kOnlyVersion, record};
}

}  // namespace stoat::streams
