/// standin-kv-store: a stand-in for a store of kept KV blocks, over HTTP. See docs/STANDINS.md.
#include <nlohmann/json.hpp>

#include "src/common/log.h"
#include "src/common/random.h"
#include "src/common/server_program.h"
#include "src/http/common_routes.h"
#include "standins/cache_pages.h"
#include "standins/kv_store_model.h"

namespace stoat::standins {
namespace {

using nlohmann::json;

struct ProgramSettings {
  std::string name;
  Endpoint listen;
  KvStoreSettings store;
  uint64_t seed = 1;
};

ProgramSettings read_settings(SettingsReader& reader) {
  ProgramSettings settings;
  settings.name = reader.text("name", "kv-store");
  settings.listen = read_endpoint(reader, "listen", "127.0.0.1:9200");
  settings.seed = static_cast<uint64_t>(reader.integer("seed", 1, 0, INT64_MAX));
  settings.store.capacity_blocks =
      static_cast<size_t>(reader.integer("capacity_blocks", 100000, 1, 100000000));
  settings.store.feed.delay = Duration(1000 * reader.integer("feed_delay_ms", 200, 0, 600000));
  settings.store.feed.gap_probability = reader.number("feed_gap_probability", 0, 0, 1);
  return settings;
}

/// The HTTP face of a KvStoreModel.
class KvStoreServer {
 public:
  KvStoreServer(EventLoop& loop, const ProgramSettings& settings)
      : loop_(loop),
        name_(settings.name),
        store_(settings.store, seed_from_device() | 1U, settings.seed),
        server_(loop, settings.listen) {
    server_.route("POST", "/import", [this](const http::ExchangePtr& exchange) {
      const auto chain = chain_from_json(json::parse(exchange->body(), nullptr, false));
      metrics_.count("standin_kv_store_imports_total");
      http::reply_json(*exchange, 200, {{"blocks", store_.import(chain)}});
    });
    server_.route("POST", "/export", [this](const http::ExchangePtr& exchange) {
      const auto chain = chain_from_json(json::parse(exchange->body(), nullptr, false));
      metrics_.count("standin_kv_store_exports_total");
      store_.take_export(chain, loop_.now());
      http::reply_json(*exchange, 200, json::object());
    });
    server_.route("GET", "/feed", [this](const http::ExchangePtr& exchange) {
      const uint64_t after = std::strtoull(exchange->query("after").c_str(), nullptr, 10);
      http::reply_json(*exchange, 200, feed_page(store_.blocks(), after, load_json(), loop_.now()));
    });
    server_.route("GET", "/blocks", [this](const http::ExchangePtr& exchange) {
      http::reply_json(*exchange, 200, blocks_page(store_.blocks(), store_.incarnation()));
    });
    http::add_common_routes(server_, {&metrics_, [] { return true; }, [this] { return status(); }});
    loop_.on_terminate([this] {
      log_.info("stopping", {{"blocks", store_.blocks().size()}});
      loop_.stop();
    });
    log_.info("serving", {{"name", name_}, {"listen", to_string(settings.listen)}});
  }

 private:
  json load_json() const {
    return {{"incarnation", store_.incarnation()},
            {"running", 0},
            {"waiting", 0},
            {"waiting_tokens", 0},
            {"leaving", false},
            {"weights_version", ""}};
  }

  json status() const {
    return {{"name", name_}, {"incarnation", store_.incarnation()}, {"blocks", store_.blocks().size()}};
  }

  EventLoop& loop_;
  std::string name_;
  Logger log_{"kv-store"};
  Metrics metrics_;
  KvStoreModel store_;
  http::Server server_;
};

}  // namespace
}  // namespace stoat::standins

int main(int argc, const char** argv) {
  using namespace stoat;
  return run_server_program<standins::KvStoreServer>(
      argc, argv, "standin-kv-store", "A stand-in for a store of kept KV blocks.", standins::read_settings);
}
