// Routers and control members that keep the origins of streams, under faults drawn from seeds: whatever a
// router finds out about a stream that began elsewhere is where it began, or nothing.
#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <set>

#include "simulation/event_queue.h"
#include "simulation/simulated_disk.h"
#include "src/common/random.h"
#include "src/storage/soft_state_store.h"
#include "src/streams/stream_directory.h"

namespace stoat::simulation {
namespace {

constexpr uint64_t kSeedsPerTest = 100;
constexpr size_t kMembers = 5;
constexpr size_t kToleratedLosses = 2;
constexpr size_t kRouters = 4;
constexpr size_t kBackends = 8;
constexpr Duration kRunTime = 12s;
constexpr Duration kRestartedMemberSettles = 1400ms;
constexpr Duration kMaxRecordWait = 100ms;
constexpr size_t kCallerAttempts = 5;
constexpr Duration kCallerBackoff = 500ms;
constexpr Duration kFullStateDelay = 20ms;
const std::string kService = "models";

struct Faults {
  bool routers = false;      ///< routers are killed and started
  bool members = false;      ///< single members are killed, paused, and lose connections
  bool all_members = false;  ///< all members are killed at once
  bool everything = false;   ///< all members and routers are killed at once
  bool versions = false;     ///< while everything is down, one version loses all its backends
  bool disks = false;        ///< meanwhile as many members as may be lost lose their disks
  size_t caller_attempts = kCallerAttempts;
};

struct Counts {
  size_t begun = 0;
  size_t resumed = 0;
  size_t unknown = 0;
  size_t wrong = 0;
};

class StreamRecordSimulation {
 public:
  StreamRecordSimulation(uint64_t seed, size_t versions, Faults faults)
      : random_(seed), versions_(versions), faults_(faults), members_(kMembers), routers_(kRouters) {
    for (size_t number = 0; number < kBackends; ++number) {
      backends_.push_back(make_backend(number));
    }
    for (size_t member = 0; member < kMembers; ++member) {
      start_member(member, Duration(0));
    }
    for (size_t router = 0; router < kRouters; ++router) {
      start_router(router);
    }
  }

  Counts run() {
    const TimePoint end = events_.now() + kRunTime;
    repeat(15ms, [this] { begin_stream(); });
    repeat(700ms, [this] { replace_backend(); });
    repeat(50ms, [this] { list_mixed_services(); });
    if (faults_.routers) {
      repeat(600ms, [this] { kill_router(random_.below(kRouters)); });
    }
    if (faults_.members) {
      repeat(900ms, [this] { disturb_member(random_.below(kMembers)); });
    }
    if (faults_.all_members) {
      repeat(4s, [this] { kill_all_members(); });
    }
    if (faults_.everything) {
      repeat(3s, [this] { kill_everything(); });
    }
    while (events_.run_next(end)) {
    }
    return counts_;
  }

 private:
  struct Member {
    std::unique_ptr<SimulatedDisk> disk;
    std::unique_ptr<storage::SoftStateStore> store;
    uint64_t written_software_revision = 0;
    std::unique_ptr<streams::StreamRecordTable> records;
    fleet::SoftwareHistory software;
    TimePoint software_known_at{0};
    TimePoint paused_until{0};
    uint64_t incarnation = 0;
  };
  struct Router {
    std::unique_ptr<streams::StreamDirectory> directory;
    std::map<std::string, fleet::BackendRecord> backends;  ///< that it knows
    std::set<size_t> connected;
    uint64_t incarnation = 0;
    std::map<size_t, uint64_t> connections;     ///< number of the connection to each member
    std::map<size_t, uint64_t> sent_revisions;  ///< of the versions that each member has listed
    std::map<size_t, TimePoint> last_arrival;   ///< of a message to or from each member
  };
  struct Stream {
    uint64_t key = 0;
    std::string software;  ///< as the caller knows from its first event
    size_t router = 0;
    uint64_t incarnation = 0;  ///< of that router
    TimePoint ends{0};
  };
  using StreamPtr = std::shared_ptr<Stream>;

