#include "tools/workload.h"

#include <cmath>

#include "src/common/hash.h"

namespace stoat::tools {

namespace {

constexpr uint32_t kBytesPerToken = 4;

/// Text of a stated length that depends on nothing but its label.
std::string document(const std::string& label, uint32_t tokens) {
  Random random(hash_bytes(label));
  std::string text = "# " + label + "\n";
  const size_t bytes = static_cast<size_t>(tokens) * kBytesPerToken;
  while (text.size() < bytes) {
    text += to_hex(random.bits()).substr(0, 3 + random.below(5)) + " ";
  }
  text.resize(bytes);
  return text;
}

/// Draws positions with a few very common ones.
size_t skewed(Random& random, size_t count) {
  const double position = std::pow(random.unit(), 2.0) * static_cast<double>(count);
  return std::min(count - 1, static_cast<size_t>(position));
}

class Planner {
 public:
  explicit Planner(const WorkloadSettings& settings)
      : settings_(settings), names_(deployment_names(settings)), random_(settings.seed) {}

  std::vector<PlannedRequest> plan() {
    std::vector<PlannedRequest> requests;
    double at_seconds = 0;
    while (true) {
      at_seconds += random_.exponential(1.0 / settings_.requests_per_second);
      const TimePoint at = from_seconds(at_seconds);
      if (at >= settings_.duration) {
        return requests;
      }
      requests.push_back(settings_.name == "kavelwind" ? kavelwind(at) : derwent(at));
    }
  }

 private:
  PlannedRequest derwent(TimePoint at) {
    const double draw = random_.unit();
    if (draw < 0.1) {
      return plain(at, "/extract/" + std::to_string(random_.below(1000)));
    }
    if (draw < 0.55) {
      return model(at, RequestClass::kLongCheck, settings_.inner_tokens, 48, true);
    }
    return model(at, RequestClass::kShortQuestion, 0, 16, true);
  }

  PlannedRequest kavelwind(TimePoint at) {
    const double draw = random_.unit();
    if (draw < 0.1) {
      return plain(at, "/submit/" + std::to_string(random_.below(1000)));
    }
    if (draw < 0.6) {
      return model(at, RequestClass::kDecision, settings_.inner_tokens, 12, false);
    }
    return model(at, RequestClass::kShortQuestion, settings_.inner_tokens, 24, true);
  }

  PlannedRequest plain(TimePoint at, const std::string& path) {
    PlannedRequest request = base(at, RequestClass::kPlainWork);
    request.serves = names_.plain_service;
    request.prompt = "{\"work\":\"" + path + "\"}";
    return at_most_once(std::move(request));
  }

  PlannedRequest model(TimePoint at, RequestClass request_class, uint32_t inner_tokens, uint32_t max_tokens,
                       bool repeatable) {
    PlannedRequest request = base(at, request_class);
    request.serves = names_.model;
    request.max_tokens = max_tokens;
    const size_t shared = shared_document(at);
    const std::string outer = request.tenant + " document " + std::to_string(shared);
    const std::string middle = outer + " part " + std::to_string(skewed(random_, 3));
    request.prompt = document(outer, settings_.shared_tokens) + document(middle, settings_.middle_tokens);
    if (inner_tokens > 0) {
      request.prompt += document(middle + " item " + std::to_string(skewed(random_, 12)), inner_tokens);
    }
    request.prompt += document("question " + std::to_string(random_.bits()), settings_.question_tokens);
    return repeatable ? request : at_most_once(std::move(request));
  }

  PlannedRequest base(TimePoint at, RequestClass request_class) {
    PlannedRequest request;
    request.at = at;
    request.request_class = request_class;
    request.tenant = names_.tenants[skewed(random_, names_.tenants.size())];
    return request;
  }

  PlannedRequest at_most_once(PlannedRequest request) {
    request.repeatable = false;
    request.idempotency_key = "key-" + to_hex(random_.bits());
    return request;
  }

  size_t shared_document(TimePoint at) {
    size_t hot = 0;
    if (settings_.hot_shift > Duration(0)) {
      hot = static_cast<size_t>(at / settings_.hot_shift) % settings_.shared_documents;
    }
    return random_.chance(settings_.hot_share) ? hot : random_.below(settings_.shared_documents);
  }

  WorkloadSettings settings_;
  DeploymentNames names_;
  Random random_;
};

}  // namespace

const char* request_class_name(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kLongCheck:
      return "long_check";
    case RequestClass::kShortQuestion:
      return "short_question";
    case RequestClass::kDecision:
      return "decision";
    case RequestClass::kPlainWork:
      return "plain_work";
  }
  return "unknown";
}

std::string read_workload_name(SettingsReader& reader) {
  std::string name = reader.text("workload", "derwent");
  if (name != "derwent" && name != "kavelwind") {
    reader.add_finding("workload", "must be derwent or kavelwind");
  }
  return name;
}

DeploymentNames deployment_names(const WorkloadSettings& settings) {
  DeploymentNames names;
  const bool kavelwind = settings.name == "kavelwind";
  names.model = kavelwind ? "bidmodel" : "notation-llm";
  names.plain_service = kavelwind ? "bidgate" : "engrave-app";
  for (uint32_t tenant = 1; tenant <= settings.tenants; ++tenant) {
    names.tenants.push_back((kavelwind ? "owner-" : "publisher-") + std::to_string(tenant));
  }
  return names;
}

std::vector<PlannedRequest> make_workload(const WorkloadSettings& settings) {
  return Planner(settings).plan();
}

std::string tool_api_key(const std::string& tenant) { return "key-of-" + tenant; }

}  // namespace stoat::tools
