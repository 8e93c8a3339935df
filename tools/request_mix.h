/// A seeded mix of requests for streaming, repeatable and run-once routes. Streaming requests have long
/// prompts with shared prefixes.
#pragma once

#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/time.h"

namespace stoat::tools {

/// Properties of the requests of one route.
struct RequestClass {
  std::string route;  ///< name of the route; requests have paths below "/ROUTE/"
  double share = 1;   ///< relative frequency among all requests
  bool streaming = false;
  uint32_t shared_tokens = 0;   ///< in the first prompt part, shared by many requests
  uint32_t session_tokens = 0;  ///< in the second part, shared within a session
  uint32_t unique_tokens = 0;   ///< in the last part, which no other request shares
  uint32_t output_tokens = 1;
  int64_t deadline_ms = 5000;
  int64_t target_ms = 1000;  ///< time to the first event or the response; slower requests count as late
  uint32_t max_runs = 1;     ///< number of times that a request may run
};

/// The request classes for the routes in scripts/demo.json.
std::vector<RequestClass> demo_classes();

/// One planned request.
struct PlannedRequest {
  TimePoint at{0};           ///< since the start of the load
  size_t request_class = 0;  ///< index into the classes of the plan
  std::string id;
  std::string prompt_parts;  ///< NAME:TOKENS items, separated by commas; empty: no prompt
  uint32_t prompt_tokens = 0;
};

/// Generates the requests of a run in order of time, with exponentially distributed gaps. The same arguments
/// always give the same plan.
std::vector<PlannedRequest> plan_requests(const std::vector<RequestClass>& classes,
                                          double requests_per_second, Duration duration, uint64_t seed);

}  // namespace stoat::tools
