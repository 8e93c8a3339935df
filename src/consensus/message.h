/// What the members of the replicated log send to one another and write to disk.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace stoat::consensus {

/// Identity of a member. A member whose disk was lost comes back under a new identity. 0 means none.
using MemberId = uint64_t;

/// What a log entry holds.
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

/// One member as the log knows it.
struct Member {
  MemberId id = 0;
  std::string name;     ///< the operators' name of the machine's place
  std::string address;  ///< "address:port" of the peer protocol
  bool voter = false;   ///< false: a learner, which receives the log but does not count
  MSGPACK_DEFINE_ARRAY(id, name, address, voter)
  bool operator==(const Member&) const = default;
};

/// The members, as carried by an entry of kind kMembers and by a snapshot.
struct MemberList {
  std::vector<Member> members;
  MSGPACK_DEFINE_ARRAY(members)
  bool operator==(const MemberList&) const = default;
};

/// What must be on disk before a vote or an acknowledgement leaves the machine.
struct HardState {
  uint64_t term = 0;
  MemberId voted_for = 0;
  MSGPACK_DEFINE_ARRAY(term, voted_for)
  bool operator==(const HardState&) const = default;
};

/// The state up to and including `index`, in one piece.
struct Snapshot {
  uint64_t index = 0;
  uint64_t term = 0;
  MemberList members;
  std::string state;
  MSGPACK_DEFINE_ARRAY(index, term, members, state)
};

/// Kinds of peer messages.
enum class MessageKind : uint8_t {
  kPreVote,  ///< would you vote for me? changes nothing at the receiver
  kPreVoteResponse,
  kVote,
  kVoteResponse,
  kAppend,  ///< entries after (log_index, log_term); empty ones are heartbeats
  kAppendResponse,
  kSnapshotChunk,  ///< one piece of an encoded Snapshot
  kSnapshotResponse,
  kTimeoutNow,  ///< the leader hands over on a planned stop
};

/// One peer message. Which fields count depends on `kind`.
struct Message {
  MessageKind kind = MessageKind::kAppend;
  MemberId from = 0;
  MemberId to = 0;
  uint64_t term = 0;
  uint64_t log_index =
      0;  ///< previous index of an append; last index of a candidate; match index of an answer
  uint64_t log_term = 0;
  uint64_t commit = 0;
  uint64_t round = 0;  ///< heartbeat round, echoed by answers; confirms reads
  bool granted = false;
  std::vector<Entry> entries;
  uint64_t offset = 0;      ///< of a snapshot piece; of an append's answer: the log_index that it answers
  bool last_chunk = false;  ///< of a snapshot piece
  std::string bytes;        ///< of a snapshot piece
  MSGPACK_DEFINE_ARRAY(kind, from, to, term, log_index, log_term, commit, round, granted, entries, offset,
                       last_chunk, bytes)
};

}  // namespace stoat::consensus

MSGPACK_ADD_ENUM(stoat::consensus::EntryKind);
MSGPACK_ADD_ENUM(stoat::consensus::MessageKind);
