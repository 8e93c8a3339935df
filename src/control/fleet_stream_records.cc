/// FleetServer: records of where streams began, kept for routers, and the software versions of services. Both
/// are on disk too (fleet_stored_state.cc).
#include <algorithm>

#include "src/control/fleet_server.h"

namespace stoat::control {

namespace {

std::string to_text(const std::set<std::string>& versions) {
  std::string text;
  for (const std::string& version : versions) {
    text += (text.empty() ? "" : ",") + (version.empty() ? "-" : version);
  }
  return text;
}

}  // namespace

void FleetServer::on_stream_records(const ChannelPtr& channel, const fleet::StreamRecordBatch& batch) {
  const TimePoint now = loop_.now();
  for (const fleet::StreamRecord& record : batch.records) {
    stream_records_.put(record, now);
  }
  const bool queued = soft_state_writer_->write_records(batch.records, [channel, number = batch.number] {
    channel->send(fleet::StreamRecordBatchResponse{number});
  });
  if (!queued) {
    metrics_.count("stoat_control_stream_records_unwritten_total", {},
                   static_cast<double>(batch.records.size()));
  }
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
  if (software_history_.revision() != handled_software_revision_) {
    handled_software_revision_ = software_history_.revision();
    handle_software_changes();
  }
}

void FleetServer::handle_software_changes() {
  std::vector<fleet::ServiceSoftware> services = software_history_.services();
  const int64_t answers_in_ms = std::max<int64_t>(0, to_milliseconds(software_known_at_ - loop_.now()));
  for (const fleet::ServiceSoftware& entry : services) {
    if (std::find(logged_software_.begin(), logged_software_.end(), entry) == logged_software_.end()) {
      log_.event(events::ServiceVersionsChanged{entry.service, to_text(entry.versions), answers_in_ms});
    }
  }
  logged_software_ = std::move(services);
  store_soft_state();
  fleet::MixedServices mixed{software_history_.mixed_services()};
  if (mixed != mixed_services_) {
    mixed_services_ = std::move(mixed);
    ++mixed_services_revision_;
    push_to_routers();
  }
}

void FleetServer::maintain_stream_records() {
  stream_records_.expire(loop_.now());
  update_software_history();
  metrics_.set("stoat_control_stream_records", static_cast<double>(stream_records_.size()));
  metrics_.set("stoat_control_stream_records_dropped", static_cast<double>(stream_records_.dropped()));
  metrics_.set("stoat_control_stream_journal_bytes",
               static_cast<double>(soft_state_writer_->journal_bytes()));
  metrics_.set("stoat_control_soft_state_writes", static_cast<double>(soft_state_writer_->writes()));
}

}  // namespace stoat::control
