/// Seeded workloads with long nested shared prefixes, built after the two deployments of the users.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "src/common/random.h"
#include "src/common/settings.h"
#include "src/common/time.h"

namespace stoat::tools {

/// What a planned request is for; the report is split by it.
enum class RequestClass : uint8_t {
  kLongCheck,      ///< long prompt, repeatable, not urgent
  kShortQuestion,  ///< a person waits
  kDecision,       ///< must run at most once, urgent
  kPlainWork,      ///< a plain service's work, at most once
};

const char* request_class_name(RequestClass request_class);

/// One request of a workload.
struct PlannedRequest {
  TimePoint at{0};  ///< intended send time since the start
  RequestClass request_class = RequestClass::kShortQuestion;
  std::string tenant;
  std::string serves;  ///< model, or plain service
  std::string prompt;
  uint32_t max_tokens = 16;
  bool repeatable = true;
  std::string idempotency_key;  ///< set when not repeatable
};

/// The size and shape of a workload.
struct WorkloadSettings {
  std::string name = "derwent";  ///< derwent or kavelwind
  uint64_t seed = 1;
  double requests_per_second = 20;
  Duration duration{10s};
  uint32_t tenants = 8;
  uint32_t shared_tokens = 4000;  ///< of the outermost prefix: style guide or market brief
  uint32_t middle_tokens = 1000;  ///< publisher's rules, or asset class
  uint32_t inner_tokens = 1000;   ///< score, or asset state
  uint32_t question_tokens = 60;  ///< unique end
  uint32_t shared_documents = 4;  ///< outermost prefixes of each tenant; the first is hot
  double hot_share = 0.6;         ///< of requests that use the hot document
  Duration hot_shift{0};          ///< every so often another document becomes the hot one; 0: never
};

/// Reads the setting "workload"; another name than that of a workload becomes a finding.
std::string read_workload_name(SettingsReader& reader);

/// The service, model and tenant names of a deployment.
struct DeploymentNames {
  std::string model;
  std::string plain_service;
  std::vector<std::string> tenants;
};

DeploymentNames deployment_names(const WorkloadSettings& settings);

/// The whole plan, in the order of time. The same settings give the same plan.
std::vector<PlannedRequest> make_workload(const WorkloadSettings& settings);

/// The API key that tools give to a tenant.
std::string tool_api_key(const std::string& tenant);

}  // namespace stoat::tools
