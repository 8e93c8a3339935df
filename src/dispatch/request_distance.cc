/// ActiveRequest: network distances of a request and its KV cache, and execution times of requests without a
/// prompt.
#include "src/dispatch/active_request.h"

namespace stoat::dispatch {

topology::Location ActiveRequest::place_of_store(const std::string& address) const {
  const fleet::Service* store = plan_.table->store_at(address);
  return context_.topology.location_of(store == nullptr ? address : store->store_zone);
}

void ActiveRequest::note_distances(const Backend& target, const CachePlan& cache,
                                   events::RequestSent& sent) const {
  sent.distance = topology::to_text(topology::distance(context_.place, target.place));
  context_.metrics.count("stoat_router_sends_total", {{"distance", sent.distance}});
  if (cache.source.empty()) {
    return;
  }
  sent.source_distance = topology::to_text(topology::distance(cache.source_place, target.place));
  context_.metrics.count("stoat_router_cache_sources_total", {{"distance", sent.source_distance}});
}

void ActiveRequest::observe_call_time() {
  if (!call_sent_at_) {
    return;
  }
  const double network_ms =
      context_.costs.distance_costs.ms(topology::distance(context_.place, backend_->place));
  const Duration taken = context_.loop.now() - *call_sent_at_;
  call_sent_at_.reset();
  context_.call_times[plan_.service].observe(to_fractional_ms(taken) - network_ms);
}

}  // namespace stoat::dispatch
