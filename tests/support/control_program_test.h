/// A control member with its HTTP API, in the process of the test.
#pragma once

#include "src/control/control_program.h"
#include "src/http/blocking.h"
#include "tests/support/small_fleet.h"

namespace stoat::test {

/// Test fixture that runs a complete control member program on a thread.
class ControlProgramTest : public ::testing::Test {
 protected:
  ControlProgramTest() {
    folder_ =
        std::filesystem::temp_directory_path() / ("stoat-control-program-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder_);
    control::ControlProgramSettings settings;
    settings.fleet.name = "c1";
    settings.fleet.internal = {"127.0.0.1", free_port()};
    settings.fleet.seeds = {settings.fleet.internal};
    settings.fleet.data_folder = folder_.string();
    settings.fleet.first_start = true;
    settings.fleet.core.target_voters = 1;
    settings.control = {"127.0.0.1", free_port()};
    settings.directory = {"127.0.0.1", free_port()};
    settings.metrics = {"127.0.0.1", free_port()};
    control_ = settings.control;
    directory_ = settings.directory;
    program_ = std::make_unique<control::ControlProgram>(loop_, settings);
    thread_ = std::thread([this] { loop_.run(); });
  }
  ~ControlProgramTest() override {
    stop_program();
    std::filesystem::remove_all(folder_);
  }
  /// Ends the event loop and destroys the program, whatever calls are in progress.
  void stop_program() {
    if (thread_.joinable()) {
      loop_.post([this] { loop_.stop(); });
      thread_.join();
      program_.reset();
    }
  }
  static http::ClientResult call(const Endpoint& endpoint, const std::string& method, const std::string& path,
                                 const std::string& body = "") {
    http::ClientRequest request;
    request.endpoint = endpoint;
    request.method = method;
    request.path = path;
    request.body = body;
    request.timeout = 2s;
    return http::fetch(request);
  }
  /// Retries a call until the member leads and replies with 200. Returns false after 200 attempts.
  bool succeeds_eventually(const std::string& method, const std::string& path, const std::string& body = "") {
    for (int tries = 0; tries < 200; ++tries) {
      if (call(control_, method, path, body).status == 200) {
        return true;
      }
      std::this_thread::sleep_for(20ms);
    }
    return false;
  }

  EventLoop loop_;
  std::filesystem::path folder_;
  Endpoint control_;
  Endpoint directory_;
  std::unique_ptr<control::ControlProgram> program_;
  std::thread thread_;
};

}  // namespace stoat::test
