/// Finds out whether a failed connection is the backend's fault or that of this router's own link.
///
/// After a failed direct connection, another router is asked to connect to the backend. If it does, the link
/// is at fault, and the backend is used through other routers until direct connections work again. Otherwise
/// the failure is evidence against the backend, but only if this router reaches some other backend since: a
/// router that is cut off says nothing about others.
#pragma once

#include <functional>
#include <memory>

#include "src/common/time.h"
#include "src/dispatch/backend_connection.h"

namespace stoat::dispatch {

struct Backend;
class BackendPool;
enum class LinkPath : uint8_t;
using BackendPtr = std::shared_ptr<Backend>;

/// What a failed direct connection means.
enum class LinkVerdict : uint8_t {
  kLinkFailed,     ///< another router reaches the backend
  kBackendFailed,  ///< no other router reaches it, and this router's links work
  kUnknown,        ///< this router may be cut off
};

/// Name of the verdict, for metrics.
const char* to_text(LinkVerdict verdict);

/// Verifies failures of direct connections, and tries direct connections again.
class LinkVerifier {
 public:
  using VerdictHandler = std::function<void(const BackendPtr&, LinkVerdict)>;

  explicit LinkVerifier(BackendPool& pool) : pool_(pool) {}
  /// Sets the callback for each verdict.
  void set_handler(VerdictHandler handler) { on_verdict_ = std::move(handler); }
  /// A direct connection to the backend failed. `refused`: nothing listens at its address.
  void on_connect_failure(const BackendPtr& backend, bool refused);
  /// Tries direct connections to some of the backends that are reached through other routers. To be called
  /// several times a second.
  void probe_relayed();

 private:
  /// How a test connection ended.
  enum class TestResult : uint8_t { kReached, kNotReached, kRelayFailed };
  using TestHandler = std::function<void(TestResult)>;
  struct Test;
  /// Opens a connection to learn whether the backend can be reached that way. It is kept if so.
  void test(const BackendPtr& backend, LinkPath path, TestHandler on_end);
  void end_test(const std::shared_ptr<Test>& test, TestResult result);
  /// Opens a direct connection, and records whether it is established.
  void test_direct(const BackendPtr& backend);
  /// Asks another router to connect; in turn up to `attempts` of them.
  void ask_relay(const BackendPtr& backend, TimePoint failed_at, size_t attempts);
  /// Decides once another backend was heard since the failure, or kProofTimeout has passed.
  void decide(const BackendPtr& backend, TimePoint failed_at);
  void end_verification(const BackendPtr& backend, LinkVerdict verdict);

  BackendPool& pool_;
  VerdictHandler on_verdict_ = [](const BackendPtr&, LinkVerdict) {};
  TimePoint last_cut_off_probe_at_{0};
};

}  // namespace stoat::dispatch
