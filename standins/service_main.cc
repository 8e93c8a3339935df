/// standin-service: a stand-in for a plain back end that does each piece of work once per call, with a
/// ledger.
#include <fstream>
#include <nlohmann/json.hpp>

#include "src/common/log.h"
#include "src/common/server_program.h"
#include "src/http/common_routes.h"

namespace stoat::standins {
namespace {

using nlohmann::json;

struct ServiceSettings {
  std::string name;
  Endpoint listen;
  Duration work_time{20ms};
  std::string ledger_file;
};

ServiceSettings read_settings(SettingsReader& reader) {
  ServiceSettings settings;
  settings.name = reader.text("name", "service");
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:9100");
  settings.work_time = Duration(1000 * reader.integer("work_ms", 20, 0, 600000));
  settings.ledger_file = reader.text("ledger_file", "");
  return settings;
}

/// Answers every path but its own pages; each call that arrives is one run.
class PlainService {
 public:
  PlainService(EventLoop& loop, const ServiceSettings& settings)
      : loop_(loop), settings_(settings), server_(loop, settings.listen) {
    if (!settings.ledger_file.empty()) {
      ledger_output_.open(settings.ledger_file, std::ios::app);
    }
    server_.route("GET", "/ledger", [this](const http::ExchangePtr& exchange) {
      http::reply_json(*exchange, 200, {{"runs", runs_}});
    });
    http::add_common_routes(server_, {&metrics_, [] { return true; },
                                      [this] {
                                        return json{{"name", settings_.name}, {"runs", runs_.size()}};
                                      }});
    for (const char* method : {"GET", "POST", "PUT", "DELETE"}) {
      server_.route(method, "/*", [this](const http::ExchangePtr& exchange) { work(exchange); });
    }
    loop.on_terminate([this] {
      server_.stop_listening();
      loop_.after(settings_.work_time + 100ms, [this] { loop_.stop(); });
    });
    log_.info("serving", {{"name", settings.name}, {"listen", to_string(settings.listen)}});
  }

 private:
  void work(const http::ExchangePtr& exchange) {
    const json run = {{"idempotency_key", exchange->header("Idempotency-Key")},
                      {"request_id", exchange->header("X-Request-Id")},
                      {"path", exchange->path()},
                      {"backend", settings_.name}};
    runs_.push_back(run);
    if (ledger_output_.is_open()) {
      ledger_output_ << run.dump() << "\n" << std::flush;
    }
    const size_t bytes = exchange->body().size();
    loop_.after(settings_.work_time, [exchange, bytes, path = exchange->path()] {
      http::reply_json(*exchange, 200, {{"path", path}, {"received_bytes", bytes}});
    });
  }

  EventLoop& loop_;
  ServiceSettings settings_;
  Logger log_{"service"};
  Metrics metrics_;
  http::Server server_;
  std::ofstream ledger_output_;
  json runs_ = json::array();
};

}  // namespace
}  // namespace stoat::standins

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<standins::PlainService>(
      argc, argv, "standin-service", "A stand-in for a plain back end.", standins::read_settings);
}
