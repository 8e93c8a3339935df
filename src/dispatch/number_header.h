/// Reads a number that a back end names in a header of its answer.
#pragma once

#include <cstdint>
#include <string>

#include "src/http1/message.h"

namespace stoat::dispatch {

/// What a header's number may be.
struct NumberRule {
  double least = 0;            ///< lower ones count as this one
  double most = 0;             ///< higher ones count as this one, with a finding
  bool takes_highest = false;  ///< of several; else the lowest
  const char* meaning = "";    ///< of a number, for findings: "a number of requests a second"
  const char* too_high = "";   ///< why one above `most` can't be meant: "more than any back end takes"
};

/// The number that an answer names.
struct NumberReading {
  enum class Kind : uint8_t {
    kNone,       ///< it names none
    kNamed,      ///< see value
    kUnreadable  ///< it is not known what the back end means
  };
  Kind kind = Kind::kNone;
  double value = 0;
  std::string finding;  ///< what is wrong with it; empty: nothing
};

/// Reads all lines of the header `name`: decimal numbers, not negative.
NumberReading read_number(const http1::Headers& headers, const std::string& name, const NumberRule& rule);

}  // namespace stoat::dispatch