  void repeat(Duration mean, const std::function<void()>& action) {
    events_.schedule_after(from_fractional_ms(random_.exponential(static_cast<double>(mean.count()) / 1000)),
                           [this, mean, action] {
                             action();
                             repeat(mean, action);
                           });
  }
  /// Runs `action` when the disk of a member has synced, unless the member is killed before.
  void after_sync(size_t number, const std::function<void(Member&)>& action) {
    events_.schedule_after(Duration(random_.between(500, random_.chance(0.02) ? 80000 : 5000)),
                           [this, number, incarnation = members_[number].incarnation, action] {
                             if (members_[number].incarnation == incarnation) {
                               action(members_[number]);
                             }
                           });
  }
  void write_software(size_t number) {
    Member& member = members_[number];
    if (std::exchange(member.written_software_revision, member.software.revision()) !=
        member.software.revision()) {
      after_sync(number, [](Member& writer) {
        ASSERT_TRUE(writer.store->write_snapshot({writer.software.services()}));
      });
    }
  }
  Duration delay() { return Duration(random_.between(300, random_.chance(0.05) ? 60000 : 2000)); }
  static std::string name_of(size_t member) { return "member" + std::to_string(member); }
  static size_t number_of(const std::string& member) { return std::stoul(member.substr(6)); }

  fleet::BackendRecord make_backend(size_t slot) {
    fleet::BackendRecord record;
    record.id = "b" + std::to_string(slot) + "-" + std::to_string(++last_id_);
    record.service = kService;
    record.software = "v" + std::to_string(random_.below(versions_));
    return record;
  }
  void replace_backend() {
    const size_t slot = random_.below(kBackends);
    const std::string gone = backends_[slot].id;
    backends_[slot] = make_backend(slot);
    const fleet::BackendRecord fresh = backends_[slot];
    for (size_t member = 0; member < kMembers; ++member) {
      events_.schedule_after(delay(), [this, member, fresh, gone] {
        members_[member].software.put(fresh);
        members_[member].software.erase(gone, events_.now());
        write_software(member);
      });
    }
    for (size_t router = 0; router < kRouters; ++router) {
      events_.schedule_after(delay() + 20ms, [this, router, fresh, gone] {
        Router& known = routers_[router];
        known.backends[fresh.id] = fresh;
        known.backends.erase(gone);
        known.directory->put_backend(fresh);
        known.directory->remove_backend(gone);
      });
    }
  }

  /// Members tell the routers which services have several versions.
  void list_mixed_services() {
    for (size_t router = 0; router < kRouters; ++router) {
      for (const size_t member : routers_[router].connected) {
        uint64_t& sent = routers_[router].sent_revisions[member];
        if (std::exchange(sent, members_[member].software.revision()) == sent) {
          continue;
        }
        exchange(router, member, [this, router, member] {
          const fleet::MixedServices mixed{members_[member].software.mixed_services()};
          routers_[router].directory->set_mixed_services(name_of(member), mixed);
        });
      }
    }
  }

