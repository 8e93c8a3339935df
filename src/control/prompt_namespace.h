/// Which cached blocks a request may share, from the configuration in force. Sidecars and routers must agree
/// on it.
#pragma once

#include <string>

#include "src/cache/block_chain.h"
#include "src/control/configuration.h"

namespace stoat::control {

/// The namespace of a tenant's prompts to a model: the tenant's sharing group or its own name, the model, the
/// adapter and the weights version.
cache::Namespace prompt_namespace(const Configuration& configuration, const std::string& tenant,
                                  const std::string& model, uint32_t block_tokens);

}  // namespace stoat::control
