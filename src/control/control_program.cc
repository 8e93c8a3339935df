#include "src/control/control_program.h"

namespace stoat::control {

ControlProgramSettings read_control_program_settings(SettingsReader& reader) {
  ControlProgramSettings settings;
  settings.fleet = read_fleet_control_settings(reader);
  settings.control = read_endpoint(reader, "control", "127.0.0.1:7001");
  settings.directory = read_endpoint(reader, "directory", "127.0.0.1:7002");
  settings.metrics = read_endpoint(reader, "metrics", "127.0.0.1:9465");
  settings.directory_lifetime_s =
      reader.number("directory_lifetime_s", settings.directory_lifetime_s, 0.1, 3600);
  return settings;
}

ControlProgram::ControlProgram(EventLoop& loop, const ControlProgramSettings& settings,
                               const FleetHttpInterface& interface)
    : control_(loop, settings.control),
      directory_(loop, settings.directory),
      metrics_(loop, settings.metrics),
      engines_(loop, interface),
      fleet_(loop, settings.fleet, engines_),
      api_(fleet_, interface, settings.directory_lifetime_s, to_string(settings.control)) {
  api_.add_control_routes(control_);
  api_.add_directory_routes(directory_);
  metrics_.route("GET", "/metrics", [this](const http::ExchangePtr& exchange) {
    constexpr int kOk = 200;
    exchange->reply(kOk, "text/plain", fleet_.metrics().to_text());
  });
  loop.on_terminate([this] { fleet_.stop(); });
}

}  // namespace stoat::control
