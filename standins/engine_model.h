/// The stand-in engine without its network: continuous batching with stated costs, a prefix cache,
/// priorities, resumable and cancellable streams, fenced orders, an incarnation, lagged load, and a ledger of
/// every run.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "standins/engine_cache.h"

namespace stoat::standins {

/// Speed, size and faults of a stand-in engine. Durations are at time scale 1.
struct EngineSettings {
  std::string name = "engine";
  std::string model = "model";
  std::string weights_version = "v1";
  uint32_t block_tokens = 128;
  size_t cache_blocks = 4096;
  size_t max_running = 32;
  size_t max_waiting = 1024;
  uint32_t prefill_chunk_tokens = 2048;
  Duration iteration_base{6000us};     ///< of one batch iteration
  Duration decode_per_sequence{60us};  ///< added for each sequence that decodes in the iteration
  double prefill_us_per_token = 10;    ///< added for each prefilled token
  double time_scale = 1;               ///< how many times faster than life it runs
  FeedFaults feed;
  Duration load_lag{300ms};          ///< age of the load report
  Duration stream_retention{30s};    ///< how long a finished stream can be resumed
  Duration weights_load_time{2s};    ///< to load a model version
  double import_us_per_token = 1.2;  ///< to import kept blocks: 164 KB a token over some 1,100 Gbit/s
  Duration import_base{1500us};      ///< of one import
};

/// A request as the engine sees it.
struct EngineRequest {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  std::string idempotency_key;  ///< only for the ledger
  std::string tenant;           ///< only for the ledger
  uint64_t cache_seed = 0;      ///< seed of the block chain; separates namespaces
  std::string prompt;
  uint32_t first_index = 0;  ///< tokens that another engine already generated and that were delivered
  uint32_t max_tokens = 16;
  int32_t priority = 0;
  uint64_t expected_incarnation = 0;  ///< 0: any
  std::string expected_weights;       ///< empty: any
  uint32_t import_blocks = 0;         ///< leading blocks that the store of kept blocks has for it
  uint32_t export_blocks = 0;         ///< leading blocks to be exported after the prefill
};

/// Blocks that are to be sent to the store of kept blocks.
struct EngineExport {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  std::vector<cache::BlockHash> chain;  ///< from its beginning
};

/// Why a request was not taken. Each of them means that nothing ran.
enum class Refusal : uint8_t { kNone, kWrongIncarnation, kWrongWeights, kLeaving, kFull, kLoading };

/// The engine's name for a refusal on its HTTP interface.
const char* refusal_name(Refusal refusal);

/// Something that a stream gives.
struct EngineOutput {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  uint32_t index = 0;
  std::string text;
  bool finished = false;  ///< no more follows; `index` is the number of tokens
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
};

/// One line of the ledger.
struct LedgerLine {
  uint64_t request_id = 0;
  uint32_t attempt = 0;
  std::string idempotency_key;
  std::string tenant;
  std::string weights_version;
  uint32_t prompt_tokens = 0;
  uint32_t cached_tokens = 0;
  uint32_t imported_tokens = 0;
  bool started = false;  ///< its prefill has begun; the tokens hold from then on
  bool finished = false;
  bool cancelled = false;
};

/// What the engine says of its load.
struct EngineLoadReport {
  uint64_t incarnation = 0;
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t waiting_tokens = 0;
  bool leaving = false;
  std::string weights_version;
};

/// See the head of this file.
class EngineModel {
 public:
  EngineModel(const EngineSettings& settings, uint64_t incarnation, uint64_t seed);

  /// Takes a request, or says why not.
  Refusal submit(const EngineRequest& request, TimePoint now);
  /// Stops a request's work. False when it is not known.
  bool cancel(uint64_t request_id, uint32_t attempt);
  /// What a stream has given from `first_index` on so far. False when it is not known (any more).
  bool resume(uint64_t request_id, uint32_t attempt, uint32_t first_index,
              std::vector<EngineOutput>& outputs) const;
  /// Runs the iterations that end by `now`; gives what came out of them.
  std::vector<EngineOutput> advance(TimePoint now);
  /// What has become due for export since the last call.
  std::vector<EngineExport> take_exports();
  /// When the iteration under way ends; nothing to do when Duration::max().
  TimePoint next_event() const { return iteration_running_ ? iteration_end_ : TimePoint::max(); }

  /// Carries out an order unless a higher fence was seen. Equal fences are answered like the first time.
  bool order_load(uint64_t fence, const std::string& weights_version, TimePoint now);
  void set_leaving(bool leaving) { leaving_ = leaving; }

  /// The load as it was `load_lag` ago.
  EngineLoadReport load(TimePoint now) const;
  uint64_t incarnation() const { return incarnation_; }
  const std::string& weights_version() const { return weights_version_; }
  uint64_t highest_fence() const { return highest_fence_; }
  const EngineSettings& settings() const { return settings_; }
  EngineCache& prefix_cache() { return cache_; }
  const EngineCache& prefix_cache() const { return cache_; }
  const std::vector<LedgerLine>& ledger() const { return ledger_; }
  size_t unfinished() const { return active_; }

  /// The text of the token at an index; a function of the prompt alone, so that any engine goes on alike.
  static std::string token_text(uint64_t prompt_hash, uint32_t index);

 private:
  using StreamKey = std::pair<uint64_t, uint32_t>;
  enum class Phase : uint8_t { kWaiting, kImport, kPrefill, kDecode, kFinished };
  struct Stream {
    EngineRequest request;
    std::vector<cache::BlockHash> chain;
    uint64_t prompt_hash = 0;
    Phase phase = Phase::kWaiting;
    uint32_t prefill_left = 0;
    uint32_t planned_prefill = 0;  ///< in the iteration under way
    uint32_t next_index = 0;
    uint32_t prompt_tokens = 0;
    uint32_t cached_tokens = 0;
    uint32_t imported_tokens = 0;
    TimePoint imported_at{0};  ///< when its import ends
    size_t ledger_line = 0;
    TimePoint finished_at{0};
  };
  void begin_iteration(TimePoint now);
  void start_prefill(Stream& stream, TimePoint now);
  void end_import(Stream& stream, TimePoint now);
  void start_waiting(TimePoint now);
  void finish_iteration(std::vector<EngineOutput>& outputs);
  void emit_token(Stream& stream, std::vector<EngineOutput>& outputs);
  void forget_old_streams(TimePoint now);
  void note_load(TimePoint now);
  EngineOutput closing_output(const Stream& stream) const;
  Duration scaled(Duration span) const;

  EngineSettings settings_;
  uint64_t incarnation_;
  std::string weights_version_;
  std::string loading_version_;
  TimePoint loading_until_{0};
  uint64_t highest_fence_ = 0;
  bool leaving_ = false;
  EngineCache cache_;
  std::map<StreamKey, Stream> streams_;
  std::vector<StreamKey> waiting_;
  std::vector<StreamKey> running_;
  std::deque<StreamKey> finished_;
  std::vector<EngineExport> exports_;
  size_t active_ = 0;
  bool iteration_running_ = false;
  TimePoint iteration_end_{0};
  std::vector<LedgerLine> ledger_;
  std::deque<std::pair<TimePoint, EngineLoadReport>> load_history_;
};

}  // namespace stoat::standins
