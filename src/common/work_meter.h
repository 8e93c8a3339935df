/// Processor time that an event loop's thread spends, by kind of work. Shows what delays a loop that falls
/// behind.
#pragma once

#include <time.h>

#include <array>
#include <chrono>
#include <string>

#include "src/common/time.h"

namespace stoat {

/// Returns the processor time used by the calling thread.
inline Duration thread_processor_time() {
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(used.tv_sec) +
                                              std::chrono::nanoseconds(used.tv_nsec));
}

/// Sums up processor time by kind of work. `Kind` is an enumeration whose last value is kCount, and for which
/// to_text(Kind) exists. What no Scope covers is reported as "other".
template <typename Kind>
class WorkMeter {
 public:
  /// Attributes the time until its end to a kind of work. Scopes nest: the outer one does not count the time
  /// of an inner one.
  class Scope {
   public:
    Scope(WorkMeter& meter, Kind kind)
        : meter_(meter), kind_(kind), begin_(thread_processor_time()), outer_(meter.open_scope_) {
      meter.open_scope_ = this;
    }
    ~Scope() {
      const Duration used = thread_processor_time() - begin_;
      meter_.used_[static_cast<size_t>(kind_)] += used - inner_;
      meter_.open_scope_ = outer_;
      if (outer_ != nullptr) {
        outer_->inner_ += used;
      }
    }
    Scope(const Scope&) = delete;
    Scope& operator=(const Scope&) = delete;

   private:
    WorkMeter& meter_;
    Kind kind_;
    Duration begin_;
    Duration inner_{0};
    Scope* outer_;
  };

  /// The time since the last call, as text: "kind=milliseconds", for kinds of 1 ms or more.
  std::string take_text() {
    const Duration total = thread_processor_time();
    Duration other = total - taken_at_;
    taken_at_ = total;
    std::string text;
    for (size_t kind = 0; kind < used_.size(); ++kind) {
      other -= used_[kind];
      add(text, to_text(static_cast<Kind>(kind)), used_[kind]);
      used_[kind] = Duration(0);
    }
    add(text, "other", other);
    return text;
  }

 private:
  static void add(std::string& text, const char* name, Duration used) {
    if (used >= Duration(1ms)) {
      text += (text.empty() ? "" : " ") + std::string(name) + "=" + std::to_string(to_milliseconds(used));
    }
  }

  std::array<Duration, static_cast<size_t>(Kind::kCount)> used_{};
  Duration taken_at_{thread_processor_time()};
  Scope* open_scope_ = nullptr;
};

}  // namespace stoat