  void start_member(size_t number, Duration settles) {
    Member& member = members_[number];
    ++member.incarnation;
    member.records = std::make_unique<streams::StreamRecordTable>();
    member.software = {};
    member.written_software_revision = 0;
    if (member.disk == nullptr) {
      member.disk = std::make_unique<SimulatedDisk>(number);
    }
    member.disk->lose_power();
    member.store = std::make_unique<storage::SoftStateStore>(*member.disk);
    const auto restored = member.store->load(events_.now());
    for (const fleet::StreamRecord& record : restored->records) {
      member.records->put(record, events_.now());
    }
    member.software.restore(restored->snapshot.software, events_.now());
    member.software_known_at = events_.now() + (restored->found ? Duration(0) : settles);
    for (const fleet::BackendRecord& record : backends_) {
      member.software.put(record);
    }
    write_software(number);
    for (size_t other = 0; faults_.disks && other < kMembers; ++other) {
      learn_versions(number, other);
    }
  }
  /// Another member sends its full state to one that has started.
  void learn_versions(size_t number, size_t other) {
    const uint64_t incarnation = members_[number].incarnation;
    events_.schedule_after(kFullStateDelay, [this, number, other, incarnation] {
      if (members_[number].incarnation == incarnation) {
        members_[number].software.restore(members_[other].software.services(), events_.now());
        write_software(number);
      }
    });
  }
  void start_router(size_t number) {
    Router& router = routers_[number];
    const uint64_t incarnation = ++router.incarnation;
    router.connected.clear();
    router.backends.clear();
    streams::DirectoryLinks links;
    links.now = [this] { return events_.now(); };
    links.call_after = [this, number, incarnation](Duration wait, const std::function<void()>& action) {
      events_.schedule_after(wait, [this, number, incarnation, action] {
        if (routers_[number].incarnation == incarnation) {
          action();
        }
      });
    };
    links.send_records = [this, number](const std::string& member, const fleet::StreamRecordBatch& batch) {
      exchange(number, number_of(member),
               [this, number, member, batch] { store_records(number, number_of(member), batch); });
    };
    links.send_request = [this, number](const std::string& member,
                                        const fleet::StreamRecordRequest& request) {
      exchange(number, number_of(member),
               [this, number, member, request] { answer_request(number, number_of(member), request); });
    };
    router.directory = std::make_unique<streams::StreamDirectory>();
    router.directory->set_links(std::move(links));
    router.directory->set_member_count(kMembers);
    for (const fleet::BackendRecord& record : backends_) {
      router.backends[record.id] = record;
      router.directory->put_backend(record);
    }
    for (size_t member = 0; member < kMembers; ++member) {
      connect(number, member);
    }
  }
  void connect(size_t router, size_t member) {
    const uint64_t incarnation = routers_[router].incarnation;
    events_.schedule_after(delay() * 2, [this, router, member, incarnation] {
      Router& known = routers_[router];
      if (known.incarnation != incarnation || !known.connected.insert(member).second) {
        return;
      }
      ++known.connections[member];
      known.directory->set_mixed_services(name_of(member), {members_[member].software.mixed_services()});
      known.directory->on_member_ready(name_of(member), true);
    });
  }
  void break_connection(size_t router, size_t member) {
    Router& known = routers_[router];
    if (known.connected.erase(member) > 0) {
      ++known.connections[member];
      known.directory->on_member_lost(name_of(member));
      connect(router, member);
    }
  }
  /// Runs `action` when a message on the connection between the two arrives. Messages arrive in order.
  void exchange(size_t router, size_t member, const std::function<void()>& action) {
    Router& known = routers_[router];
    const uint64_t connection = known.connections[member];
    const uint64_t incarnation = known.incarnation;
    const uint64_t member_incarnation = members_[member].incarnation;
    TimePoint& last = known.last_arrival[member];
    last = std::max({last, events_.now() + delay(), members_[member].paused_until});
    events_.schedule_at(last, [this, router, member, connection, incarnation, member_incarnation, action] {
      Router& target = routers_[router];
      if (target.connections[member] == connection && target.incarnation == incarnation &&
          members_[member].incarnation == member_incarnation) {
        action();
      }
    });
  }
  void store_records(size_t router, size_t member, const fleet::StreamRecordBatch& batch) {
    for (const fleet::StreamRecord& record : batch.records) {
      members_[member].records->put(record, events_.now());
    }
    const uint64_t connection = routers_[router].connections[member];
    after_sync(member, [this, router, member, connection, batch](Member& writer) {
      ASSERT_TRUE(writer.store->write_records(batch.records, events_.now()));
      if (routers_[router].connections[member] == connection) {
        exchange(router, member, [this, router, member, number = batch.number] {
          routers_[router].directory->on_records_stored(name_of(member), {number});
        });
      }
    });
  }
  void answer_request(size_t router, size_t member, const fleet::StreamRecordRequest& request) {
    const Member& asked = members_[member];
    fleet::StreamRecordResponse response;
    response.number = request.number;
    if (const auto record = asked.records->find(request.stream, events_.now())) {
      response.record.push_back(*record);
    }
    if (events_.now() >= asked.software_known_at) {
      response.software.push_back({request.service, asked.software.versions(request.service)});
    }
    exchange(router, member, [this, router, member, response] {
      routers_[router].directory->on_response(name_of(member), response);
    });
  }

