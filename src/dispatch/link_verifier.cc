#include "src/dispatch/link_verifier.h"

#include <utility>

#include "src/dispatch/backend_pool.h"

namespace stoat::dispatch {

namespace {

/// Time for a test connection to be established, directly and through another router.
constexpr Duration kDirectTestTimeout = 300ms;
constexpr Duration kRelayedTestTimeout = 600ms;
/// Number of routers that are asked to connect to a backend.
constexpr size_t kMaxRelayAttempts = 2;
/// Number of other backends to which a connection is tried, to prove that the links of this router work.
constexpr size_t kProofProbes = 2;
/// A failure is not held against a backend if no other backend was heard within this time.
constexpr Duration kProofTimeout = 400ms;
constexpr Duration kProofCheckInterval = 20ms;
/// How often a router that is cut off tries direct connections, and to how many backends.
constexpr Duration kCutOffProbeInterval = 500ms;
constexpr size_t kCutOffProbes = 2;
/// How often a direct connection to each backend that is reached through other routers is tried, and how many
/// in one round.
constexpr Duration kRecoveryProbeInterval = 1s;
constexpr size_t kMaxRecoveryProbes = 8;

}  // namespace

const char* to_text(LinkVerdict verdict) {
  switch (verdict) {
    case LinkVerdict::kLinkFailed:
      return "link failed";
    case LinkVerdict::kBackendFailed:
      return "back end failed";
    case LinkVerdict::kUnknown:
      return "unknown";
  }
  return "unknown";
}

struct LinkVerifier::Test {
  BackendPtr backend;
  std::shared_ptr<BackendConnection> connection;
  TestHandler on_end;
  bool ended = false;
};

void LinkVerifier::test(const BackendPtr& backend, LinkPath path, TestHandler on_end) {
  const auto test = std::make_shared<Test>();
  test->backend = backend;
  test->on_end = std::move(on_end);
  const auto on_unusable = [this, weak = std::weak_ptr<Test>(test),
                            known = std::weak_ptr<Backend>(backend)](BackendConnection* lost) {
    const auto running = weak.lock();
    if (running != nullptr && !running->ended) {
      end_test(running, lost->relay_failed() ? TestResult::kRelayFailed : TestResult::kNotReached);
    } else if (const BackendPtr idle_at = known.lock()) {
      pool_.remove_idle(idle_at, lost);
    }
  };
  test->connection = pool_.open_connection(backend, path, on_unusable);
  if (test->connection == nullptr) {
    test->ended = true;
    test->on_end(path == LinkPath::kRelayed ? TestResult::kRelayFailed : TestResult::kNotReached);
    return;
  }
  test->connection->set_connected_handler([this, weak = std::weak_ptr<Test>(test)](BackendConnection*) {
    if (const auto running = weak.lock()) {
      end_test(running, TestResult::kReached);
    }
  });
  pool_.loop().after(path == LinkPath::kRelayed ? kRelayedTestTimeout : kDirectTestTimeout, [this, test] {
    const bool relayed = test->connection != nullptr && test->connection->relayed();
    end_test(test, relayed ? TestResult::kRelayFailed : TestResult::kNotReached);
  });
}

void LinkVerifier::end_test(const std::shared_ptr<Test>& test, TestResult result) {
  if (std::exchange(test->ended, true)) {
    return;
  }
  const auto connection = std::exchange(test->connection, nullptr);
  if (result == TestResult::kReached) {
    pool_.release(test->backend, connection);
  } else {
    pool_.discard(test->backend, connection);
  }
  test->on_end(result);
}

void LinkVerifier::test_direct(const BackendPtr& backend) {
  test(backend, LinkPath::kDirect, [this, backend](TestResult result) {
    const TimePoint now = pool_.loop().now();
    if (result == TestResult::kReached) {
      pool_.links().on_connected(backend->record.id, now);
    } else {
      pool_.links().on_connect_failure(backend->record.id, now);
    }
  });
}

void LinkVerifier::on_connect_failure(const BackendPtr& backend, bool refused) {
  const TimePoint now = pool_.loop().now();
  pool_.links().on_connect_failure(backend->record.id, now);
  backend->refused_directly = backend->refused_directly || refused;
  if (std::exchange(backend->verifying, true)) {
    return;
  }
  for (const BackendPtr& other : pool_.sample_others(backend->record.id, kProofProbes)) {
    if (!pool_.links().heard_other_since(backend->record.id, now)) {
      test_direct(other);
    }
  }
  ask_relay(backend, now, kMaxRelayAttempts);
}

void LinkVerifier::ask_relay(const BackendPtr& backend, TimePoint failed_at, size_t attempts) {
  if (attempts == 0 || !pool_.relays().usable(pool_.loop().now())) {
    decide(backend, failed_at);
    return;
  }
  test(backend, LinkPath::kRelayed, [this, backend, failed_at, attempts](TestResult result) {
    if (result == TestResult::kReached) {
      end_verification(backend, LinkVerdict::kLinkFailed);
    } else {
      ask_relay(backend, failed_at, attempts - 1);
    }
  });
}

void LinkVerifier::decide(const BackendPtr& backend, TimePoint failed_at) {
  const std::string& id = backend->record.id;
  const bool is_only_one = pool_.links().summary().known <= 1;
  if (is_only_one || pool_.links().heard_other_since(id, failed_at)) {
    end_verification(backend, LinkVerdict::kBackendFailed);
  } else if (pool_.loop().now() - failed_at >= kProofTimeout) {
    end_verification(backend, LinkVerdict::kUnknown);
  } else {
    pool_.loop().after(kProofCheckInterval, [this, backend, failed_at] { decide(backend, failed_at); });
  }
}

void LinkVerifier::end_verification(const BackendPtr& backend, LinkVerdict verdict) {
  backend->verifying = false;
  if (verdict == LinkVerdict::kLinkFailed) {
    pool_.links().on_relay_reached(backend->record.id);
    pool_.outliers().reinstate(backend->record.id);
    backend->relayed.last_received_at = pool_.loop().now();
  }
  on_verdict_(backend, verdict);
  backend->refused_directly = false;
}

void LinkVerifier::probe_relayed() {
  const TimePoint now = pool_.loop().now();
  if (pool_.links().cut_off()) {
    if (now - last_cut_off_probe_at_ >= kCutOffProbeInterval) {
      last_cut_off_probe_at_ = now;
      for (const BackendPtr& backend : pool_.sample_others("", kCutOffProbes)) {
        test_direct(backend);
      }
    }
    return;
  }
  size_t probes = 0;
  for (const std::string& id : pool_.links().relayed_backends()) {
    const BackendPtr backend = pool_.find(id);
    if (backend != nullptr && now - backend->recovery_probe_at >= kRecoveryProbeInterval &&
        probes < kMaxRecoveryProbes) {
      ++probes;
      backend->recovery_probe_at = now;
      test_direct(backend);
    }
  }
}

}  // namespace stoat::dispatch
