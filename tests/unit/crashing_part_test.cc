/// Requests that are never alike but share one part of their prompts, under which backends crash.
#include <deque>
#include <map>

#include "src/common/random.h"
#include "src/fleet/incarnation.h"
#include "tests/support/small_fleet.h"

namespace stoat {
namespace {

using standins::ReceivedRequest;
using standins::Script;
using standins::ScriptedEngine;
using test::status_of;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Crashes after which the part must be known, and the time within which all routers must have learned it.
constexpr size_t kKnownFromCrash = 5;
constexpr std::chrono::seconds kContact{3};
/// Requests with the part that may still be sent after that.
constexpr size_t kMaxLaterSends = 3;

/// Three routers and eight backends that stream. A backend crashes when it begins to answer a request with a
/// deadly part, and is back as a new incarnation a little later.
class CrashingPartTest : public test::SmallFleet {
 protected:
  static constexpr size_t kRouters = 3;
  static constexpr size_t kEngines = 8;
  static constexpr milliseconds kPrefill{30};
  static constexpr milliseconds kRun{150};

  void SetUp() override {
    ASSERT_TRUE(configure(make_configuration(1)));
    ports_ = {router_port_};
    while (ports_.size() < kRouters) {
      ports_.push_back(add_router());
    }
    for (size_t number = 0; number < kEngines; ++number) {
      start_engine(number);
    }
    supervisor_ = std::thread([this] {
      while (!stopping_) {
        restart_crashed_engines();
        std::this_thread::sleep_for(kSupervision);
      }
    });
  }
  void TearDown() override {
    stopping_ = true;
    supervisor_.join();
  }
  void start_engine(size_t number) {
    engines_[number] = std::make_unique<ScriptedEngine>(
        [this](const ReceivedRequest& seen) -> Script { return serve(seen); });
    add_engine(fleet::incarnation_id("engine" + std::to_string(number), ++incarnations_), "models",
               *engines_[number]);
    record_of_[number] = records_.back();
  }
  Script serve(const ReceivedRequest& seen) {
    const std::string head = "HTTP/1.1 200 OK\r\n" + test::engine_headers(seen) +
                             "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto event = [](int id) {
      const std::string text = "id: " + std::to_string(id) + "\ndata: x\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx", text.size());
      return std::string(size) + "\r\n" + text + "\r\n";
    };
    if (seen.header("X-Prompt-Parts").find(kDeadly) != std::string::npos) {
      const std::lock_guard<std::mutex> lock(mutex_);
      deadly_sends_.push_back(Clock::now());
      if (crashes_within_stream_) {
        return {standins::wait_step(kPrefill), standins::send_step(head + event(1)),
                standins::wait_step(kPrefill), standins::crash_step()};
      }
      return {standins::wait_step(kPrefill), standins::crash_step()};
    }
    return {standins::wait_step(kPrefill), standins::send_step(head + event(1)), standins::wait_step(kRun),
            standins::send_step(event(2) + "0\r\n\r\n")};
  }
  void restart_crashed_engines() {
    for (size_t number = 0; number < kEngines; ++number) {
      const auto now = Clock::now();
      if (engines_[number]->crashed() && restart_at_.count(number) == 0) {
        restart_at_[number] = now + kDownTime;
        const std::string id = record_of_[number].id;
        std::erase_if(records_, [&](const auto& record) { return record.id == id; });
      }
      if (restart_at_.count(number) > 0 && now >= restart_at_[number]) {
        restart_at_.erase(number);
        start_engine(number);
      }
    }
    send_engine_heartbeats();
  }
  std::string send(size_t router, const std::string& id, const std::string& parts) {
    test::RawClient client(ports_[router]);
    client.send(request("POST", "/resume/", id,
                        "X-Model: m\r\nX-Token-Counts: 300,10\r\nX-Prompt-Parts: " + parts +
                            "\r\nContent-Length: " + std::to_string(id.size()) +
                            "\r\nConnection: close\r\n") +
                id);
    return client.read_all();
  }
  /// Sound requests that were sent at one try, by when they were sent.
  struct Sound {
    Clock::time_point at;
    bool beside = false;  ///< shares its first part with the deadly requests
    bool served = false;
  };
  /// Sends deadly requests, no two alike, and sound ones, of which a quarter share the deadly ones' first
  /// part.
  void send_mix(std::chrono::seconds span, milliseconds between_deadly) {
    const auto end = Clock::now() + span;
    std::vector<std::thread> threads;
    threads.emplace_back([this, end, between_deadly] {
      std::vector<std::thread> calls;
      for (size_t number = 0; Clock::now() < end; ++number) {
        const std::string own = std::to_string(number);
        calls.emplace_back([this, number, own] {
          std::string parts = "guide:100,";
          parts.append(kDeadly).append(":100,d").append(own).append(":100");
          send(number % kRouters, "deadly" + own, parts);
        });
        std::this_thread::sleep_for(between_deadly);
      }
      for (std::thread& call : calls) {
        call.join();
      }
    });
    for (size_t client = 0; client < kSoundClients; ++client) {
      threads.emplace_back([this, client, end] {
        for (size_t number = 0; Clock::now() < end; ++number) {
          const std::string own = std::to_string(client) + "-" + std::to_string(number);
          const bool beside = client % 4 == 0;
          Sound sound{Clock::now(), beside, false};
          std::string parts = beside ? "guide" : "other" + std::to_string(client);
          parts.append(":100,chapter").append(std::to_string(number % 5)).append(":100,s");
          parts.append(own).append(":100");
          const std::string answer = send((client + number) % kRouters, "sound" + own, parts);
          sound.served = status_of(answer) == "HTTP/1.1 200" && answer.find("id: 2") != std::string::npos;
          {
            const std::lock_guard<std::mutex> lock(mutex_);
            sound_.push_back(sound);
          }
          std::this_thread::sleep_for(kSoundPause);
        }
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }
  /// Deadly requests sent to backends later than kContact after the fifth crash.
  size_t later_sends() const {
    if (deadly_sends_.size() <= kKnownFromCrash) {
      return 0;
    }
    const auto from = deadly_sends_[kKnownFromCrash - 1] + kPrefill + kContact;
    return std::count_if(deadly_sends_.begin(), deadly_sends_.end(), [&](auto at) { return at > from; });
  }
  /// Share of the sound requests that were served, from 2 kContact after the fifth crash, or the last one.
  double served_share(bool beside) const {
    const size_t known = std::min(kKnownFromCrash, deadly_sends_.size()) - 1;
    const auto from = deadly_sends_[known] + 2 * kContact;
    double all = 0;
    double served = 0;
    for (const Sound& sound : sound_) {
      if (sound.at >= from && sound.beside == beside) {
        all += 1;
        served += sound.served ? 1 : 0;
      }
    }
    return all == 0 ? 0 : served / all;
  }
  void expect_part_is_known() {
    RecordProperty("deadly_sends", static_cast<int>(deadly_sends_.size()));
    RecordProperty("later_sends", static_cast<int>(later_sends()));
    RecordProperty("served_beside_per_mille", static_cast<int>(1000 * served_share(true)));
    RecordProperty("served_others_per_mille", static_cast<int>(1000 * served_share(false)));
    EXPECT_GE(deadly_sends_.size(), 2U);
    EXPECT_LE(later_sends(), kMaxLaterSends) << deadly_sends_.size() << " in all";
    EXPECT_GE(served_share(true), 0.9);
    EXPECT_GE(served_share(false), 0.9);
    const std::string refused = send(0, "last", "guide:100," + std::string(kDeadly) + ":100,last:100");
    EXPECT_EQ(status_of(refused), "HTTP/1.1 503") << refused;
    EXPECT_NE(refused.find("Retry-After: "), std::string::npos) << refused;
  }

  static constexpr const char* kDeadly = "deadly";
  static constexpr milliseconds kSupervision{200};
  static constexpr milliseconds kDownTime{1500};
  static constexpr size_t kSoundClients = 12;
  static constexpr milliseconds kSoundPause{100};
  bool crashes_within_stream_ = false;
  std::atomic<bool> stopping_{false};
  std::thread supervisor_;
  std::vector<uint16_t> ports_;
  uint64_t incarnations_ = 0;
  std::map<size_t, std::unique_ptr<ScriptedEngine>> engines_;
  std::map<size_t, fleet::BackendRecord> record_of_;
  std::map<size_t, Clock::time_point> restart_at_;
  std::mutex mutex_;
  std::vector<Clock::time_point> deadly_sends_;
  std::vector<Sound> sound_;
};

TEST_F(CrashingPartTest, RequestsThatShareADeadlyPartCrashBackEndAfterBackEnd) {
  send_mix(std::chrono::seconds(14), milliseconds(250));
  expect_part_is_known();
}

TEST_F(CrashingPartTest, BackEndsCrashWithinStreamsThatShareADeadlyPart) {
  crashes_within_stream_ = true;
  send_mix(std::chrono::seconds(14), milliseconds(250));
  expect_part_is_known();
}

}  // namespace
}  // namespace stoat
