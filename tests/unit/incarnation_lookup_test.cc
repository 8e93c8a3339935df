// Which incarnation is running of a backend that is named without its start time.
#include "src/control/incarnation_lookup.h"

#include <gtest/gtest.h>

#include "src/fleet/backend_registry.h"

namespace stoat::control {
namespace {

class IncarnationLookupTest : public testing::Test {
 protected:
  void start(const std::string& name) {
    EXPECT_TRUE(lookup_.start(
        name, [this](const IncarnationLookupResult& result) { results_.push_back(result); }, 0s));
  }
  /// Asks a process for `name`, which answers with these ids at once.
  void ask(const std::string& process, const std::string& name, const std::vector<std::string>& ids) {
    const auto request = lookup_.make_request(process);
    ASSERT_TRUE(request);
    EXPECT_EQ(request->names, std::vector<std::string>{name});
    fleet::IncarnationResponse response;
    response.number = request->number;
    for (const std::string& id : ids) {
      response.incarnations.push_back({name, id});
    }
    lookup_.on_response(response);
  }
  IncarnationLookup lookup_;
  std::vector<IncarnationLookupResult> results_;
};

// A process whose news were old made the member retire an incarnation that had ended before.
TEST_F(IncarnationLookupTest, OlderIncarnationThatIsNamedFirstIsTaken) {
  start("e");
  ask("r1", "e", {"e@5"});
  ask("r2", "e", {"e@7"});
  ask("r3", "e", {});
  lookup_.end_due(1s);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].id, "e@7");
  EXPECT_EQ(results_[0].answered, 3U);
  EXPECT_FALSE(lookup_.in_progress());
}

// A member that had just started ended a lookup before its routers had connected again.
TEST_F(IncarnationLookupTest, LookupEndsBeforeProcessesHaveConnected) {
  start("e");
  ask("r1", "e", {});
  lookup_.end_due(400ms);
  EXPECT_TRUE(results_.empty()) << "others may know it";
  ask("r2", "e", {"e@7"});
  lookup_.end_due(400ms);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].id, "e@7");
}

TEST_F(IncarnationLookupTest, ProcessThatDoesNotAnswerDelaysTheEndToTheLimit) {
  start("e");
  ask("r1", "e", {"e@7"});
  EXPECT_TRUE(lookup_.make_request("r2"));
  lookup_.end_due(400ms);
  EXPECT_TRUE(results_.empty());
  lookup_.end_due(900ms);
  ASSERT_EQ(results_.size(), 1U);
  EXPECT_EQ(results_[0].id, "e@7");
  EXPECT_EQ(results_[0].asked, 2U);
  EXPECT_EQ(results_[0].answered, 1U);
}

TEST_F(IncarnationLookupTest, ProcessIsAskedAgainOnANewConnection) {
  start("e");
  EXPECT_TRUE(lookup_.make_request("r1"));
  EXPECT_FALSE(lookup_.make_request("r1"));
  lookup_.on_connection_ended("r1");
  ask("r1", "e", {"e@7"});
  lookup_.end_due(300ms);
  ASSERT_EQ(results_.size(), 1U);
}

TEST_F(IncarnationLookupTest, CallsForOneNameShareALookup) {
  start("e");
  start("e");
  ask("r1", "e", {"e@7"});
  EXPECT_FALSE(lookup_.make_request("r1"));
  lookup_.end_due(300ms);
  EXPECT_EQ(results_.size(), 2U);
}

TEST_F(IncarnationLookupTest, NumberOfLookupsIsBounded) {
  size_t started = 0;
  while (started < 100000 && lookup_.start(
                                 std::to_string(started), [](const auto&) {}, 0s)) {
    ++started;
  }
  EXPECT_LT(started, 100000U);
  start("7");  // joins one that is in progress
}

// A repeated call found no incarnation once another backend had registered at the address.
TEST(BackendRegistryTest, IncarnationIsForgottenWhenItsAddressIsTaken) {
  fleet::BackendRegistry registry{fleet::RegistryOptions{}};
  fleet::BackendRecord record;
  record.service = "s";
  record.address = "10.0.0.1:80";
  record.sequence = 1;
  record.id = "e@5";
  registry.on_heartbeat(record, 1s);
  record.id = "f@6";
  registry.on_heartbeat(record, 2s);
  EXPECT_EQ(registry.find("e@5"), nullptr);
  EXPECT_EQ(registry.newest_incarnation("e"), "e@5");
  EXPECT_EQ(registry.newest_incarnation("f@6"), "f@6");
  EXPECT_EQ(registry.newest_incarnation("g"), "");
}

}  // namespace
}  // namespace stoat::control
