// Requests whose route or key is unknown at a router that may not have the newest configuration.
#include <gtest/gtest.h>

#include "src/control/configuration_publisher.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using test::status_of;

/// A fleet whose router counts its configuration as unconfirmed after a short time.
class UnconfirmedRefusalTest : public test::SmallFleet {
 protected:
  UnconfirmedRefusalTest() {
    router_settings_.configuration_max_age = 300ms;
    router_port_ = add_router();
  }
  uint16_t add_router() {
    run_on_router_loop([this] {
      additional_routers_.push_back(make_router("r2"));
      return true;
    });
    return router_settings_.listen.port;
  }
};

// A router that no member confirmed answered 404, and 401, from an old configuration.
TEST_F(UnconfirmedRefusalTest, UnknownRouteAndKeyAreNotRefusedForGoodWithoutConfirmation) {
  ASSERT_TRUE(configure(make_configuration(1)));
  ASSERT_TRUE(wait_for([this] { return additional_routers_.back()->ready(); }));
  EXPECT_EQ(status_of(send_request("GET", "/none/", "q1")), "HTTP/1.1 404");
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q2", "", "other")), "HTTP/1.1 401");
  freeze_control();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::string response = send_request("GET", "/none/", "q3");
  EXPECT_EQ(status_of(response), "HTTP/1.1 503");
  EXPECT_NE(response.find("Retry-After"), std::string::npos);
  EXPECT_EQ(status_of(send_request("GET", "/safe/", "q4", "", "other")), "HTTP/1.1 503");
}

/// A router with one member, played by the test, that has version 1 and announces version 2.
class AnnouncedConfigurationTest : public ::testing::Test {
 protected:
  AnnouncedConfigurationTest() {
    member_ = std::make_unique<wire::ChannelServer>(
        loop_, member_endpoint_,
        [this](const std::shared_ptr<wire::Channel>& channel, const wire::Message& message) {
          on_message(channel, message);
        },
        [](const std::shared_ptr<wire::Channel>&) {});
    fleet::FleetConfiguration configuration;
    configuration.version = 1;
    configuration.routes.resize(1);
    configuration.routes[0].host = "h";
    configuration.routes[0].path_prefix = "/old/";
    publish(configuration);
    gateway::GatewaySettings settings;
    settings.name = "r1";
    settings.listen = {"127.0.0.1", test::free_port()};
    settings.link.seeds = {member_endpoint_};
    settings.link.status_interval = 50ms;
    port_ = settings.listen.port;
    router_ = std::make_unique<gateway::GatewayServer>(loop_, settings, dispatch::HeaderNames{});
    thread_ = std::thread([this] { loop_.run(); });
    while (!test::run_on(loop_, [this] { return router_->ready(); })) {
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  }
  ~AnnouncedConfigurationTest() override {
    loop_.post([this] { loop_.stop(); });
    thread_.join();
  }
  void publish(const fleet::FleetConfiguration& configuration) {
    newest_ = configuration;
    publisher_.publish(newest_);
  }
  void on_message(const std::shared_ptr<wire::Channel>& channel, const wire::Message& message) {
    if (const auto* status = std::get_if<fleet::RouterStatus>(&message.value)) {
      fleet::FleetUpdate update;
      update.answers = status->sequence;
      update.leads = true;
      update.quorum_age_ms = 1;
      update.confirmed_version = publisher_.version();
      update.configuration_version = publisher_.version();
      update.protocol_version = fleet::kProtocolVersion;
      channel->send(update);
    } else if (const auto* request = std::get_if<fleet::ConfigurationRequest>(&message.value)) {
      for (const fleet::ConfigurationPart& part : publisher_.parts_for(*request, newest_)) {
        if (answers_requests_) {
          channel->send(part);
        }
      }
    }
  }
  /// Announces version 2, whose parts the member sends only if `answered`.
  void announce(bool answered) {
    test::run_on(loop_, [&] {
      answers_requests_ = answered;
      fleet::FleetConfiguration next = newest_;
      next.version = 2;
      publish(next);
      return true;
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(200));  // until the router has heard of it
  }
  std::string get(const std::string& path) const {
    test::RawClient client(port_);
    client.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return status_of(client.read_all());
  }

  EventLoop loop_;
  Endpoint member_endpoint_{"127.0.0.1", test::free_port()};
  std::unique_ptr<wire::ChannelServer> member_;
  control::ConfigurationPublisher publisher_;
  fleet::FleetConfiguration newest_;
  bool answers_requests_ = true;
  uint16_t port_ = 0;
  std::unique_ptr<gateway::GatewayServer> router_;
  std::thread thread_;
};

// A router answered 404 though it had heard of a newer configuration.
TEST_F(AnnouncedConfigurationTest, UnknownRouteWaitsForTheAnnouncedConfiguration) {
  EXPECT_EQ(get("/none/"), "HTTP/1.1 404");
  announce(false);
  auto response = std::async(std::launch::async, [this] { return get("/none/"); });
  EXPECT_EQ(response.wait_for(std::chrono::milliseconds(300)), std::future_status::timeout);
  test::run_on(loop_, [this] { return answers_requests_ = true; });
  EXPECT_EQ(response.get(), "HTTP/1.1 404");
}

TEST_F(AnnouncedConfigurationTest, UnknownRouteIsNotRefusedForGoodWhileTheConfigurationIsMissing) {
  announce(false);
  EXPECT_EQ(get("/none/"), "HTTP/1.1 503");
}

}  // namespace
}  // namespace stoat
