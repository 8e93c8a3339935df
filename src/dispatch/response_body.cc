#include "src/dispatch/response_body.h"

namespace stoat::dispatch {

namespace {

/// Maximum size of a body that is passed on.
constexpr size_t kMaxBodyBytes = 4U << 20U;
/// A body up to this size needs no room in the budget, so that long ones don't keep short ones out.
constexpr size_t kShortBodyBytes = 64U << 10U;
/// Maximum size of a body that is not used, such as that of a refusal.
constexpr size_t kMaxUnusedBodyBytes = 256U << 10U;

}  // namespace

void ResponseBody::reset(BodyUse use) {
  bytes_ = std::string();
  unused_bytes_ = 0;
  use_ = use;
  reservation_.set(0);
}

bool ResponseBody::append(std::string_view piece) {
  if (use_ == BodyUse::kUnused) {
    unused_bytes_ += piece.size();
    return unused_bytes_ <= kMaxUnusedBodyBytes;
  }
  const size_t size = bytes_.size() + piece.size();
  if (size > kMaxBodyBytes) {
    return false;
  }
  if (size > kShortBodyBytes) {
    if (!budget_.has_room(size - reservation_.bytes())) {
      return false;
    }
    reservation_.set(size);
  }
  bytes_.append(piece);
  return true;
}

}  // namespace stoat::dispatch
