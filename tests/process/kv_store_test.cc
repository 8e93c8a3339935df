// Real engines and a store of kept blocks: imports after the engines came back empty, and the store's loss
// under load.
#include "tests/process/fleet_fixture.h"

namespace stoat::tools {
namespace {

class KvStoreProcess : public FleetTest {
 protected:
  uint64_t imported_tokens() {
    uint64_t tokens = 0;
    for (const std::string& name : fleet_->names_with_prefix("engine-")) {
      const nlohmann::json ledger = fleet_->get(name, "/ledger");
      for (const nlohmann::json& run : ledger["runs"]) {
        tokens += run["imported_tokens"].get<uint64_t>();
      }
    }
    return tokens;
  }
};

TEST_F(KvStoreProcess, EnginesThatCameBackEmptyImportWhatTheyHadAndTheStoresLossBreaksNothing) {
  LocalFleetSettings settings = small_fleet("derwent");
  settings.kv_stores = 1;
  start(settings);
  expect_all_complete(run_load(3s));
  for (const std::string& name : fleet_->names_with_prefix("engine-")) {
    processes_->kill(name);
    processes_->start(name);
  }
  expect_promises(run_load(3s));
  EXPECT_GT(imported_tokens(), 0U);
  expect_all_complete(run_load(3s, {
                                       {500ms, [&] { processes_->kill("kv-store-1"); }},
                                       {1500ms, [&] { processes_->start("kv-store-1"); }},
                                   }));
}

}  // namespace
}  // namespace stoat::tools
