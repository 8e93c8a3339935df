// Input from outside: whatever the bytes, a parser reports findings or a value; it never crashes or loses its
// place.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/common/settings.h"
#include "src/control/configuration_json.h"
#include "src/ctl/policy_csv.h"
#include "src/router/engine_protocol.h"
#include "src/wire/messages.h"

namespace stoat {
namespace {

using control::PolicyRow;
using control::PolicyTable;
using control::RowKind;

rc::Gen<std::string> name_text() { return rc::gen::nonEmpty(rc::gen::string<std::string>()); }

PolicyTable any_table() {
  PolicyTable table;
  const auto row_count = *rc::gen::inRange(0, 8);
  for (int number = 0; number < row_count; ++number) {
    PolicyRow row;
    row.kind = *rc::gen::element(RowKind::kTenant, RowKind::kService);
    row.name = "name, \"" + std::to_string(number) + "\"";
    row.share = *rc::gen::inRange(1, 100);
    row.priority = *rc::gen::inRange(-5, 5);
    row.requests_per_second = *rc::gen::inRange(0, 1000);
    row.concurrent = *rc::gen::inRange(0, 1000);
    row.queue_time_ms = *rc::gen::inRange(0, 5000);
    row.repeatable = *rc::gen::arbitrary<bool>();
    table.rows.push_back(row);
  }
  return table;
}

RC_GTEST_PROP(PolicyCsvProperty, ReadsWhatItWrote, ()) {
  const PolicyTable table = any_table();
  Findings findings;
  const PolicyTable read = ctl::parse_policy_csv("table.csv", ctl::to_policy_csv(table), findings);
  RC_ASSERT(findings.empty());
  RC_ASSERT(read == table);
}

RC_GTEST_PROP(PolicyCsvProperty, SurvivesAnyBytes, (const std::string& text)) {
  Findings findings;
  ctl::parse_policy_csv("table.csv", "kind,name,share\n" + text, findings);
  for (const Finding& finding : findings.list()) {
    RC_ASSERT(finding.line >= 1);
  }
}

RC_GTEST_PROP(PolicyCsvProperty, NamesRowAndColumnOfABadNumber, ()) {
  const auto bad_row = *rc::gen::inRange(0, 5);
  std::string text = "kind,name,share\n";
  for (int row = 0; row < 5; ++row) {
    text += "tenant,t" + std::to_string(row) + "," + (row == bad_row ? "x" : "1") + "\n";
  }
  Findings findings;
  ctl::parse_policy_csv("table.csv", text, findings);
  RC_ASSERT(findings.list().size() == 1U);
  RC_ASSERT(findings.list().front().line == bad_row + 2);
  RC_ASSERT(findings.list().front().column == 3);
}

RC_GTEST_PROP(SettingsProperty, SurvivesAnyOverride, (const std::string& text)) {
  Findings findings;
  SettingsReader reader = SettingsReader::load("", {text}, findings);
  reader.integer("number", 1, 0, 10);
  reader.report_unknown_keys();
}

RC_GTEST_PROP(CodecProperty, DecodingAnyBytesGivesAValueOrAnError, (const std::string& bytes)) {
  const auto message = wire::decode<wire::Message>(bytes);
  RC_ASSERT(message.has_value() || !message.error().message.empty());
}

RC_GTEST_PROP(CodecProperty, DecodingACutOrChangedMessageNeverCrashes, (uint64_t request_id)) {
  wire::SubmitRequest submit;
  submit.request_id = request_id;
  submit.prompt = *name_text();
  std::string bytes = wire::encode(wire::Message(submit));
  const auto back = wire::decode<wire::Message>(bytes);
  RC_ASSERT(back.has_value());
  RC_ASSERT(std::get<wire::SubmitRequest>(back->value).request_id == request_id);
  const auto position = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[position] = static_cast<char>(*rc::gen::inRange(0, 256));
  (void)wire::decode<wire::Message>(bytes);
  (void)wire::decode<wire::Message>(std::string_view(bytes).substr(0, position));
}

RC_GTEST_PROP(EngineProtocolProperty, AStreamReadsTheSameHoweverItIsCut, ()) {
  std::string stream = ": waiting\n\n";
  const auto count = *rc::gen::inRange(1, 20);
  for (int index = 0; index < count; ++index) {
    stream += "data: {\"token_index\":" + std::to_string(index) + ",\"choices\":[{\"text\":\"t" +
              std::to_string(index) + "\"}]}\n\n";
  }
  stream += "data: [DONE]\n\n";
  router::StreamParser parser;
  std::string text;
  size_t position = 0;
  while (position < stream.size()) {
    const auto length = *rc::gen::inRange<size_t>(1, 40);
    RC_ASSERT(parser.feed(stream.substr(position, length),
                          [&](const router::StreamEvent& event) { text += event.text; }));
    position += length;
  }
  std::string expected;
  for (int index = 0; index < count; ++index) {
    expected += "t" + std::to_string(index);
  }
  RC_ASSERT(text == expected);
  RC_ASSERT(parser.done());
}

RC_GTEST_PROP(EngineProtocolProperty, SurvivesAnyBytes, (const std::string& bytes)) {
  router::StreamParser parser;
  (void)parser.feed("data: " + bytes + "\n", [](const router::StreamEvent&) {});
  (void)router::parse_feed("engine", bytes);
  (void)router::parse_snapshot(bytes);
}

RC_GTEST_PROP(ConfigurationJsonProperty, ChangesReadBackAsTheyWereWritten, ()) {
  const control::ChangeItem item = any_table();
  Findings findings;
  const auto items = control::items_from_json(nlohmann::json::array({control::to_json(item)}), findings);
  RC_ASSERT(findings.empty());
  RC_ASSERT(items.size() == 1U);
  RC_ASSERT(std::get<PolicyTable>(items.front().value) == std::get<PolicyTable>(item.value));
}

}  // namespace
}  // namespace stoat
