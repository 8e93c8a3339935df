/// Subsets and load accounting in a service of ten thousand backends.
#include "src/dispatch/service_ring.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "src/dispatch/backend_pool.h"

namespace stoat {
namespace {

using dispatch::BackendPool;
using dispatch::BackendPtr;

constexpr size_t kBackends = 10000;
constexpr size_t kSubsetSize = 256;

fleet::BackendRecord backend(size_t number) {
  fleet::BackendRecord record;
  record.id = "e" + std::to_string(number);
  record.service = "models";
  record.address = "10.0.0.1:" + std::to_string(number + 1);
  record.slots = 16;
  return record;
}

std::set<std::string> ids_of(const std::vector<BackendPtr>& backends) {
  std::set<std::string> ids;
  for (const BackendPtr& entry : backends) {
    ids.insert(entry->record.id);
  }
  return ids;
}

class LargeServiceTest : public testing::Test {
 protected:
  LargeServiceTest() {
    for (size_t number = 0; number < kBackends; ++number) {
      pool_.put(backend(number));
    }
  }
  EventLoop loop_;
  BackendPool pool_{loop_};
};

TEST_F(LargeServiceTest, SubsetsHaveAFixedSizeAndTogetherCoverTheService) {
  std::set<std::string> covered;
  for (uint64_t step = 0; step < kBackends; ++step) {
    const auto subset = pool_.subset("models", step * (UINT64_MAX / kBackends), kSubsetSize);
    ASSERT_EQ(subset.size(), kSubsetSize);
    covered.merge(ids_of(subset));
  }
  EXPECT_EQ(covered.size(), kBackends);
}

TEST_F(LargeServiceTest, SubsetDoesNotDependOnTheOrderOfInsertion) {
  BackendPool other(loop_);
  for (size_t number = kBackends; number > 0; --number) {
    other.put(backend(number - 1));
  }
  EXPECT_EQ(ids_of(pool_.subset("models", 77, kSubsetSize)), ids_of(other.subset("models", 77, kSubsetSize)));
}

TEST_F(LargeServiceTest, RemovingABackEndChangesTheSubsetByOne) {
  const auto before = pool_.subset("models", 77, kSubsetSize);
  pool_.remove(before.front()->record.id);
  const std::set<std::string> after = ids_of(pool_.subset("models", 77, kSubsetSize));
  const auto kept = std::count_if(before.begin(), before.end(),
                                  [&](const BackendPtr& entry) { return after.count(entry->record.id) > 0; });
  EXPECT_EQ(kept, static_cast<int64_t>(kSubsetSize) - 1);
  EXPECT_EQ(pool_.count("models"), kBackends - 1);
}

TEST_F(LargeServiceTest, SmallServiceIsOneSubset) {
  BackendPool small(loop_);
  for (size_t number = 0; number < 12; ++number) {
    small.put(backend(number));
  }
  EXPECT_EQ(small.subset("models", 1, kSubsetSize).size(), 12U);
  EXPECT_EQ(ids_of(small.subset("models", 1, kSubsetSize)),
            ids_of(small.subset("models", UINT64_MAX, kSubsetSize)));
}

TEST_F(LargeServiceTest, ExcludesBackEndsBeyondTheRequestedState) {
  const auto subset = pool_.subset("models", 5, kSubsetSize);
  pool_.retire({{subset.front()->record.id, fleet::BackendState::kDraining}});
  EXPECT_EQ(pool_.subset("models", 5, kSubsetSize).size(), kSubsetSize - 1);
  EXPECT_EQ(pool_.subset("models", 5, kSubsetSize, fleet::BackendState::kDraining).size(), kSubsetSize);
}

TEST_F(LargeServiceTest, ReportsOnlyLoadsOfBackEndsWithRequests) {
  const BackendPtr busy = pool_.find("e4711");
  pool_.begin_request(busy);
  pool_.begin_request(busy);
  ASSERT_EQ(pool_.own_loads().size(), 1U);
  EXPECT_EQ(pool_.own_loads().front().outstanding, 2U);
  pool_.end_request(busy);
  pool_.end_request(busy);
  EXPECT_TRUE(pool_.own_loads().empty());
}

TEST_F(LargeServiceTest, RequestEndingAtAFormerIncarnationDoesNotAffectTheNext) {
  const BackendPtr former = pool_.find("e7");
  pool_.begin_request(former);
  pool_.remove("e7");
  pool_.put(backend(7));
  pool_.begin_request(pool_.find("e7"));
  pool_.end_request(former);
  ASSERT_EQ(pool_.own_loads().size(), 1U);
  EXPECT_EQ(pool_.own_loads().front().outstanding, 1U);
}

}  // namespace
}  // namespace stoat
