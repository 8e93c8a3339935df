/// FleetServer: records of where streams began, kept for routers, and the software versions of services.
#include "src/control/fleet_server.h"

namespace stoat::control {

void FleetServer::on_stream_records(const ChannelPtr& channel, const fleet::StreamRecordBatch& batch) {
  const TimePoint now = loop_.now();
  for (const fleet::StreamRecord& record : batch.records) {
    stream_records_.put(record, now);
  }
  channel->send(fleet::StreamRecordBatchResponse{batch.number});
}

void FleetServer::on_stream_record_request(const ChannelPtr& channel,
                                           const fleet::StreamRecordRequest& request) {
  const TimePoint now = loop_.now();
  fleet::StreamRecordResponse response;
  response.number = request.number;
  if (const auto record = stream_records_.find(request.stream, now)) {
    response.record.push_back(*record);
  }
  update_software_history();
  if (now >= software_known_at_) {
    response.software.push_back({request.service, software_history_.versions(request.service)});
  }
  channel->send(response);
}

void FleetServer::update_software_history() {
  const TimePoint now = loop_.now();
  software_registry_revision_ = soft_state_.registry().table().visit_since(
      software_registry_revision_, SIZE_MAX, [&](const std::string& id, const fleet::BackendRecord* record) {
        if (record == nullptr) {
          software_history_.erase(id, now);
        } else {
          software_history_.put(*record);
        }
      });
  software_history_.expire(now);
}

void FleetServer::maintain_stream_records() {
  stream_records_.expire(loop_.now());
  const uint64_t known = software_history_.revision();
  update_software_history();
  if (software_history_.revision() != known) {
    fleet::MixedServices mixed{software_history_.mixed_services()};
    if (mixed != mixed_services_) {
      mixed_services_ = std::move(mixed);
      ++mixed_services_revision_;
      push_to_routers();
    }
  }
  metrics_.set("stoat_control_stream_records", static_cast<double>(stream_records_.size()));
  metrics_.set("stoat_control_stream_records_dropped", static_cast<double>(stream_records_.dropped()));
}

}  // namespace stoat::control
