// libFuzzer target for all parsers of external input. The first byte selects the parser. Built by the fuzz
// preset.
#include <cstddef>
#include <cstdint>
#include <string>

#include "src/common/settings.h"
#include "src/control/fleet_bodies.h"
#include "src/delivery/event_splitter.h"
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
      (void)control::read_configuration(text, {}, findings);
      break;
    case 2:
      (void)SettingsReader::load("", {text}, findings);
      break;
    case 3:
      (void)storage::scan_records(text);
      break;
    case 4:
      (void)control::read_heartbeat("backend", text, {});
      (void)control::read_cache_events(text, {});
      break;
    case 5: {
      delivery::EventSplitter splitter;
      splitter.feed(text, [](const delivery::StreamEvent&) {});
      break;
    }
    default:
      (void)control::read_named_weights(text);
      (void)control::read_report(text, {});
      break;
  }
  return 0;
}
