/// Parsing of JSON bodies with the field names of the platform adapter.
#include <gtest/gtest.h>

#include "platform/names.h"
#include "src/common/hash.h"
#include "src/control/fleet_bodies.h"
#include "src/placement/cache_namespace.h"

namespace stoat::platform {
namespace {

constexpr char kConfiguration[] = R"({"version":7,
 "routes":[{"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":15000.0,
   "target_latency_ms":800,"priority":1,"traffic_split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],
   "attempts":2,"public":false,"sticky":true,"resumable":true,"gap_target_ms":500},
  {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe","timeout_ms":100,"service":"s2"}],
 "services":[{"name":"s1","health_path":"/health","connection_limit":300,
   "engine":{"slots":48,"key_value_tokens":107924,"key_value_bytes":163840,"models":[{"name":"m"}]}},
  {"name":"s2"},{"name":"s3","key_value_store":"172.20.0.2:8781","zone":"z"}],
 "limits":{"header_bytes":1000,"body_bytes":2000,"header_timeout_ms":30,"idle_timeout_ms":40},
 "tenants":[{"name":"t","access_keys":["k1","k2"],"priority":1,"isolated":true}],"later":{"unknown":1}})";

std::optional<fleet::FleetConfiguration> parse(const std::string& text,
                                               std::string* findings_text = nullptr) {
  Findings findings;
  auto configuration = control::read_configuration(text, body_names(), findings);
  if (findings_text != nullptr) {
    *findings_text = findings.to_text();
  }
  return configuration;
}

std::string with_replacement(const std::string& from, const std::string& to) {
  std::string text = kConfiguration;
  return text.replace(text.find(from), from.size(), to);
}

TEST(PlatformBodies, ParsesACompleteConfiguration) {
  const auto configuration = parse(kConfiguration);
  ASSERT_TRUE(configuration);
  EXPECT_EQ(configuration->version, 7U);
  EXPECT_EQ(configuration->routes[0].shares.size(), 2U);
  EXPECT_EQ(configuration->routes[0].timeout_ms, 15000);
  EXPECT_TRUE(configuration->routes[0].resumable);
  EXPECT_EQ(configuration->routes[1].kind, fleet::RouteKind::kUnsafe);
  EXPECT_EQ(configuration->services[2].store_address, "172.20.0.2:8781");
  EXPECT_EQ(configuration->limits.idle_timeout_ms, 40);
  EXPECT_TRUE(configuration->tenants[0].isolated);
}

constexpr char kQuota[] =
    R"("isolated":true,"unit":"tokens","requests_per_s":573606,"burst":1000.5,"uncached_tokens":200})";

TEST(PlatformBodies, ParsesATenantsQuota) {
  const auto configuration = parse(with_replacement("\"isolated\":true}", kQuota));
  ASSERT_TRUE(configuration);
  const fleet::TenantQuota& quota = configuration->tenants[0].quota;
  EXPECT_EQ(quota.unit, fleet::QuotaUnit::kTokens);
  EXPECT_EQ(quota.per_second, 573606);
  EXPECT_EQ(quota.burst, 1000.5);
  EXPECT_EQ(quota.cost_of(1460), 1460);
  EXPECT_EQ(quota.cost_of(std::nullopt), 200);
  EXPECT_FALSE(parse(kConfiguration)->tenants[0].quota.limited());
}

TEST(PlatformBodies, RejectsAnInvalidQuotaWithAllFindings) {
  std::string findings;
  EXPECT_FALSE(
      parse(with_replacement("\"isolated\":true}",
                             R"("isolated":true,"unit":"bytes","requests_per_s":-1,"burst":"much"})"),
            &findings));
  EXPECT_NE(findings.find("tenants[0].unit"), std::string::npos) << findings;
  EXPECT_NE(findings.find("tenants[0].requests_per_s"), std::string::npos) << findings;
  EXPECT_NE(findings.find("tenants[0].burst"), std::string::npos) << findings;
}

TEST(PlatformBodies, RejectsInvalidConfigurationsAndNamesTheField) {
  std::string findings;
  EXPECT_FALSE(parse(std::string(kConfiguration).substr(0, 400), &findings));
  EXPECT_FALSE(parse(with_replacement("\"timeout_ms\":100", "\"timeout_ms\":0"), &findings));
  EXPECT_NE(findings.find("routes.r2"), std::string::npos) << findings;
  EXPECT_FALSE(parse(with_replacement("\"service\":\"s2\"}]", "\"service\":\"gone\"}]")));
  EXPECT_FALSE(parse(with_replacement("/b/", "/a/")));
  EXPECT_FALSE(parse(with_replacement("\"kind\":\"unsafe\"", "\"kind\":\"other\""), &findings));
  EXPECT_NE(findings.find("routes[1].kind"), std::string::npos) << findings;
  EXPECT_FALSE(parse(with_replacement("\"version\":7", "\"version\":\"7\"")));
  EXPECT_FALSE(parse("[]"));
  EXPECT_FALSE(parse(""));
}

TEST(PlatformBodies, ParsesHeartbeats) {
  const auto record = control::read_heartbeat(
      "i-1",
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","slots":48,"state":"draining","sequence":4,"version":"v2",
               "models":[{"name":"m","version":2,"adapters":[]}]})",
      body_names());
  ASSERT_TRUE(record);
  EXPECT_EQ(record->id, "i-1");
  EXPECT_EQ(record->state, fleet::BackendState::kDraining);
  EXPECT_EQ(record->version_of("m"), 2U);
  EXPECT_EQ(record->software, "v2");
  EXPECT_FALSE(control::read_heartbeat("i-1", R"({"service":"s"})", body_names()));
  EXPECT_FALSE(control::read_heartbeat("i-1", "{", body_names()));
}

TEST(PlatformBodies, ParsesWeightsReportsAndCacheEvents) {
  EXPECT_EQ(control::read_named_weights(R"({"model":"m","version":2})")->version, 2U);
  EXPECT_FALSE(control::read_named_weights(R"({"model":"m"})"));
  EXPECT_TRUE(control::read_report(R"({"busy":true,"sequence":2,"models":[]})", body_names())->busy);
  const auto events = control::read_cache_events(
      R"({"epoch":7,"next_page_token":120,"lost":true,"events":[[119,"+","s-v2","5c1e",800,"m"],)"
      R"([120,"-","t-a-b-v3","91bd",128,"m"],[121,"+","another's","91bd",128,"m"],[122,"+"]]})",
      body_names());
  ASSERT_TRUE(events);
  EXPECT_EQ(events->epoch, 7U);
  EXPECT_EQ(events->next_event, 120U);
  EXPECT_TRUE(events->gap);
  ASSERT_EQ(events->holdings.size(), 2U);
  EXPECT_EQ(events->holdings[0].part, placement::part_hash("s", "m", hash_bytes("5c1e")));
  EXPECT_EQ(events->holdings[0].weights, 2U);
  EXPECT_EQ(events->holdings[0].tokens, 800U);
  EXPECT_EQ(events->holdings[1].part, placement::part_hash("t-a-b", "m", hash_bytes("91bd")));
  EXPECT_EQ(events->holdings[1].weights, 3U);
  EXPECT_FALSE(control::read_cache_events("nonsense", body_names()));
}

}  // namespace
}  // namespace stoat::platform
