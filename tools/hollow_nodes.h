/// Many nodes in one process that do what a node does towards control, and nothing else.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "src/control/control_client.h"

namespace stoat::tools {

/// Hollow nodes on one event loop, each with a connection and a data folder of its own.
class HollowNodes {
 public:
  HollowNodes(EventLoop& loop, const std::vector<Endpoint>& members, const std::string& folder, size_t count);

  /// How many have a version in force that is at least this one.
  size_t with_version(uint64_t version) const;
  uint64_t sent_bytes() const;
  size_t count() const { return nodes_.size(); }

 private:
  std::vector<std::unique_ptr<control::ControlClient>> nodes_;
};

}  // namespace stoat::tools
