/// The body of a backend's response while it is received. A backend may send bytes without end, so a body is
/// bounded by itself, and long ones together by a budget of the router.
#pragma once

#include <string>
#include <string_view>

#include "src/edge/buffer_budget.h"

namespace stoat::dispatch {

/// What becomes of a body.
enum class BodyUse : uint8_t {
  kPassedOn,  ///< buffered until it is complete
  kUnused     ///< only its end matters
};

/// Receives one body after the other. `budget` must outlive it.
class ResponseBody {
 public:
  explicit ResponseBody(edge::BufferBudget& budget) : reservation_(budget), budget_(budget) {}

  /// Prepares for the body of another response.
  void reset(BodyUse use = BodyUse::kPassedOn);
  /// Appends the next piece. Returns false if the body is too long; it can't be passed on then.
  bool append(std::string_view piece);
  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
  size_t unused_bytes_ = 0;  ///< received of an unused body
  BodyUse use_ = BodyUse::kPassedOn;
  edge::BufferReservation reservation_;
  edge::BufferBudget& budget_;
};

}  // namespace stoat::dispatch
