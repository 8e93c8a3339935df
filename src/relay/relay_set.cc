#include "src/relay/relay_set.h"

#include <algorithm>

namespace stoat::relay {

namespace {

/// How long a relay that failed is not chosen.
constexpr Duration kAvoidTime = 1s;

}  // namespace

void RelaySet::set(const std::vector<std::string>& addresses) {
  std::vector<RelayPtr> relays;
  for (const std::string& address : addresses) {
    Endpoint endpoint;
    if (!parse_endpoint(address, endpoint)) {
      continue;
    }
    const auto known = std::find_if(relays_.begin(), relays_.end(),
                                    [&](const RelayPtr& relay) { return relay->endpoint == endpoint; });
    relays.push_back(known == relays_.end() ? std::make_shared<Relay>(Relay{endpoint}) : *known);
  }
  relays_ = std::move(relays);
}

RelayPtr RelaySet::choose(Random& random, TimePoint now) const {
  std::vector<RelayPtr> usable;
  std::copy_if(relays_.begin(), relays_.end(), std::back_inserter(usable),
               [now](const RelayPtr& relay) { return now >= relay->avoided_until; });
  if (usable.empty()) {
    return nullptr;
  }
  const RelayPtr& first = usable[random.below(usable.size())];
  const RelayPtr& second = usable[random.below(usable.size())];
  return first->connections <= second->connections ? first : second;
}

bool RelaySet::usable(TimePoint now) const {
  return std::any_of(relays_.begin(), relays_.end(),
                     [now](const RelayPtr& relay) { return now >= relay->avoided_until; });
}

void RelaySet::avoid(Relay& relay, TimePoint now) { relay.avoided_until = now + kAvoidTime; }

}  // namespace stoat::relay
