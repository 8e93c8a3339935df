#include "src/fleet/incarnation.h"

#include <charconv>

namespace stoat::fleet {

namespace {

constexpr char kSeparator = '@';

}  // namespace

std::string incarnation_id(std::string_view name, uint64_t started_ms) {
  // A name that contains the separator always gets a suffix, so that the last separator is never the name's
  // own.
  if (started_ms == 0 && name.find(kSeparator) == std::string_view::npos) {
    return std::string(name);
  }
  return std::string(name) + kSeparator + std::to_string(started_ms);
}

std::string_view backend_name(std::string_view id) { return id.substr(0, id.rfind(kSeparator)); }

std::string newer_incarnation(const std::string& first, const std::string& second) {
  return first.empty() || (!second.empty() && started_ms(second) > started_ms(first)) ? second : first;
}

uint64_t started_ms(std::string_view id) {
  const size_t separator = id.rfind(kSeparator);
  uint64_t started = 0;
  if (separator != std::string_view::npos) {
    std::from_chars(id.data() + separator + 1, id.data() + id.size(), started);
  }
  return started;
}

}  // namespace stoat::fleet