  fleet::StreamRecord make_record(const Stream& stream, uint32_t generation) const {
    return {stream.key, {kService, stream.software}, generation, to_milliseconds(kRunTime)};
  }
  bool is_up(const Stream& stream) const { return routers_[stream.router].incarnation == stream.incarnation; }
  /// A version that the router would send a new stream to.
  std::string choose_version(size_t router) {
    const auto& known = routers_[router].backends;
    return std::next(known.begin(), static_cast<std::ptrdiff_t>(random_.below(known.size())))
        ->second.software;
  }
  void begin_stream() {
    const auto stream = std::make_shared<Stream>();
    stream->key = ++last_stream_;
    stream->router = random_.below(kRouters);
    stream->incarnation = routers_[stream->router].incarnation;
    if (routers_[stream->router].connected.empty()) {
      return;  // a router serves nothing before a member has answered
    }
    stream->ends = events_.now() + Duration(random_.between(100000, 2500000));
    stream->software = choose_version(stream->router);
    routers_[stream->router].directory->track(make_record(*stream, 0),
                                              streams::RecordPolicy::kIfVersionsDiffer, {});
    const Duration until_event = Duration(random_.between(1000, 40000));
    if (!random_.chance(0.2)) {
      events_.schedule_after(until_event, [this, stream] { await_record(stream, events_.now()); });
      return;
    }
    // The first backend fails before its first event, and another one runs the request.
    events_.schedule_after(until_event, [this, stream, until_event] {
      if (!is_up(*stream)) {
        return;
      }
      const std::string before = stream->software;
      stream->software = choose_version(stream->router);
      if (stream->software != before) {
        routers_[stream->router].directory->track(make_record(*stream, 1),
                                                  streams::RecordPolicy::kIfVersionsDiffer, {});
      }
      events_.schedule_after(until_event, [this, stream] { await_record(stream, events_.now()); });
    });
  }
  /// Passes the first event on once the record is stored, or after kMaxRecordWait.
  void await_record(const StreamPtr& stream, TimePoint since) {
    if (!is_up(*stream)) {
      return;
    }
    const streams::StreamDirectory& directory = *routers_[stream->router].directory;
    if (!directory.is_stored(stream->key)) {
      const bool waits = events_.now() - since < kMaxRecordWait;
      if (waits) {
        events_.schedule_after(1ms, [this, stream, since] { await_record(stream, since); });
      }
      if (waits || directory.may_be_outdated(stream->key)) {
        return;
      }
    }
    ++counts_.begun;
    carry(stream);
  }
  /// Passes the stream's events on at its router until it ends.
  void carry(const StreamPtr& stream) {
    streams_.push_back(stream);
    const uint64_t incarnation = stream->incarnation;
    events_.schedule_at(stream->ends, [this, stream, router = stream->router, incarnation] {
      if (routers_[router].incarnation == incarnation) {
        routers_[router].directory->untrack(stream->key);
      }
    });
  }

  void kill_router(size_t number) {
    start_router(number);
    resume_broken_streams();
  }
  void resume_broken_streams() {
    std::vector<StreamPtr> broken;
    std::erase_if(streams_, [&](const StreamPtr& stream) {
      const bool gone = !is_up(*stream);
      if (gone && stream->ends > events_.now()) {
        broken.push_back(stream);
      }
      return gone || stream->ends <= events_.now();
    });
    for (const StreamPtr& stream : broken) {
      events_.schedule_after(Duration(random_.between(1000, 300000)), [this, stream] { resume(stream, 0); });
    }
  }
  /// A caller resumes its stream. Refused, it tries again some times; `attempt` counts from 0.
  void resume(const StreamPtr& stream, size_t attempt) {
    stream->router = random_.below(kRouters);
    stream->incarnation = routers_[stream->router].incarnation;
    counts_.resumed += attempt == 0 ? 1 : 0;
    routers_[stream->router].directory->find(
        stream->key, kService, [this, stream, attempt](const streams::OriginFinding& finding) {
          if (!finding.record) {
            counts_.unknown += attempt == 0 ? 1 : 0;
            if (attempt + 1 < faults_.caller_attempts) {
              events_.schedule_after(kCallerBackoff,
                                     [this, stream, attempt] { resume(stream, attempt + 1); });
            }
            return;
          }
          counts_.wrong += finding.record->origin.software == stream->software ? 0 : 1;
          routers_[stream->router].directory->track(make_record(*stream, finding.record->generation),
                                                    streams::RecordPolicy::kIfVersionsDiffer, {});
          carry(stream);
        });
  }

