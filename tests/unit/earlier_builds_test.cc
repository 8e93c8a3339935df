// Messages and stored records of earlier builds, in both directions.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <map>

#include "src/control/state_machine.h"
#include "src/storage/replica_store.h"
#include "src/wire/messages.h"
#include "tests/support/paths.h"

namespace stoat {
namespace {

constexpr char kProduction[] = "f5a896a";

std::string from_hex(const std::string& text) {
  std::string bytes;
  for (size_t position = 0; position + 1 < text.size(); position += 2) {
    bytes.push_back(static_cast<char>(std::stoi(text.substr(position, 2), nullptr, 16)));
  }
  return bytes;
}

std::map<std::string, std::string> records_of(const std::string& build) {
  std::ifstream file(test::source_root() + "/tests/data/builds/" + build + ".hex");
  std::map<std::string, std::string> records;
  for (std::string name, bytes; file >> name >> bytes;) {
    records[name] = from_hex(bytes);
  }
  return records;
}

/// Whether a build that knows only the fields of `earlier` reads the same values from `later`: lists may only
/// gain elements at their end, and nothing else may differ.
bool extends(const msgpack::object& later, const msgpack::object& earlier) {
  if (earlier.type != msgpack::type::ARRAY) {
    return later == earlier;
  }
  if (later.type != msgpack::type::ARRAY || later.via.array.size < earlier.via.array.size) {
    return false;
  }
  for (uint32_t position = 0; position < earlier.via.array.size; ++position) {
    if (!extends(later.via.array.ptr[position], earlier.via.array.ptr[position])) {
      return false;
    }
  }
  return true;
}

std::string text_of(const std::string& bytes) {
  std::ostringstream text;
  text << msgpack::unpack(bytes.data(), bytes.size()).get();
  return text.str();
}

void expect_extends(const std::string& name, const std::string& later, const std::string& earlier) {
  const auto later_object = msgpack::unpack(later.data(), later.size());
  const auto earlier_object = msgpack::unpack(earlier.data(), earlier.size());
  EXPECT_TRUE(extends(later_object.get(), earlier_object.get()))
      << name << "\n  earlier build: " << text_of(earlier) << "\n  this build:    " << text_of(later);
}

template <typename Value>
void expect_same_in_both_directions(const std::string& name, const std::string& bytes) {
  const auto value = wire::decode<Value>(bytes);
  ASSERT_TRUE(value.has_value()) << name << ": " << value.error().message;
  expect_extends(name, wire::encode(*value), bytes);
}

/// All records whose names start with `kind` and a dot.
template <typename Value>
void expect_all_same_in_both_directions(const std::string& kind) {
  size_t count = 0;
  for (const auto& [name, bytes] : records_of(kProduction)) {
    if (name.starts_with(kind + ".")) {
      ++count;
      expect_same_in_both_directions<Value>(name, bytes);
    }
  }
  EXPECT_GT(count, 0U);
}

template <typename Alternative>
Alternative message_of(const std::string& name) {
  const auto message = wire::decode<wire::Message>(records_of(kProduction)[name]);
  const auto* alternative = message ? std::get_if<Alternative>(&message->value) : nullptr;
  EXPECT_NE(alternative, nullptr) << name;
  return alternative == nullptr ? Alternative{} : *alternative;
}

// Routers did not get configurations from members of the other build: the numbers of all messages differed.
TEST(EarlierBuildsTest, MessagesOfTheProductionBuildAreReadAndWrittenAlike) {
  expect_all_same_in_both_directions<wire::Message>("message");
}

// A message that is read as another type is worse than one that is not read.
TEST(EarlierBuildsTest, MessagesOfTheProductionBuildKeepTheirTypes) {
  EXPECT_EQ(message_of<wire::ControlCall>("message.ControlCall").call_id, 41U);
  EXPECT_EQ(message_of<wire::ControlResponse>("message.ControlResponse").result.code,
            control::ResultCode::kInvalid);
  EXPECT_EQ(message_of<wire::ControlResponse>("read_only.message.ControlResponse").call_id, 43U);
  EXPECT_EQ(message_of<wire::PeerMessage>("message.PeerMessage").message.term, 3U);
  EXPECT_EQ(message_of<wire::JoinRequest>("message.JoinRequest").member.id, 51U);
  EXPECT_EQ(message_of<fleet::RouterStatus>("message.RouterStatus").sequence, 61U);
  EXPECT_EQ(message_of<fleet::FleetUpdate>("message.FleetUpdate").confirmed_version, 7U);
  EXPECT_EQ(message_of<fleet::PeerUpdate>("message.PeerUpdate").number, 81U);
  EXPECT_EQ(message_of<fleet::ConfirmedRead>("message.ConfirmedRead").call_id, 101U);
  EXPECT_EQ(message_of<fleet::ConfirmedReadResponse>("message.ConfirmedReadResponse").source, "document");
  EXPECT_EQ(message_of<fleet::MemberAddresses>("message.MemberAddresses").addresses.size(), 2U);
  EXPECT_EQ(message_of<fleet::PlacementUpdate>("message.PlacementUpdate").placements.size(), 1U);
  EXPECT_EQ(message_of<fleet::FleetFeedUpdate>("message.FleetFeedUpdate").gone.size(), 1U);
  EXPECT_EQ(message_of<fleet::RouterLoads>("message.RouterLoads").spending_sequence, 111U);
  EXPECT_EQ(message_of<fleet::ConfirmationRequest>("message.ConfirmationRequest").number, 121U);
  EXPECT_EQ(message_of<fleet::ConfirmationResponse>("message.ConfirmationResponse").number, 122U);
}

// A member passed over all entries that the production build had written to its disk.
TEST(EarlierBuildsTest, CommandsOfTheProductionBuildAreReadAndWrittenAlike) {
  expect_all_same_in_both_directions<control::Command>("command");
}

// A member started without the configuration that its snapshot holds.
TEST(EarlierBuildsTest, SnapshotsOfTheProductionBuildAreReadAndWrittenAlike) {
  const std::string bytes = records_of(kProduction)["snapshot.state"];
  control::StateMachine state;
  ASSERT_TRUE(state.load(bytes));
  EXPECT_EQ(state.fleet().configuration().version, 7U);
  EXPECT_EQ(state.fleet().retired().size(), 1U);
  expect_extends("snapshot.state", state.save(), bytes);
}

// A disk of the production build keeps its identity, its snapshot and its entries.
TEST(EarlierBuildsTest, DisksOfTheProductionBuildAreRestored) {
  const auto folder = std::filesystem::path(testing::TempDir()) / ("builds-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  for (const char* name : {"identity", "snapshot", "log"}) {
    std::ofstream(folder / name, std::ios::binary) << records_of(kProduction)["file." + std::string(name)];
  }
  storage::DiskFileSystem files(folder.string());
  storage::ReplicaStore store(files);
  const auto restored = storage::restore_member(store, "core-1");
  ASSERT_EQ(restored.state.entries.size(), 1U);
  EXPECT_EQ(restored.state.snapshot.index, 4U);
  EXPECT_EQ(restored.state.hard_state.term, 2U);
  const auto command = wire::decode<control::Command>(restored.state.entries.front().payload);
  ASSERT_TRUE(command.has_value());
  const auto* put = std::get_if<fleet::PutConfiguration>(&command->value);
  ASSERT_NE(put, nullptr);
  EXPECT_EQ(put->source, "later document");
  std::filesystem::remove_all(folder);
}

// A disk of a build that wrote other tags and another snapshot must not look empty.
TEST(EarlierBuildsTest, CommandsAndSnapshotsOfTheBuildAfterProductionAreRead) {
  const auto records = records_of("a60f4a0");
  control::StateMachine applied;
  for (const char* name : {"PutConfiguration", "SetTargetWeights", "RetireBackend", "StartServiceRollout",
                           "StepServiceRollout"}) {
    const auto command = wire::decode<control::Command>(records.at("command." + std::string(name)));
    ASSERT_TRUE(command.has_value()) << name;
    applied.apply(*command);
  }
  control::StateMachine loaded;
  ASSERT_TRUE(loaded.load(records.at("snapshot.state")));
  EXPECT_EQ(loaded.fleet().source(), "document");
  EXPECT_EQ(loaded.fleet().rollouts().at("s1").share, 0.25);
  EXPECT_EQ(loaded.save(), applied.save());
}

}  // namespace
}  // namespace stoat
