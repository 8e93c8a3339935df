/// Messages that members of the replicated log exchange, and records that they write to disk.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::consensus {

/// Identity of a member. A member that lost its disk rejoins under a new identity. 0 means none.
using MemberId = uint64_t;

/// Content of a log entry.
enum class EntryKind : uint8_t { kEmpty, kCommand, kMembers };

/// One entry of the replicated log.
struct Entry {
  uint64_t index = 0;
  uint64_t term = 0;
  EntryKind kind = EntryKind::kEmpty;
  std::string payload;  ///< a command, or an encoded MemberList
  MSGPACK_DEFINE_ARRAY(index, term, kind, payload)
  bool operator==(const Entry&) const = default;
};

/// One member of the replication group.
struct Member {
  MemberId id = 0;
  std::string name;     ///< operator-assigned name of the machine
  std::string address;  ///< "address:port" of the peer protocol
  bool voter = false;   ///< false: a learner, which receives the log but does not count towards a quorum
  MSGPACK_DEFINE_ARRAY(id, name, address, voter)
  bool operator==(const Member&) const = default;
};

/// The group membership, as stored in an entry of kind kMembers and in a snapshot.
struct MemberList {
  std::vector<Member> members;
  MSGPACK_DEFINE_ARRAY(members)
  bool operator==(const MemberList&) const = default;
};

/// Raft state that must be on disk before a vote or an acknowledgement is sent.
struct HardState {
  uint64_t term = 0;
  MemberId voted_for = 0;
  MSGPACK_DEFINE_ARRAY(term, voted_for)
  bool operator==(const HardState&) const = default;
};

/// The complete state up to and including the entry at `index`.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  MemberList members;
  std::string state;
  MSGPACK_DEFINE_ARRAY(index, term, members, state)
};

/// Kinds of peer messages.
enum class MessageKind : uint8_t {
  kPreVote,  ///< asks whether a vote would be granted; changes no state at the receiver
  kPreVoteResponse,
  kVote,
  kVoteResponse,
  kAppend,  ///< entries after (log_index, log_term); empty ones are heartbeats
  kAppendResponse,
  kSnapshotChunk,  ///< part of an encoded Snapshot
  kSnapshotResponse,
  kTimeoutNow,  ///< leadership transfer: the receiver starts an election at once
};

/// One peer message. Which fields are used depends on `kind`.
struct Message {
  MessageKind kind = MessageKind::kAppend;
  MemberId from = 0;
  MemberId to = 0;
  uint64_t term = 0;
  uint64_t log_index =
      0;  ///< index before the entries of an append; last index of a candidate; match index in a response
  uint64_t log_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;  ///< heartbeat round, echoed in responses; used to confirm reads
  bool granted = false;
  std::vector<Entry> entries;
  uint64_t offset = 0;      ///< of a snapshot chunk; in an append response: log_index of the append
  bool last_chunk = false;  ///< of a snapshot chunk
  std::string bytes;        ///< of a snapshot chunk
  MSGPACK_DEFINE_ARRAY(kind, from, to, term, log_index, log_term, commit, round, granted, entries, offset,
                       last_chunk, bytes)
};

}  // namespace stoat::consensus

MSGPACK_ADD_ENUM(stoat::consensus::EntryKind);
MSGPACK_ADD_ENUM(stoat::consensus::MessageKind);