  void disturb_member(size_t number) {
    if (random_.chance(0.4)) {
      kill_member(number);
    } else if (random_.chance(0.5)) {
      members_[number].paused_until = events_.now() + Duration(random_.between(100000, 3000000));
    } else {
      break_connection(random_.below(kRouters), number);
    }
  }
  void kill_member(size_t number) {
    start_member(number, kRestartedMemberSettles);
    for (size_t router = 0; router < kRouters; ++router) {
      break_connection(router, number);
    }
  }
  void kill_all_members() {
    for (size_t member = 0; member < kMembers; ++member) {
      kill_member(member);
    }
  }

  /// Back ends with the version of one of them are replaced by ones of another version, of which no process
  /// hears before it has started again.
  void end_version_of(size_t ended) {
    const std::string software = backends_[ended].software;
    for (size_t slot = 0; slot < kBackends; ++slot) {
      while (backends_[slot].software == software) {
        backends_[slot] = make_backend(slot);
      }
    }
  }
  void kill_everything() {
    if (faults_.versions) {
      end_version_of(random_.below(kBackends));
    }
    for (size_t lost = 0; faults_.disks && lost < kToleratedLosses; ++lost) {
      members_[random_.below(kMembers)].disk->wipe();
    }
    kill_all_members();
    for (size_t router = 0; router < kRouters; ++router) {
      start_router(router);
    }
    resume_broken_streams();
  }

  EventQueue events_;
  Random random_;
  size_t versions_;
  Faults faults_;
  std::vector<Member> members_;
  std::vector<Router> routers_;
  std::vector<fleet::BackendRecord> backends_;
  std::vector<StreamPtr> streams_;
  uint64_t last_id_ = 0;
  uint64_t last_stream_ = 0;
  Counts counts_;
};

class StreamRecordSeeds : public testing::TestWithParam<uint64_t> {
 protected:
  static Counts run_seeds(size_t versions, Faults faults) {
    Counts sum;
    for (uint64_t seed = GetParam() * kSeedsPerTest + 1; seed <= (GetParam() + 1) * kSeedsPerTest; ++seed) {
      const Counts counts = StreamRecordSimulation(seed, versions, faults).run();
      EXPECT_EQ(counts.wrong, 0U) << "seed " << seed;
      sum.begun += counts.begun;
      sum.resumed += counts.resumed;
      sum.unknown += counts.unknown;
    }
    EXPECT_GT(sum.resumed, kSeedsPerTest);
    return sum;
  }
};

/// Part of the resumed streams that may be refused.
constexpr double kMaxUnknownShare = 0.02;

TEST_P(StreamRecordSeeds, KilledRoutersLoseNoOrigin) {
  const Counts sum = run_seeds(2, {.routers = true});
  EXPECT_LE(static_cast<double>(sum.unknown), kMaxUnknownShare * static_cast<double>(sum.resumed));
}

TEST_P(StreamRecordSeeds, OneVersionNeedsNoRecord) { EXPECT_EQ(run_seeds(1, {.routers = true}).unknown, 0U); }

TEST_P(StreamRecordSeeds, DisturbedMembersGiveNoWrongOrigin) {
  const Counts sum = run_seeds(3, {.routers = true, .members = true});
  EXPECT_LE(static_cast<double>(sum.unknown), kMaxUnknownShare * static_cast<double>(sum.resumed));
}

TEST_P(StreamRecordSeeds, AllMembersKilledGiveNoWrongOrigin) {
  run_seeds(2, {.routers = true, .members = true, .all_members = true});
}

// Streams went on at another version after all processes had been killed while theirs lost its last back end.
TEST_P(StreamRecordSeeds, VersionsThatEndWhileEverythingIsKilledAreForgotten) {
  run_seeds(3, {.routers = true, .members = true, .everything = true, .versions = true});
}

// Streams were refused after all processes had been killed, though back ends of their versions still served.
TEST_P(StreamRecordSeeds, OriginsAreForgottenWhenEverythingIsKilled) {
  const Counts sum = run_seeds(2, {.everything = true});
  EXPECT_LE(static_cast<double>(sum.unknown), kMaxUnknownShare * static_cast<double>(sum.resumed));
}

// Members that lost their disks one after the other took what they had not heard of for what there isn't.
TEST_P(StreamRecordSeeds, MembersWithoutDisksForgetVersions) {
  run_seeds(2, {.everything = true, .disks = true, .caller_attempts = 1});
}

INSTANTIATE_TEST_SUITE_P(Seeds, StreamRecordSeeds, testing::Range<uint64_t>(0, 3));

}  // namespace
}  // namespace stoat::simulation
