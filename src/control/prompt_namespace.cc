#include "src/control/prompt_namespace.h"

namespace stoat::control {

cache::Namespace prompt_namespace(const Configuration& configuration, const std::string& tenant,
                                  const std::string& model, uint32_t block_tokens) {
  const auto holder = configuration.tenants.find(tenant);
  const bool shares = holder != configuration.tenants.end() && !holder->second.sharing_group.empty();
  cache::Namespace name_space;
  name_space.group = shares ? "group/" + holder->second.sharing_group : "tenant/" + tenant;
  name_space.model = model;
  name_space.block_tokens = block_tokens;
  const auto served = configuration.models.find(model);
  if (served != configuration.models.end()) {
    name_space.adapter = served->second.adapter;
    name_space.weights_version = served->second.weights_version;
  }
  return name_space;
}

}  // namespace stoat::control
