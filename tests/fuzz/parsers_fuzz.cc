// libFuzzer target for every parser that meets the outside. The first byte picks the parser. Built by the
// fuzz preset.
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/common/settings.h"
#include "src/control/configuration_json.h"
#include "src/ctl/policy_csv.h"
#include "src/router/engine_protocol.h"
#include "src/storage/record_log.h"
#include "src/wire/messages.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace stoat;
  if (size == 0) {
    return 0;
  }
  const std::string text(reinterpret_cast<const char*>(data + 1), size - 1);
  Findings findings;
  switch (data[0] % 7) {
    case 0:
      (void)wire::decode<wire::Message>(text);
      break;
    case 1:
      ctl::parse_policy_csv("table.csv", text, findings);
      break;
    case 2:
      (void)SettingsReader::load("", {text}, findings);
      break;
    case 3:
      (void)storage::scan_records(text);
      break;
    case 4:
      (void)router::parse_feed("engine", text);
      (void)router::parse_snapshot(text);
      break;
    case 5: {
      router::StreamParser parser;
      (void)parser.feed(text, [](const router::StreamEvent&) {});
      break;
    }
    default:
      (void)control::items_from_json(nlohmann::json::parse(text, nullptr, false), findings);
      break;
  }
  return 0;
}
