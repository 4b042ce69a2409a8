#include "store/store_health.h"

#include <utility>

namespace lapishatch::store {
namespace {

/// Which row does not matter: none need be there.
constexpr const char* kProbeTable = "health";

}  // namespace

class MonitoredStore::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(base::EventLoop& loop, RowStore& store, StoreHealthOptions options)
      : loop_(loop),
        store_(store),
        options_(options),
        patience_(options.patience) {}

  void Start() {
    answered_at_ = loop_.Now();
    Tick();
  }

  void Tick() {
    Watch();
    loop_.After(options_.probe_every, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Tick();
    });
  }

  bool IsOut() const {
    const auto silence = loop_.Now() - answered_at_;
    return silence > options_.out_after ||
           (is_refused_ && silence > options_.refused_after);
  }

  /// Passes a call's answer on after noting it.
  template <typename Result>
  std::function<void(Result)> Noting(std::function<void(Result)> done) {
    return [weak = weak_from_this(), sent = loop_.Now(),
            done = std::move(done)](Result result) {
      if (const auto self = weak.lock()) self->Note(result, sent);
      done(std::move(result));
    };
  }

  void Commit(RowTransaction transaction,
              std::function<void(RowsResult)> done) {
    auto call = std::make_shared<OpenCommit>();
    call->sent = loop_.Now();
    call->done = std::move(done);
    store_.Commit(std::move(transaction),
                  Noting<RowsResult>([call](RowsResult result) {
                    call->Answer(std::move(result));
                  }));
    WaitFor(call, patience_.Timeout());
  }

  RowStore& store() { return store_; }

 private:
  /// A transaction whose caller has no answer yet.
  struct OpenCommit {
    base::TimePoint sent;
    std::function<void(RowsResult)> done;

    void Answer(RowsResult result) {
      if (done) std::exchange(done, nullptr)(std::move(result));
    }
  };

  void WaitFor(const std::shared_ptr<OpenCommit>& call, base::Duration wait) {
    loop_.After(wait, [weak = weak_from_this(), call] {
      if (const auto self = weak.lock()) self->CheckOpen(call);
    });
  }

  /// The store may have been seen to be slow since the call was sent.
  void CheckOpen(const std::shared_ptr<OpenCommit>& call) {
    if (!call->done) return;
    const auto left = call->sent + patience_.Timeout() - loop_.Now();
    if (left > base::Duration(0)) return WaitFor(call, left);
    call->Answer(UnknownOutcome{"no answer in time"});
  }

  void Watch() {
    const bool is_out = IsOut();
    if (is_out != was_out_) {
      was_out_ = is_out;
      base::Log(is_out ? base::events::kStoreOut : base::events::kStoreBack,
                {{"silent_ms", (loop_.Now() - answered_at_).count()}});
    }
    if (loop_.Now() - answered_at_ < options_.probe_after) return;
    store_.Read({kProbeTable, "", "", "", 1},
                Noting<RowsReadResult>([](const RowsReadResult&) {}));
  }

  void Note(const RowsResult& result, base::TimePoint sent) {
    if (std::holds_alternative<RowsCommitted>(result) ||
        std::holds_alternative<RowsConflict>(result)) {
      patience_.OnCommit(loop_.Now() - sent);
      return NoteAnswer();
    }
    NoteFailure(sent);
  }

  void Note(const RowsReadResult& result, base::TimePoint sent) {
    if (std::holds_alternative<ReadFailed>(result)) return NoteFailure(sent);
    patience_.OnRead(loop_.Now() - sent);
    NoteAnswer();
  }

  template <typename Result>
  void Note(const Result& result, base::TimePoint sent) {
    if (std::holds_alternative<ReadFailed>(result)) return NoteFailure(sent);
    NoteAnswer();
  }

  void NoteAnswer() {
    answered_at_ = loop_.Now();
    is_refused_ = false;
  }

  /// A failure within milliseconds is a refusal or a broken connection, and not
  /// silence.
  void NoteFailure(base::TimePoint sent) {
    if (loop_.Now() - sent < options_.refused_after) is_refused_ = true;
  }

  base::EventLoop& loop_;
  RowStore& store_;
  const StoreHealthOptions options_;
  CommitPatience patience_;
  base::TimePoint answered_at_{};
  bool is_refused_ = false;
  bool was_out_ = false;
};

MonitoredStore::MonitoredStore(base::EventLoop& loop, RowStore& store,
                               StoreHealthOptions options)
    : impl_(std::make_shared<Impl>(loop, store, options)) {}

MonitoredStore::~MonitoredStore() = default;

void MonitoredStore::Start() { impl_->Start(); }

bool MonitoredStore::IsOut() const { return impl_->IsOut(); }

void MonitoredStore::Commit(RowTransaction transaction,
                            std::function<void(RowsResult)> done) {
  impl_->Commit(std::move(transaction), std::move(done));
}

void MonitoredStore::Read(RowRange range,
                          std::function<void(RowsReadResult)> done) {
  impl_->store().Read(std::move(range),
                      impl_->Noting<RowsReadResult>(std::move(done)));
}

void MonitoredStore::Parts(std::string table,
                           std::function<void(PartsResult)> done) {
  impl_->store().Parts(std::move(table),
                       impl_->Noting<PartsResult>(std::move(done)));
}

void MonitoredStore::Feed(FeedRequest request,
                          std::function<void(RowsFeedResult)> done) {
  impl_->store().Feed(std::move(request),
                      impl_->Noting<RowsFeedResult>(std::move(done)));
}

}  // namespace lapishatch::store
