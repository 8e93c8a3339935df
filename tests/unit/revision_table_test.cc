/// Tables that send receivers the changes since a revision.
#include "src/fleet/revision_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <string>

namespace stoat {
namespace {

using Table = fleet::RevisionTable<std::string, int>;

/// A receiver that applies changes, at most `limit` at a time.
struct Receiver {
  uint64_t revision = 0;
  std::map<std::string, int> values;
  void update(const Table& table, size_t limit) {
    revision = table.visit_since(revision, limit, [this](const std::string& key, const int* value) {
      if (value == nullptr) {
        values.erase(key);
      } else {
        values[key] = *value;
      }
    });
  }
};

TEST(RevisionTable, SettingAnEqualValueIsNoChange) {
  Table table;
  EXPECT_TRUE(table.set("a", 1));
  EXPECT_FALSE(table.set("a", 1));
  EXPECT_FALSE(table.erase("b"));
  EXPECT_EQ(table.revision(), 1U);
}

TEST(RevisionTable, RepeatedlyChangedEntryIsVisitedOnce) {
  Table table;
  for (int value = 0; value < 100; ++value) {
    table.set("a", value);
    table.set("b", value);
  }
  int visited = 0;
  table.visit_since(0, 10, [&](const std::string&, const int*) { ++visited; });
  EXPECT_EQ(visited, 2);
}

TEST(RevisionTable, ReceiverTooFarBehindNeedsTheFullTable) {
  Table table(2);
  table.set("kept", 1);
  const uint64_t revision = table.revision();
  for (int i = 0; i < 5; ++i) {
    table.set("gone" + std::to_string(i), i);
    table.erase("gone" + std::to_string(i));
  }
  EXPECT_FALSE(table.can_update_from(revision));
  EXPECT_TRUE(table.can_update_from(0));
  EXPECT_TRUE(table.can_update_from(table.revision()));
  Receiver receiver;
  receiver.update(table, 100);
  EXPECT_EQ(receiver.values, (std::map<std::string, int>{{"kept", 1}}));
}

RC_GTEST_PROP(RevisionTable, ChangesInAnyBatchesYieldTheFullTable, ()) {
  Table table;
  std::map<std::string, int> model;
  Receiver receiver;
  const int steps = *rc::gen::inRange(1, 200);
  for (int step = 0; step < steps; ++step) {
    const std::string key(1, static_cast<char>('a' + *rc::gen::inRange(0, 8)));
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        table.erase(key);
        model.erase(key);
        break;
      case 1:
        table.set(key, step % 5);
        model[key] = step % 5;
        break;
      default:
        receiver.update(table, static_cast<size_t>(*rc::gen::inRange(1, 4)));
    }
  }
  RC_ASSERT(table.size() == model.size());
  for (int piece = 0; piece < 20; ++piece) {
    receiver.update(table, 1);
  }
  RC_ASSERT(receiver.values == model);
}

}  // namespace
}  // namespace stoat
