#include "src/control/pause_book.h"

#include <cmath>

namespace stoat::control {

namespace {

/// Streams of this age count for 1 / e. Engines get new weights, crash and come back within some seconds.
constexpr Duration kMemory = 5s;
/// Streams in time that are taken to have been before the first ones: a few streams prove nothing.
constexpr double kAssumedStreams = 50;
/// Shares are told in steps of this many thousandths.
constexpr uint32_t kStep = 2;

}  // namespace

void PauseBook::decay(Counts& counts, TimePoint now) {
  const double age = static_cast<double>((now - counts.at).count()) / static_cast<double>(kMemory.count());
  const double kept = std::exp(-age);
  counts.streams *= kept;
  counts.late *= kept;
  counts.at = now;
}

void PauseBook::add(const fleet::StreamPauses& pauses, TimePoint now) {
  Counts& counts = counts_[pauses.service];
  decay(counts, now);
  counts.streams += pauses.streams;
  counts.late += pauses.late;
}

void PauseBook::update(TimePoint now) {
  constexpr double kThousand = 1000;
  for (auto& [service, counts] : counts_) {
    decay(counts, now);
    const auto permille =
        static_cast<uint32_t>(std::lround(kThousand * counts.late / (counts.streams + kAssumedStreams)));
    shares_.set(service, permille - permille % kStep);
  }
}

}  // namespace stoat::control
