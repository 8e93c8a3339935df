/// Parses a number that a backend states in a response header.
#pragma once

#include <cstdint>
#include <string>

#include "src/http1/message.h"

namespace stoat::dispatch {

/// Permitted range and meaning of a header's number.
struct NumberRule {
  double min_value = 0;          ///< lower values are raised to it
  double max_value = 0;          ///< higher values are reduced to it, with a finding
  bool prefer_highest = false;   ///< of several values the highest applies, else the lowest
  const char* description = "";  ///< of a valid value, for findings: "a number of requests a second"
  const char* above_max = "";    ///< why a value above max_value is wrong: "more than any back end takes"
};

/// Result of reading a number header.
struct NumberReading {
  enum class Kind : uint8_t {
    kNone,       ///< the header is absent
    kPresent,    ///< see value
    kUnreadable  ///< the header is present, but none of its values is a number
  };
  Kind kind = Kind::kNone;
  double value = 0;
  std::string finding;  ///< describes what is wrong with the header; empty: nothing
};

/// Reads all lines of the header `name`. Valid values are decimal numbers of 0 or more, without an exponent.
NumberReading read_number(const http1::Headers& headers, const std::string& name, const NumberRule& rule);

}  // namespace stoat::dispatch
