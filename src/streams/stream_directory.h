/// A router's part in keeping stream records: stores the records of its streams at control members, and asks
/// the members for those of streams that began at other routers. Performs no I/O itself.
///
/// A record is kept by a few members, chosen by rendezvous hashing of the stream. It is sent with the
/// request, and at least one member has it on disk before the caller gets the first event, so that it
/// outlives this router and the members. Streams of a service with a single software version need no record.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/common/time.h"
#include "src/fleet/software_history.h"
#include "src/fleet/stream_record.h"
#include "src/streams/stream_record_table.h"

namespace stoat::streams {

/// How the origin of a stream was found.
enum class OriginSource : uint8_t {
  kThisRouter,   ///< the stream began here
  kMember,       ///< from a record at a control member
  kOnlyVersion,  ///< no other version of the service has served for longer than a stream lives
  kUnknown,      ///< there is no origin
};

/// Text for logs and metrics.
const char* to_text(OriginSource source);

/// The outcome of a search for a stream's origin.
struct OriginFinding {
  OriginSource source = OriginSource::kUnknown;
  std::optional<fleet::StreamRecord> record = {};  ///< empty if the source is kUnknown
  bool conclusive = true;  ///< false: too few members have answered, so a later search may find more
};

/// Which streams need a record at the control members.
enum class RecordPolicy : uint8_t {
  kIfVersionsDiffer,  ///< those of services with several versions
  kAlways,
};

/// How a directory reaches the control members and the clock.
struct DirectoryLinks {
  std::function<void(const std::string& member, const fleet::StreamRecordBatch&)> send_records;
  std::function<void(const std::string& member, const fleet::StreamRecordRequest&)> send_request;
  /// Calls the action once after the delay.
  std::function<void(Duration delay, std::function<void()> action)> call_after;
  std::function<TimePoint()> now;
};

/// What a directory has done since its start.
struct DirectoryCounts {
  uint64_t records_sent = 0;
  uint64_t requests_sent = 0;
};

class StreamDirectory {
 public:
  using StoredHandler = std::function<void()>;
  using FoundHandler = std::function<void(const OriginFinding&)>;

  void set_links(DirectoryLinks links) { links_ = std::move(links); }

  // What the control members and backends report
  /// A member answers on a new connection, and may have restarted without records. `keeps_records`: false for
  /// members of builds that keep none.
  void on_member_ready(const std::string& member, bool keeps_records);
  void on_member_lost(const std::string& member);
  /// Number of members in the member list.
  void set_member_count(size_t members) { member_count_ = members; }
  void on_records_stored(const std::string& member, const fleet::StreamRecordBatchResponse& response);
  void on_response(const std::string& member, const fleet::StreamRecordResponse& response);
  /// Replaces the services with several versions that a member has listed.
  void set_mixed_services(const std::string& member, const fleet::MixedServices& mixed);
  void put_backend(const fleet::BackendRecord& record);
  void remove_backend(const std::string& id);
  void set_software_retention(Duration retention) { software_.set_retention(retention); }

  // Streams at this router
  /// Keeps the record of a stream until untrack(). A stream that is tracked already takes the record's
  /// generation if it is higher. `on_stored`: called when members have stored the record; may be empty.
  void track(const fleet::StreamRecord& record, RecordPolicy policy, StoredHandler on_stored);
  void untrack(uint64_t stream);
  /// True if the stream can be resumed without this router: members have its record and no outdated one, or
  /// none is needed.
  bool is_stored(uint64_t stream) const;
  /// True if a member may have a record of another origin of the stream, from an earlier attempt.
  bool may_be_outdated(uint64_t stream) const;
  /// True if streams of the service need records.
  bool needs_records(const std::string& service) const { return versions(service).size() > 1; }
  /// Versions at which a live stream of the service may have begun, as far as this router knows.
  std::set<std::string> versions(const std::string& service) const;
  /// Searches for the origin of a stream of the service. Calls `on_found` once, possibly at once.
  void find(uint64_t stream, const std::string& service, FoundHandler on_found);

  /// Removes expired records and versions.
  void expire();
  size_t tracked() const { return tracked_.size(); }
  const DirectoryCounts& counts() const { return counts_; }

 private:
  struct TrackedStream {
    fleet::StreamRecord record;
    RecordPolicy policy = RecordPolicy::kIfVersionsDiffer;
    TimePoint expires{0};
    size_t users = 0;                      ///< track() calls without untrack()
    std::map<std::string, uint64_t> sent;  ///< unconfirmed batch with the record, by member
    std::set<std::string> stored;          ///< members that have confirmed it
    std::set<std::string> reached;         ///< members that may have the record, in any generation
    std::set<std::string> maybe_earlier;   ///< members that may have a record of an earlier generation
    StoredHandler on_stored;
    bool is_stored() const;
  };
  struct Batch {
    fleet::StreamRecordBatch message;
    bool flush_scheduled = false;
  };
  struct Search {
    uint64_t stream = 0;
    std::string service;
    std::set<std::string> awaited;    ///< members that were asked and have not answered
    std::set<std::string> responded;  ///< members that have answered
    std::set<std::string> informed;   ///< those of them that know the versions of the service
    std::set<std::string> versions;   ///< reported by the members that have answered
    FoundHandler on_found;
  };
  /// Sends the record to those of its members that it was not sent to.
  void replicate(TrackedStream& stream);
  bool needs_record(const TrackedStream& stream) const;
  void replicate_service(const std::string& service);
  void flush(const std::string& member);
  void ask(uint64_t number, const std::string& member);
  /// Ends the search if no member that matters has still to answer.
  void end_search_if_complete(uint64_t number);
  void end_search(uint64_t number);
  void finish_search(uint64_t number, const OriginFinding& finding);
  OriginFinding conclude(const Search& search) const;
  bool is_majority(size_t members) const { return 2 * members > std::max<size_t>(1, member_count_); }

  DirectoryLinks links_;
  size_t member_count_ = 0;
  std::set<std::string> keepers_;                       ///< connected members that keep records
  std::set<std::string> non_keepers_;                   ///< connected members of builds that keep none
  fleet::SoftwareHistory software_;                     ///< of the backends that this router knows
  std::map<std::string, fleet::MixedServices> listed_;  ///< by member
  std::map<uint64_t, TrackedStream> tracked_;           ///< by stream
  StreamRecordTable local_{kLocalRecordLimit};          ///< of streams that were here lately
  std::map<std::string, Batch> batches_;                ///< being filled, by member
  std::map<std::string, std::map<uint64_t, std::vector<uint64_t>>>
      unconfirmed_;                      ///< streams by member, batch
  std::map<uint64_t, Search> searches_;  ///< by request number
  uint64_t last_number_ = 0;             ///< of batches and requests
  DirectoryCounts counts_;

  static constexpr size_t kLocalRecordLimit = 20000;
};

}  // namespace stoat::streams
