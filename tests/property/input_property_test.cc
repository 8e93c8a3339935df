// Parsers of external input: for any bytes, a parser returns a value or reports errors. It never crashes and
// never loses its position in a stream.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/common/settings.h"
#include "src/control/fleet_bodies.h"
#include "src/delivery/event_splitter.h"
#include "src/wire/messages.h"

namespace stoat {
namespace {

RC_GTEST_PROP(SettingsProperty, AcceptsAnyOverride, (const std::string& text)) {
  Findings findings;
  SettingsReader reader = SettingsReader::load("", {text}, findings);
  reader.integer("number", 1, 0, 10);
  reader.report_unknown_keys();
}

RC_GTEST_PROP(CodecProperty, DecodingAnyBytesGivesAValueOrAnError, (const std::string& bytes)) {
  const auto message = wire::decode<wire::Message>(bytes);
  RC_ASSERT(message.has_value() || !message.error().message.empty());
}

RC_GTEST_PROP(CodecProperty, DecodingATruncatedOrChangedMessageNeverCrashes, (uint64_t call_id)) {
  wire::ControlCall call;
  call.call_id = call_id;
  call.command = fleet::SetTargetWeights{*rc::gen::nonEmpty(rc::gen::string<std::string>()), 7};
  std::string bytes = wire::encode(wire::Message(call));
  const auto decoded = wire::decode<wire::Message>(bytes);
  RC_ASSERT(decoded.has_value());
  RC_ASSERT(std::get<wire::ControlCall>(decoded->value).call_id == call_id);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  (void)wire::decode<wire::Message>(bytes);
  (void)wire::decode<wire::Message>(std::string_view(bytes).substr(0, position));
}

RC_GTEST_PROP(EventSplitterProperty, EventsDoNotDependOnHowTheStreamIsSplit, ()) {
  std::string stream;
  const auto count = *rc::gen::inRange(1, 20);
  for (int index = 0; index < count; ++index) {
    stream += "id: " + std::to_string(index) + "\ndata: t" + std::to_string(index) + "\n\n";
  }
  delivery::EventSplitter splitter;
  std::string text;
  int64_t next_id = 0;
  size_t position = 0;
  while (position < stream.size()) {
    const auto length = *rc::gen::inRange<size_t>(1, 40);
    splitter.feed(std::string_view(stream).substr(position, length), [&](const delivery::StreamEvent& event) {
      text += event.bytes;
      RC_ASSERT(event.id == next_id);
      ++next_id;
    });
    position += length;
  }
  RC_ASSERT(text == stream);
  RC_ASSERT(next_id == count);
  RC_ASSERT(splitter.pending() == 0U);
}

RC_GTEST_PROP(EventSplitterProperty, AcceptsAnyBytesAndLosesNone, (const std::string& bytes)) {
  delivery::EventSplitter splitter;
  size_t event_bytes = 0;
  splitter.feed(bytes, [&](const delivery::StreamEvent& event) { event_bytes += event.bytes.size(); });
  RC_ASSERT(event_bytes + splitter.pending() == bytes.size());
}

RC_GTEST_PROP(FleetBodiesProperty, AcceptAnyBytes, (const std::string& bytes)) {
  Findings findings;
  const bool read = control::read_configuration(bytes, {}, findings).has_value();
  RC_ASSERT(read == findings.empty());
  (void)control::read_heartbeat("backend", bytes, {});
  (void)control::read_named_weights(bytes);
  (void)control::read_report(bytes, {});
  (void)control::read_cache_events(bytes, {});
}

RC_GTEST_PROP(FleetBodiesProperty, AcceptADocumentWithOneChangedByte, ()) {
  std::string document =
      R"({"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":9,)"
      R"("service":"s"}],"services":[{"name":"s","engine":{"slots":4,"models":[{"name":"m"}]}}],)"
      R"("tenants":[{"name":"t","keys":["k"],"quota_per_second":4}],"limits":{"body_bytes":1000}})";
  const auto position = *rc::gen::inRange<size_t>(0, document.size());
  document[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  Findings findings;
  const bool read = control::read_configuration(document, {}, findings).has_value();
  RC_ASSERT(read == findings.empty());
}

}  // namespace
}  // namespace stoat
