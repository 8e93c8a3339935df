/// How a router gets a newer configuration: it asks one member at a time, in parts, and goes on at another
/// member where that one stopped. Performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/fleet_messages.h"

namespace stoat::gateway {

/// A request, and the member that it goes to.
struct AddressedRequest {
  std::string member;  ///< internal address
  fleet::ConfigurationRequest request;
};

/// A received configuration, and what it took to receive it.
struct ReceivedConfiguration {
  std::shared_ptr<const fleet::FleetConfiguration> configuration;
  size_t bytes = 0;  ///< of the change or the whole
};

/// Follows the versions that members announce, and collects the parts of the next one.
class ConfigurationFetch {
 public:
  /// Sets the configuration in force; nullptr: there is none yet.
  void set_held(std::shared_ptr<const fleet::FleetConfiguration> configuration);
  /// A member says which version it has applied.
  void on_announcement(const std::string& member, uint64_t version, TimePoint now);
  /// The connection to a member was lost.
  void on_member_lost(const std::string& member);
  /// The request to send now. `members` are those that can be asked, in order of preference; `feed_member` is
  /// empty while there is none.
  std::optional<AddressedRequest> next_request(const std::string& feed_member,
                                               const std::vector<std::string>& members, TimePoint now);
  /// Takes a part. Returns the configuration if it was the last part; an error if the parts do not make up
  /// the configuration that they should, which is then requested as a whole.
  tl::expected<std::optional<ReceivedConfiguration>, std::string> on_part(
      const std::string& member, const fleet::ConfigurationPart& part, TimePoint now);
  /// The version in force; 0: none.
  uint64_t held_version() const { return held_ == nullptr ? 0 : held_->version; }
  /// The highest version that was announced; 0 if there was none.
  uint64_t announced_version() const { return announced_version_; }
  /// When that version was first announced.
  TimePoint announced_at() const { return announced_at_; }

 private:
  /// The document that is being received.
  struct Progress {
    uint64_t document = 0;  ///< 0: none
    uint64_t total_bytes = 0;
    std::string bytes;
  };
  bool can_serve(const std::string& member) const;
  /// The member to ask; one that has stopped sending only if there is no other. Empty if there is none yet.
  std::string choose_source(const std::string& feed_member, const std::vector<std::string>& members,
                            TimePoint now) const;
  AddressedRequest request_from(const std::string& member, uint64_t bytes);
  /// Adds the part to what was received. Returns whether that is the whole document now.
  bool add(const std::string& member, const fleet::ConfigurationPart& part, TimePoint now);
  tl::expected<fleet::FleetConfiguration, std::string> decode_document(const fleet::ConfigurationPart& last,
                                                                       const std::string& bytes) const;

  std::shared_ptr<const fleet::FleetConfiguration> held_;
  std::map<std::string, uint64_t> announced_by_;  ///< by member
  uint64_t announced_version_ = 0;
  TimePoint announced_at_{0};
  std::string source_;  ///< member that was asked last; empty: none
  Progress progress_;
  uint64_t requested_end_ = 0;  ///< position in the document up to which the source was asked
  uint64_t last_requested_bytes_ = 0;
  TimePoint last_progress_at_{0};
  bool whole_needed_ = false;  ///< a change did not fit
};

}  // namespace stoat::gateway
