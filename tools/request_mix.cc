#include "tools/request_mix.h"

#include "src/common/hash.h"

namespace stoat::tools {

namespace {

constexpr uint64_t kDocuments = 4;  ///< distinct first prompt parts per route
constexpr uint64_t kSessions = 12;  ///< distinct second prompt parts per document

size_t pick_class(const std::vector<RequestClass>& classes, Random& random) {
  double total = 0;
  for (const RequestClass& request_class : classes) {
    total += request_class.share;
  }
  double draw = random.uniform_real() * total;
  for (size_t position = 0; position + 1 < classes.size(); ++position) {
    if (draw < classes[position].share) {
      return position;
    }
    draw -= classes[position].share;
  }
  return classes.size() - 1;
}

std::string part_text(uint64_t name, uint32_t tokens) { return to_hex(name) + ":" + std::to_string(tokens); }

void add_prompt(const RequestClass& request_class, Random& random, PlannedRequest& request) {
  const uint64_t document = hash_pair(hash_bytes(request_class.route), random.below(kDocuments));
  const uint64_t session = hash_pair(document, random.below(kSessions));
  request.prompt_parts = part_text(document, request_class.shared_tokens) + "," +
                         part_text(session, request_class.session_tokens) + "," +
                         part_text(random.bits(), request_class.unique_tokens);
  request.prompt_tokens =
      request_class.shared_tokens + request_class.session_tokens + request_class.unique_tokens;
}

}  // namespace

std::vector<RequestClass> demo_classes() {
  return {{"chat", 0.4, true, 3000, 600, 100, 24, 6000, 800, 2},
          {"draft", 0.2, true, 4000, 800, 200, 40, 8000, 1500, 1},
          {"search", 0.25, false, 0, 0, 0, 1, 2000, 200, 2},
          {"order", 0.15, false, 0, 0, 0, 1, 2000, 300, 1}};
}

std::vector<PlannedRequest> plan_requests(const std::vector<RequestClass>& classes,
                                          double requests_per_second, Duration duration, uint64_t seed) {
  Random random(seed);
  std::vector<PlannedRequest> plan;
  double at_s = random.exponential(1 / requests_per_second);
  while (from_seconds(at_s) < duration) {
    PlannedRequest request;
    request.at = from_seconds(at_s);
    request.request_class = pick_class(classes, random);
    request.id = to_hex(random.bits());
    if (classes[request.request_class].streaming) {
      add_prompt(classes[request.request_class], random, request);
    }
    plan.push_back(std::move(request));
    at_s += random.exponential(1 / requests_per_second);
  }
  return plan;
}

}  // namespace stoat::tools
