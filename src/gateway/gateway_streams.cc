/// Part of GatewayServer: records of where streams began, which control members keep for this router.
#include "src/gateway/gateway_server.h"

namespace stoat::gateway {

void GatewayServer::configure_streams() {
  streams::StreamDirectory& directory = context_.streams;
  streams::DirectoryLinks links;
  links.send_records = [this](const std::string& member, const fleet::StreamRecordBatch& batch) {
    control_link_.send_to_member(member, batch);
  };
  links.send_request = [this](const std::string& member, const fleet::StreamRecordRequest& request) {
    control_link_.send_to_member(member, request);
  };
  links.call_after = [this](Duration delay, std::function<void()> action) {
    loop_.after(delay, std::move(action));
  };
  links.now = [this] { return loop_.now(); };
  directory.set_links(std::move(links));

  StreamRecordHandlers handlers;
  handlers.on_member_ready = [&directory](const std::string& member, fleet::ProtocolVersion version) {
    directory.on_member_ready(member, version >= fleet::kFirstStreamRecordVersion);
  };
  handlers.on_member_lost = [&directory](const std::string& member) { directory.on_member_lost(member); };
  handlers.on_mixed_services = [&directory](const std::string& member, const fleet::MixedServices& mixed) {
    directory.set_mixed_services(member, mixed);
  };
  handlers.on_stored = [&directory](const std::string& member,
                                    const fleet::StreamRecordBatchResponse& response) {
    directory.on_records_stored(member, response);
  };
  handlers.on_response = [&directory](const std::string& member,
                                      const fleet::StreamRecordResponse& response) {
    directory.on_response(member, response);
  };
  control_link_.set_stream_record_handlers(std::move(handlers));
}

void GatewayServer::maintain_streams() {
  context_.streams.expire();
  const streams::DirectoryCounts& counts = context_.streams.counts();
  metrics_.set("stoat_router_tracked_streams", static_cast<double>(context_.streams.tracked()));
  metrics_.set("stoat_router_stream_records_sent", static_cast<double>(counts.records_sent));
  metrics_.set("stoat_router_stream_record_requests", static_cast<double>(counts.requests_sent));
}

}  // namespace stoat::gateway
