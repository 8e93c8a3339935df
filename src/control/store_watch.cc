#include "src/control/store_watch.h"

#include <algorithm>

namespace stoat::control {

namespace {

constexpr Duration kRetryInterval = 300ms;

}  // namespace

void StoreWatch::poll(const std::vector<std::string>& addresses, TimePoint now) {
  std::erase_if(stores_, [&](const auto& entry) {
    return std::find(addresses.begin(), addresses.end(), entry.first) == addresses.end();
  });
  for (const std::string& address : addresses) {
    Store& store = stores_[address];
    if (store.generation == 0) {
      store.generation = ++last_generation_;
    }
    if (!store.asking && now >= store.next_question) {
      ask(address, store, now);
    }
  }
}

void StoreWatch::ask(const std::string& address, Store& store, TimePoint now) {
  store.asking = true;
  const uint64_t generation = store.generation;
  engines_.watch_store(
      address, store.next_event, [this, address, generation, now](std::optional<uint64_t> next) {
        const auto found = stores_.find(address);
        if (found == stores_.end() || found->second.generation != generation) {
          return;
        }
        Store& asked = found->second;
        asked.asking = false;
        asked.live = next.has_value();
        asked.next_event = next.value_or(0);
        asked.next_question =
            now + kRetryInterval;  // counted from the question: an open one has waited longer
      });
}

std::vector<std::string> StoreWatch::live() const {
  std::vector<std::string> addresses;
  for (const auto& [address, store] : stores_) {
    if (store.live) {
      addresses.push_back(address);
    }
  }
  return addresses;
}

}  // namespace stoat::control
