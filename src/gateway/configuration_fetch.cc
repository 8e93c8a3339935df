#include "src/gateway/configuration_fetch.h"

#include <algorithm>
#include <iterator>

#include "src/fleet/configuration_change.h"
#include "src/wire/codec.h"

namespace stoat::gateway {

namespace {

/// Bytes of a document that are under way at most.
constexpr uint64_t kWindowBytes = 64U << 10U;
/// Another member is asked after this long without a part.
constexpr Duration kProgressTimeout = 600ms;
/// The feed member has this long to announce a version that another member has announced.
constexpr Duration kFeedMemberDelay = 300ms;

}  // namespace

void ConfigurationFetch::set_held(std::shared_ptr<const fleet::FleetConfiguration> configuration) {
  held_ = std::move(configuration);
  progress_ = {};
  requested_end_ = 0;
  source_.clear();
  whole_needed_ = false;
}

void ConfigurationFetch::on_announcement(const std::string& member, uint64_t version, TimePoint now) {
  announced_by_[member] = version;
  if (version > announced_version_) {
    announced_version_ = version;
    announced_at_ = now;
  }
}

void ConfigurationFetch::on_member_lost(const std::string& member) {
  announced_by_.erase(member);
  if (source_ == member) {
    source_.clear();
  }
}

bool ConfigurationFetch::can_serve(const std::string& member) const {
  const auto announced = announced_by_.find(member);
  return announced != announced_by_.end() && announced->second > held_version();
}

std::string ConfigurationFetch::choose_source(const std::string& feed_member,
                                              const std::vector<std::string>& members, TimePoint now) const {
  const bool may_wait = held_ != nullptr && source_.empty() && !feed_member.empty();
  if (may_wait && !can_serve(feed_member) && now - announced_at_ < kFeedMemberDelay) {
    return "";
  }
  std::vector<std::string> order = {feed_member};
  std::copy_if(members.begin(), members.end(), std::back_inserter(order),
               [&](const std::string& member) { return member != feed_member; });
  // A source that has stopped sending comes last.
  const auto stopped = std::find(order.begin(), order.end(), source_);
  if (stopped != order.end()) {
    std::rotate(order.begin(), std::next(stopped), order.end());
  }
  const auto found =
      std::find_if(order.begin(), order.end(), [this](const auto& member) { return can_serve(member); });
  return found == order.end() ? "" : *found;
}

AddressedRequest ConfigurationFetch::request_from(const std::string& member, uint64_t bytes) {
  fleet::ConfigurationRequest request;
  request.held_version = held_version();
  request.whole = whole_needed_;
  request.document = progress_.document;
  request.offset = requested_end_;
  request.bytes = bytes;
  requested_end_ += bytes;
  last_requested_bytes_ = bytes;
  return {member, request};
}

std::optional<AddressedRequest> ConfigurationFetch::next_request(const std::string& feed_member,
                                                                 const std::vector<std::string>& members,
                                                                 TimePoint now) {
  if (announced_version_ <= held_version()) {
    return std::nullopt;
  }
  if (can_serve(source_) && now - last_progress_at_ < kProgressTimeout) {
    const uint64_t received = progress_.bytes.size();
    const bool more = progress_.document != 0 && requested_end_ < progress_.total_bytes;
    if (!more || requested_end_ > received + kWindowBytes / 2) {
      return std::nullopt;
    }
    return request_from(source_, kWindowBytes / 2);
  }
  const std::string member = choose_source(feed_member, members, now);
  if (member.empty()) {
    return std::nullopt;
  }
  source_ = member;
  last_progress_at_ = now;
  requested_end_ = progress_.bytes.size();
  return request_from(member, kWindowBytes);
}

bool ConfigurationFetch::add(const std::string& member, const fleet::ConfigurationPart& part, TimePoint now) {
  if (part.document != progress_.document) {
    // A document of which nothing was received yet may begin, and one that the source has put in its place.
    const bool begins = part.offset == 0 && (progress_.document == 0 || member == source_);
    if (!begins) {
      return false;
    }
    progress_ = {part.document, part.total_bytes, {}};
    requested_end_ = last_requested_bytes_;
  }
  if (part.offset != progress_.bytes.size()) {
    return false;  // received before, from another member
  }
  progress_.bytes += part.bytes;
  last_progress_at_ = now;
  return progress_.bytes.size() >= progress_.total_bytes;
}

tl::expected<fleet::FleetConfiguration, std::string> ConfigurationFetch::decode_document(
    const fleet::ConfigurationPart& last, const std::string& bytes) const {
  if (last.base_version == 0) {
    auto whole = wire::decode<fleet::FleetConfiguration>(bytes);
    if (!whole) {
      return tl::make_unexpected(whole.error().message);
    }
    return std::move(*whole);
  }
  const auto change = wire::decode<fleet::ConfigurationChange>(bytes);
  if (!change) {
    return tl::make_unexpected(change.error().message);
  }
  auto next = fleet::apply_change(held_ == nullptr ? fleet::FleetConfiguration{} : *held_, *change);
  if (next && fleet::digest_of(fleet::hash_items(*next)) != last.digest) {
    return tl::make_unexpected("the digest of version " + std::to_string(last.version) + " differs");
  }
  return next;
}

tl::expected<std::optional<ReceivedConfiguration>, std::string> ConfigurationFetch::on_part(
    const std::string& member, const fleet::ConfigurationPart& part, TimePoint now) {
  if (part.version > announced_version_) {
    on_announcement(member, part.version, now);  // a small change is sent before it is announced
  }
  const bool fits =
      part.version > held_version() && (part.base_version == 0 || part.base_version == held_version());
  if (!fits || !add(member, part, now)) {
    return std::nullopt;
  }
  const std::string bytes = std::move(progress_.bytes);
  auto decoded = decode_document(part, bytes);
  if (!decoded) {
    set_held(held_);
    whole_needed_ = true;
    return tl::make_unexpected(decoded.error());
  }
  ReceivedConfiguration received;
  received.configuration = std::make_shared<const fleet::FleetConfiguration>(std::move(*decoded));
  received.bytes = bytes.size();
  set_held(received.configuration);
  return received;
}

}  // namespace stoat::gateway
