// A simulated fleet for one named failure; whatever the test does, the checks hold at its end.
#pragma once

#include <gtest/gtest.h>

#include <memory>

#include "simulation/fleet_simulation.h"

namespace stoat::simulation {

class FleetScenarioFixture : public testing::Test {
 protected:
  static FleetSimulationOptions quiet_options() {
    FleetSimulationOptions options = faulty_fleet_options(5, "kavelwind", 0s);
    options.random_faults = false;
    options.engine.feed.gap_probability = 0;
    return options;
  }

  void start(const FleetSimulationOptions& options = quiet_options()) {
    simulation_ = std::make_unique<FleetSimulation>(options);
  }

  static tools::PlannedRequest bid(const std::string& key) {
    tools::PlannedRequest request;
    request.request_class = tools::RequestClass::kDecision;
    request.tenant = "owner-1";
    request.serves = "bidmodel";
    request.prompt = shared_text() + "bid " + key;
    request.max_tokens = 40;
    request.repeatable = false;
    request.idempotency_key = key;
    return request;
  }

  static tools::PlannedRequest question(const std::string& tenant, const std::string& text) {
    tools::PlannedRequest request;
    request.tenant = tenant;
    request.serves = "bidmodel";
    request.prompt = shared_text() + text;
    request.max_tokens = 40;
    return request;
  }

  static std::string shared_text() {
    std::string text;
    for (int word = 0; word < 400; ++word) {
      text += "word" + std::to_string(word) + " ";
    }
    return text;
  }

  const CallerRecord& record(size_t position) const { return simulation_->records()[position]; }

  /// Sends a request and runs until it streams.
  size_t send_until_streaming(const tools::PlannedRequest& request) {
    const size_t sent = simulation_->send(request);
    for (int wait = 0; wait < 5000 && record(sent).text.size() < 20; ++wait) {
      simulation_->run_for(1ms);
    }
    EXPECT_FALSE(record(sent).text.empty());
    EXPECT_FALSE(record(sent).finished);
    return sent;
  }

  void expect_complete(size_t sent) {
    ASSERT_TRUE(simulation_->run_until_ended(sent));
    EXPECT_EQ(record(sent).result.outcome, wire::Outcome::kComplete)
        << static_cast<int>(record(sent).result.reason) << " " << record(sent).result.message;
  }

  void TearDown() override {
    if (simulation_ == nullptr) {
      return;
    }
    const FleetReport report = simulation_->finish();
    for (const std::string& violation : report.violations) {
      ADD_FAILURE() << violation;
    }
  }

  std::unique_ptr<FleetSimulation> simulation_;
};

}  // namespace stoat::simulation
