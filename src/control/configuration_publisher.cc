#include "src/control/configuration_publisher.h"

#include <algorithm>

#include "src/common/hash.h"
#include "src/wire/codec.h"

namespace stoat::control {

namespace {

/// The largest number of bytes that one request is answered with.
constexpr uint64_t kMaxRequestedBytes = 64U << 10U;

ConfigurationDocument make_document(uint64_t base_version, uint64_t version, uint64_t digest,
                                    std::string bytes) {
  const uint64_t hash = hash_bytes(bytes);
  return {base_version, version, digest, hash, std::move(bytes)};
}

}  // namespace

void ConfigurationPublisher::publish(const fleet::FleetConfiguration& configuration) {
  if (configuration.version <= version()) {
    return;
  }
  fleet::ConfigurationHashes hashes = fleet::hash_items(configuration);
  if (version() > 0) {
    const fleet::ConfigurationChange change = fleet::make_change(hashes_, configuration, hashes);
    changes_.push_back(
        make_document(version(), hashes.version, fleet::digest_of(hashes), wire::encode(change)));
    change_bytes_ += changes_.back().bytes.size();
  }
  hashes_ = std::move(hashes);
  drop_old_changes();
}

void ConfigurationPublisher::drop_old_changes() {
  while (change_bytes_ > hashes_.encoded_bytes && !changes_.empty()) {
    change_bytes_ -= changes_.front().bytes.size();
    changes_.pop_front();
  }
  const uint64_t oldest_base = changes_.empty() ? version() : changes_.front().base_version;
  if (whole_ && whole_->version < oldest_base) {
    whole_.reset();
  }
}

const ConfigurationDocument* ConfigurationPublisher::find_started(uint64_t hash) const {
  if (whole_ && whole_->hash == hash) {
    return &*whole_;
  }
  const auto change = std::find_if(changes_.begin(), changes_.end(),
                                   [hash](const ConfigurationDocument& entry) { return entry.hash == hash; });
  return change == changes_.end() ? nullptr : &*change;
}

const ConfigurationDocument* ConfigurationPublisher::find_next(uint64_t held_version, bool whole,
                                                               const fleet::FleetConfiguration& newest) {
  if (held_version >= version()) {
    return nullptr;
  }
  const auto change = std::find_if(
      changes_.begin(), changes_.end(),
      [held_version](const ConfigurationDocument& entry) { return entry.base_version == held_version; });
  if (!whole && change != changes_.end()) {
    return &*change;
  }
  if (!whole_ || whole_->version <= held_version) {
    whole_ = make_document(0, version(), fleet::digest_of(hashes_), wire::encode(newest));
  }
  return &*whole_;
}

std::vector<fleet::ConfigurationPart> ConfigurationPublisher::parts_for(
    const fleet::ConfigurationRequest& request, const fleet::FleetConfiguration& newest) {
  const ConfigurationDocument* document = find_started(request.document);
  if (document == nullptr) {
    document = find_next(request.held_version, request.whole, newest);
  }
  std::vector<fleet::ConfigurationPart> parts;
  if (document == nullptr) {
    return parts;
  }
  uint64_t offset = document->hash == request.document ? request.offset : 0;
  const uint64_t end = offset + std::min(request.bytes, kMaxRequestedBytes);
  while (offset < std::min<uint64_t>(end, document->bytes.size())) {
    parts.push_back(make_part(*document, offset));
    offset += parts.back().bytes.size();
  }
  return parts;
}

fleet::ConfigurationPart make_part(const ConfigurationDocument& document, uint64_t offset) {
  fleet::ConfigurationPart part;
  part.base_version = document.base_version;
  part.version = document.version;
  part.digest = document.digest;
  part.document = document.hash;
  part.total_bytes = document.bytes.size();
  part.offset = offset;
  part.bytes = document.bytes.substr(offset, kConfigurationPartBytes);
  return part;
}

}  // namespace stoat::control
