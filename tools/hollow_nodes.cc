#include "tools/hollow_nodes.h"

#include <algorithm>

#include "src/common/random.h"

namespace stoat::tools {

HollowNodes::HollowNodes(EventLoop& loop, const std::vector<Endpoint>& members, const std::string& folder,
                         size_t count) {
  for (size_t number = 0; number < count; ++number) {
    const std::string name = "hollow-" + std::to_string(number);
    control::ControlClientOptions options;
    options.members = members;
    options.data_folder = folder;
    options.data_folder += "/" + name;
    wire::Node node;
    node.name = name;
    node.role = number % 3 == 0 ? "router" : "sidecar";
    node.endpoint = "127.0.0.1:1";
    node.zone = "region-" + std::to_string(number % 3) + "/zone-" + std::to_string(number % 8);
    node.start_id = seed_from_device();
    nodes_.push_back(std::make_unique<control::ControlClient>(loop, options, node, seed_from_device()));
    nodes_.back()->start();
  }
}

size_t HollowNodes::with_version(uint64_t version) const {
  return static_cast<size_t>(std::count_if(nodes_.begin(), nodes_.end(), [version](const auto& node) {
    return node->configuration().version >= version;
  }));
}

uint64_t HollowNodes::sent_bytes() const {
  uint64_t bytes = 0;
  for (const auto& node : nodes_) {
    bytes += node->sent_bytes();
  }
  return bytes;
}

}  // namespace stoat::tools
