/// A seeded mix of requests: long prompts that share parts, over streaming, repeatable and once-only routes.
#pragma once

#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::tools {

/// What requests of one route look like.
struct RequestClass {
  std::string route;  ///< its path is "/ROUTE/"
  double share = 1;   ///< of all requests
  bool streaming = false;
  uint32_t shared_tokens = 0;   ///< of the outermost part of the prompt
  uint32_t session_tokens = 0;  ///< of the middle part
  uint32_t own_tokens = 0;
  uint32_t output_tokens = 1;
  int64_t deadline_ms = 5000;
  int64_t target_ms = 1000;  ///< until the first event, or the answer: later is late
  uint32_t most_runs = 1;    ///< back ends that may run one request
};

/// The mix that goes with the configuration of scripts/demo.json.
std::vector<RequestClass> demo_classes();

/// One request.
struct PlannedRequest {
  TimePoint at{0};  ///< since the start
  size_t request_class = 0;
  std::string id;
  std::string prompt_parts;  ///< NAME:TOKENS, joined by commas; empty: none
  uint32_t prompt_tokens = 0;
};

/// The requests of a run, in the order of time. The same arguments give the same plan.
std::vector<PlannedRequest> plan_requests(const std::vector<RequestClass>& classes,
                                          double requests_per_second, Duration duration, uint64_t seed);

}  // namespace stoat::tools
