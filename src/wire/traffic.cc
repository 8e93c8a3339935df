#include "src/wire/traffic.h"

#include <algorithm>
#include <numeric>

namespace stoat::wire {

namespace {

constexpr std::array<const char*, kPurposes> kPurposeNames = {
    "log",   "confirmations", "calls",      "statuses", "updates", "backends", "heartbeats", "routers",
    "loads", "caches",        "placements", "spending", "levels",  "wholes",   "other"};

const char* name_of(size_t distance) { return topology::to_text(static_cast<topology::Distance>(distance)); }

/// Takes the place of a buffer, and only counts.
struct CountingBuffer {
  size_t bytes = 0;
  void write(const char*, size_t length) { bytes += length; }
};

/// Bytes of a list as part of a message; its head, a byte or so, is left to the message.
template <typename Value>
uint64_t size_of(const std::vector<Value>& list) {
  if (list.empty()) {
    return 0;
  }
  CountingBuffer buffer;
  msgpack::pack(buffer, list);
  return buffer.bytes;
}

void divide(const fleet::PeerUpdate& news, PurposeBytes& bytes) {
  if (news.anew) {
    return;
  }
  bytes[Purpose::kBackends] = size_of(news.heartbeats) + size_of(news.engines) + size_of(news.unreachable);
  bytes[Purpose::kHeartbeats] = size_of(news.marks) + size_of(news.questions);
  bytes[Purpose::kRouters] = size_of(news.routers);
  bytes[Purpose::kLoads] = size_of(news.loads) + size_of(news.limits);
  bytes[Purpose::kCaches] = size_of(news.caches) + size_of(news.shared_parts);
  bytes[Purpose::kPlacements] = size_of(news.placements);
  bytes[Purpose::kSpending] = size_of(news.spending) + size_of(news.windows);
}

void divide(const fleet::FleetFeedUpdate& news, PurposeBytes& bytes) {
  bytes[Purpose::kBackends] = size_of(news.backends) + size_of(news.gone);
  bytes[Purpose::kLoads] = size_of(news.loads) + size_of(news.limits);
  bytes[Purpose::kCaches] = size_of(news.caches);
  bytes[Purpose::kPlacements] = size_of(news.placements);
  bytes[Purpose::kLevels] = size_of(news.quotas);
}

void divide(const fleet::RouterLoads& loads, PurposeBytes& bytes) {
  bytes[Purpose::kLoads] = size_of(loads.loads) + size_of(loads.limits);
  bytes[Purpose::kBackends] = size_of(loads.unreachable);
  bytes[Purpose::kSpending] = size_of(loads.spending);
}

template <typename Alternative>
void divide(const Alternative&, PurposeBytes&) {}

Purpose purpose_of(const Message& message) {
  return std::visit(
      [](const auto& alternative) {
        using Type = std::decay_t<decltype(alternative)>;
        if constexpr (std::is_same_v<Type, PeerMessage> || std::is_same_v<Type, JoinRequest> ||
                      std::is_same_v<Type, fleet::MemberAddresses>) {
          return Purpose::kLog;
        } else if constexpr (std::is_same_v<Type, fleet::ConfirmationRequest> ||
                             std::is_same_v<Type, fleet::ConfirmationResponse>) {
          return Purpose::kConfirmations;
        } else if constexpr (std::is_same_v<Type, ControlCall> || std::is_same_v<Type, ControlResponse> ||
                             std::is_same_v<Type, fleet::ConfirmedRead> ||
                             std::is_same_v<Type, fleet::ConfirmedReadResponse>) {
          return Purpose::kCalls;
        } else if constexpr (std::is_same_v<Type, fleet::RouterStatus>) {
          return Purpose::kStatuses;
        } else if constexpr (std::is_same_v<Type, fleet::FleetUpdate>) {
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
  for (size_t position = 0; position < kPurposes; ++position) {
    if (bytes_[position] > 0) {
      text += text.empty() ? "" : " ";
      text += std::string(kPurposeNames[position]) + "=" + std::to_string(bytes_[position]);
    }
  }
  return text;
}

PurposeBytes bytes_by_purpose(const Message& message, size_t frame_bytes) {
  PurposeBytes bytes;
  std::visit([&](const auto& alternative) { divide(alternative, bytes); }, message.value);
  const auto* news = std::get_if<fleet::PeerUpdate>(&message.value);
  const Purpose rest = news != nullptr && news->anew ? Purpose::kWholes : purpose_of(message);
  bytes[rest] += frame_bytes - std::min<uint64_t>(frame_bytes, bytes.total());
  return bytes;
}

void TrafficMeter::publish(Metrics& metrics, const std::string& counter) {
  for (size_t distance = 0; distance < kDistances; ++distance) {
    for (size_t position = 0; position < kPurposes; ++position) {
      const auto purpose = static_cast<Purpose>(position);
      const uint64_t added = sums_[distance][purpose] - published_[distance][purpose];
      if (added > 0) {
        metrics.count(counter, {{"kind", kPurposeNames[position]}, {"distance", name_of(distance)}},
                      static_cast<double>(added));
      }
    }
  }
  published_ = sums_;
}

std::vector<TrafficMeter::Line> TrafficMeter::take_lines() {
  std::vector<Line> lines;
  for (size_t distance = 0; distance < kDistances; ++distance) {
    PurposeBytes since;
    for (size_t position = 0; position < kPurposes; ++position) {
      const auto purpose = static_cast<Purpose>(position);
      since[purpose] = sums_[distance][purpose] - logged_[distance][purpose];
    }
    if (since.total() > 0) {
      lines.push_back({name_of(distance), since.to_text()});
    }
  }
  logged_ = sums_;
  return lines;
}

}  // namespace stoat::wire
