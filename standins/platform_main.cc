/// standin-platform: a stand-in for the platform's list of live and leaving machines, which lags, and for its
/// rate-limited weight store.
#include <nlohmann/json.hpp>
#include <set>

#include "src/common/log.h"
#include "src/common/server_program.h"
#include "src/http/common_routes.h"

namespace stoat::standins {
namespace {

using nlohmann::json;

struct PlatformSettings {
  Endpoint listen;
  Duration lag{1s};
  int64_t weight_loads_at_once = 2;
};

PlatformSettings read_settings(SettingsReader& reader) {
  PlatformSettings settings;
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:9200");
  settings.lag = Duration(1000 * reader.integer("lag_ms", 1000, 0, 600000));
  settings.weight_loads_at_once = reader.integer("weight_loads_at_once", 2, 1, 1000);
  return settings;
}

/// See the head of this file.
class Platform {
 public:
  Platform(EventLoop& loop, const PlatformSettings& settings)
      : loop_(loop), settings_(settings), server_(loop, settings.listen) {
    server_.route("GET", "/machines", [this](const http::ExchangePtr& exchange) {
      http::reply_json(*exchange, 200, {{"leaving", leaving_}});
    });
    server_.route("POST", "/machines/leaving",
                  [this](const http::ExchangePtr& exchange) { change(exchange, true); });
    server_.route("POST", "/machines/live",
                  [this](const http::ExchangePtr& exchange) { change(exchange, false); });
    server_.route("POST", "/weights/begin",
                  [this](const http::ExchangePtr& exchange) { begin_load(exchange); });
    server_.route("POST", "/weights/end", [this](const http::ExchangePtr& exchange) { end_load(exchange); });
    http::add_common_routes(
        server_,
        {&metrics_, [] { return true; },
         [this] {
           return json{{"leaving", leaving_}, {"weight_loads", loads_}, {"weight_refusals", refusals_}};
         }});
    loop.on_terminate([this] { loop_.stop(); });
    log_.info("serving", {{"listen", to_string(settings.listen)}});
  }

 private:
  void change(const http::ExchangePtr& exchange, bool leaves) {
    const std::string name = exchange->query("name");
    if (name.empty()) {
      http::reply_json(*exchange, 400,
                       {{"error", {{"code", "bad_field"}, {"message", "name must be given"}}}});
      return;
    }
    // The list tells it only after its lag.
    loop_.after(settings_.lag, [this, name, leaves] {
      if (leaves) {
        leaving_.insert(name);
      } else {
        leaving_.erase(name);
      }
    });
    http::reply_json(*exchange, 202, {{"name", name}});
  }

  void begin_load(const http::ExchangePtr& exchange) {
    if (loads_ >= settings_.weight_loads_at_once) {
      ++refusals_;
      http::reply_json(*exchange, 429, {{"error", {{"code", "rate_limited"}, {"message", "too many loads"}}}},
                       {{"Retry-After", "1"}});
      return;
    }
    ++loads_;
    http::reply_json(*exchange, 200, json::object());
  }

  void end_load(const http::ExchangePtr& exchange) {
    loads_ -= loads_ > 0 ? 1 : 0;
    http::reply_json(*exchange, 200, json::object());
  }

  EventLoop& loop_;
  PlatformSettings settings_;
  Logger log_{"platform"};
  Metrics metrics_;
  http::Server server_;
  std::set<std::string> leaving_;
  int64_t loads_ = 0;
  int64_t refusals_ = 0;
};

}  // namespace
}  // namespace stoat::standins

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<standins::Platform>(
      argc, argv, "standin-platform", "A stand-in for the platform's machine list and weight store.",
      standins::read_settings);
}
