// Traces of both deployments, each with the outcome that every request must have.
#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "simulation/trace_replay.h"
#include "tests/support/paths.h"

namespace stoat::simulation {
namespace {

ReplayResult replay_file(const std::string& name) {
  std::ifstream file(test::source_folder() + "/tests/replay/traces/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return replay_trace(name, text.str());
}

TEST(Replay, KavelwindsBidsAndBriefs) {
  const ReplayResult result = replay_file("kavelwind.jsonl");
  EXPECT_TRUE(result.findings.empty()) << result.findings.to_text();
  EXPECT_EQ(result.expectations, 12U);
}

TEST(Replay, DerwentsChecksQuestionsAndExtractions) {
  const ReplayResult result = replay_file("derwent.jsonl");
  EXPECT_TRUE(result.findings.empty()) << result.findings.to_text();
  EXPECT_EQ(result.expectations, 9U);
}

TEST(Replay, AnOutcomeThatDiffersIsReportedWithItsLine) {
  const ReplayResult result = replay_trace(
      "trace",
      "{\"event\":\"request\",\"id\":\"a\",\"tenant\":\"owner-1\",\"serves\":\"bidmodel\",\"text\":\"q\"}\n"
      "{\"event\":\"expect\",\"id\":\"a\",\"outcome\":\"failed\"}\n");
  EXPECT_EQ(result.findings.to_text(), "trace:2: outcome: must be \"failed\" and is \"complete\"\n");
}

TEST(Replay, AMalformedLineIsReportedAndNothingIsPlayed) {
  const ReplayResult result = replay_trace("trace", "{\"event\":\"setup\"}\nnot json\n");
  EXPECT_EQ(result.findings.to_text(), "trace:2: must be a JSON object\n");
  EXPECT_EQ(result.requests, 0U);
}

}  // namespace
}  // namespace stoat::simulation
