#include "src/wire/traffic.h"

#include <algorithm>
#include <numeric>

namespace stoat::wire {

namespace {

constexpr std::array<const char*, kPurposeCount> kPurposeNames = {
    "log",   "confirmations", "calls",      "statuses", "updates", "backends", "heartbeats", "routers",
    "loads", "caches",        "placements", "spending", "levels",  "wholes",   "other"};

const char* distance_label(size_t distance) {
  return topology::to_text(static_cast<topology::Distance>(distance));
}

/// Replaces an output buffer and only counts the bytes written.
struct CountingBuffer {
  size_t bytes = 0;
  void write(const char*, size_t length) { bytes += length; }
};

/// Encoded size of a list in bytes; 0 if it is empty, because the header of an empty list, about one byte, is
/// counted as part of the message.
template <typename Value>
uint64_t encoded_size(const std::vector<Value>& list) {
  if (list.empty()) {
    return 0;
  }
  CountingBuffer buffer;
  msgpack::pack(buffer, list);
  return buffer.bytes;
}

/// Counts the parts of a message under their purposes. The caller assigns the remaining bytes.
void split_bytes(const fleet::PeerUpdate& update, PurposeBytes& bytes) {
  if (update.is_full_state) {
    return;
  }
  bytes[Purpose::kBackends] =
      encoded_size(update.heartbeats) + encoded_size(update.engines) + encoded_size(update.unreachable);
  bytes[Purpose::kHeartbeats] =
      encoded_size(update.compact_heartbeats) + encoded_size(update.record_requests);
  bytes[Purpose::kRouters] = encoded_size(update.routers);
  bytes[Purpose::kLoads] = encoded_size(update.loads) + encoded_size(update.limits);
  bytes[Purpose::kCaches] = encoded_size(update.caches) + encoded_size(update.shared_parts);
  bytes[Purpose::kPlacements] = encoded_size(update.placements);
  bytes[Purpose::kQuotaUsage] = encoded_size(update.spending) + encoded_size(update.windows);
}

void split_bytes(const fleet::FleetFeedUpdate& update, PurposeBytes& bytes) {
  bytes[Purpose::kBackends] = encoded_size(update.backends) + encoded_size(update.gone);
  bytes[Purpose::kLoads] = encoded_size(update.loads) + encoded_size(update.limits);
  bytes[Purpose::kCaches] = encoded_size(update.caches);
  bytes[Purpose::kPlacements] = encoded_size(update.placements);
  bytes[Purpose::kQuotaLevels] = encoded_size(update.quotas);
}

void split_bytes(const fleet::RouterLoads& loads, PurposeBytes& bytes) {
  bytes[Purpose::kLoads] = encoded_size(loads.loads) + encoded_size(loads.limits);
  bytes[Purpose::kBackends] = encoded_size(loads.unreachable);
  bytes[Purpose::kQuotaUsage] = encoded_size(loads.spending);
}

template <typename Alternative>
void split_bytes(const Alternative&, PurposeBytes&) {}

Purpose purpose_of(const Message& message) {
  return std::visit(
      [](const auto& alternative) {
        using Type = std::decay_t<decltype(alternative)>;
        if constexpr (std::is_same_v<Type, PeerMessage> || std::is_same_v<Type, JoinRequest> ||
                      std::is_same_v<Type, fleet::MemberAddresses>) {
          return Purpose::kReplication;
        } else if constexpr (std::is_same_v<Type, fleet::ConfirmationRequest> ||
                             std::is_same_v<Type, fleet::ConfirmationResponse>) {
          return Purpose::kConfirmations;
        } else if constexpr (std::is_same_v<Type, ControlCall> || std::is_same_v<Type, ControlResponse> ||
                             std::is_same_v<Type, fleet::ConfirmedRead> ||
                             std::is_same_v<Type, fleet::ConfirmedReadResponse>) {
          return Purpose::kCalls;
        } else if constexpr (std::is_same_v<Type, fleet::RouterStatus> ||
                             std::is_same_v<Type, fleet::ConfigurationRequest>) {
          return Purpose::kStatuses;
        } else if constexpr (std::is_same_v<Type, fleet::FleetUpdate> ||
                             std::is_same_v<Type, fleet::ConfigurationPart>) {
          return Purpose::kUpdates;
        } else if constexpr (std::is_same_v<Type, fleet::PlacementUpdate>) {
          return Purpose::kPlacements;
        } else {
          return Purpose::kOther;
        }
      },
      message.value);
}

}  // namespace

const char* to_text(Purpose purpose) { return kPurposeNames[static_cast<size_t>(purpose)]; }

PurposeBytes& PurposeBytes::operator+=(const PurposeBytes& other) {
  std::transform(bytes_.begin(), bytes_.end(), other.bytes_.begin(), bytes_.begin(), std::plus<>());
  return *this;
}

uint64_t PurposeBytes::total() const { return std::accumulate(bytes_.begin(), bytes_.end(), uint64_t{0}); }

std::string PurposeBytes::to_text() const {
  std::string text;
  for (size_t position = 0; position < kPurposeCount; ++position) {
    if (bytes_[position] > 0) {
      text += text.empty() ? "" : " ";
      text += std::string(kPurposeNames[position]) + "=" + std::to_string(bytes_[position]);
    }
  }
  return text;
}

PurposeBytes bytes_by_purpose(const Message& message, size_t frame_bytes) {
  PurposeBytes bytes;
  std::visit([&](const auto& alternative) { split_bytes(alternative, bytes); }, message.value);
  const auto* update = std::get_if<fleet::PeerUpdate>(&message.value);
  const Purpose remainder_purpose =
      update != nullptr && update->is_full_state ? Purpose::kFullStates : purpose_of(message);
  bytes[remainder_purpose] += frame_bytes - std::min<uint64_t>(frame_bytes, bytes.total());
  return bytes;
}

void TrafficMeter::publish(Metrics& metrics, const std::string& counter) {
  for (size_t distance = 0; distance < kDistanceCount; ++distance) {
    for (size_t position = 0; position < kPurposeCount; ++position) {
      const auto purpose = static_cast<Purpose>(position);
      const uint64_t added = totals_[distance][purpose] - published_[distance][purpose];
      if (added > 0) {
        metrics.count(counter, {{"kind", kPurposeNames[position]}, {"distance", distance_label(distance)}},
                      static_cast<double>(added));
      }
    }
  }
  published_ = totals_;
}

std::vector<TrafficMeter::Line> TrafficMeter::take_lines() {
  std::vector<Line> lines;
  for (size_t distance = 0; distance < kDistanceCount; ++distance) {
    PurposeBytes unlogged;
    for (size_t position = 0; position < kPurposeCount; ++position) {
      const auto purpose = static_cast<Purpose>(position);
      unlogged[purpose] = totals_[distance][purpose] - logged_[distance][purpose];
    }
    if (unlogged.total() > 0) {
      lines.push_back({distance_label(distance), unlogged.to_text()});
    }
  }
  logged_ = totals_;
  return lines;
}

}  // namespace stoat::wire
