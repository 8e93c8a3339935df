/// The configuration as members hand it to routers: a log of changes from version to version, and the whole
/// for a router that has none of these versions. Performs no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/fleet/configuration_change.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::control {

/// One encoded change or whole configuration.
struct ConfigurationDocument {
  uint64_t base_version = 0;  ///< 0: a whole configuration
  uint64_t version = 0;
  uint64_t digest = 0;  ///< fleet::digest_of() the configuration `version`
  uint64_t hash = 0;    ///< of the bytes
  std::string bytes;    ///< fleet::ConfigurationChange or fleet::FleetConfiguration
};

/// Keeps changes for as long as all of them together are smaller than the whole configuration.
class ConfigurationPublisher {
 public:
  /// Takes a configuration that the member has applied. Versions that are not newer are ignored.
  void publish(const fleet::FleetConfiguration& configuration);
  /// The newest version; 0 if there is none.
  uint64_t version() const { return hashes_.version; }
  /// The change that led to the newest version; nullptr if it is not kept.
  const ConfigurationDocument* last_change() const { return changes_.empty() ? nullptr : &changes_.back(); }
  /// The requested parts, in order; none if the router has all that this member can give. `newest` is the
  /// configuration that was published last.
  std::vector<fleet::ConfigurationPart> parts_for(const fleet::ConfigurationRequest& request,
                                                  const fleet::FleetConfiguration& newest);

 private:
  /// The document that the router is receiving; nullptr if it is not kept.
  const ConfigurationDocument* find_started(uint64_t hash) const;
  /// The document with which a router begins; nullptr if it needs none.
  const ConfigurationDocument* find_next(uint64_t held_version, bool whole,
                                         const fleet::FleetConfiguration& newest);
  void drop_old_changes();

  fleet::ConfigurationHashes hashes_;          ///< of the newest configuration
  std::deque<ConfigurationDocument> changes_;  ///< oldest first, each based on the version of the one before
  size_t change_bytes_ = 0;                    ///< of all changes
  /// A whole configuration of the newest version, or of an older one from which the changes lead on.
  std::optional<ConfigurationDocument> whole_;
};

/// The largest number of bytes in one part: newer messages on the connection wait for no more than a few.
inline constexpr size_t kConfigurationPartBytes = 16U << 10U;

/// The part of a document that begins at `offset`.
fleet::ConfigurationPart make_part(const ConfigurationDocument& document, uint64_t offset);

}  // namespace stoat::control
