#include "scheduler/internal/recorder.h"

#include <catch2/catch.hpp>

#include "fakes/fakes.h"

namespace lapishatch::scheduler::internal {
namespace {

using config::JobPhase;

/// A recorder on a table whose fence stands at version 1.
struct Fixture {
  Fixture() : process(time), table(time), view(table, process) {
    options.cell = base::CellName("mixco-1");
    MoveFence();
    recorder = std::make_unique<Recorder>(options, process, view, 1, Hooks());
  }

  Recorder::Hooks Hooks() {
    Recorder::Hooks hooks;
    hooks.may_act = [this] { return may_act; };
    hooks.deposed = [this] { deposed = true; };
    hooks.table_lost = [this] { ++outages; };
    hooks.table_back = [] {};
    return hooks;
  }

  void MoveFence() {
    table.Apply({{}, {{FenceKey(options.cell), std::string("{}")}}});
  }

  JobRecord RecordOf(const std::string& job, JobPhase phase,
                     IntentChange intent = KeepIntent{}) const {
    config::JobStatus status;
    status.phase = phase;
    return {base::JobName(job), status, std::move(intent)};
  }

  Recorder::Done Note(const std::string& name) {
    return [this, name](RecordResult it) { results[name] = it; };
  }

  std::optional<JobPhase> PhaseOf(const std::string& job) const {
    const auto row = table.Peek(StatusKey(base::JobName(job)));
    if (!row) return std::nullopt;
    return DecodeStatusRow(row->value)->status.phase;
  }

  static PutIntent Put(const std::string& attempt) {
    Intent intent;
    intent.attempt = base::AttemptId(attempt);
    return {intent};
  }

  fakes::VirtualTime time;
  fakes::FakeProcess process;
  fakes::FakeTable table;
  fakes::FakeTableView view;
  OwnerOptions options;
  bool may_act = true;
  bool deposed = false;
  int outages = 0;
  std::map<std::string, RecordResult> results;
  std::unique_ptr<Recorder> recorder;
};

TEST_CASE("records of one moment travel in one transaction") {
  Fixture it;
  const auto before = it.table.commits();
  for (int i = 0; i < 32; ++i) {
    const auto name = std::to_string(i);
    it.recorder->Record(it.RecordOf(name, JobPhase::kRunning), it.Note(name));
  }
  it.time.RunFor(base::Duration(100));
  CHECK(it.table.commits() - before == 1);
  CHECK(it.results.size() == 32);
  CHECK(it.PhaseOf("31") == JobPhase::kRunning);
}

TEST_CASE("an owner whose fence has moved records nothing") {
  Fixture it;
  it.MoveFence();
  it.recorder->Record(it.RecordOf("job", JobPhase::kRunning), it.Note("job"));
  it.time.RunFor(base::Duration(1'000));
  CHECK(it.deposed);
  CHECK(it.results.empty());
  CHECK_FALSE(it.PhaseOf("job"));
}

TEST_CASE("an owner that may not act sends nothing") {
  Fixture it;
  it.may_act = false;
  const auto before = it.table.commits();
  it.recorder->Record(it.RecordOf("job", JobPhase::kRunning), it.Note("job"));
  it.time.RunFor(base::Duration(10'000));
  CHECK(it.table.commits() == before);
}

TEST_CASE("an unknown outcome is read back and never written twice over") {
  for (const auto fault :
       {fakes::TableFault::kAnswerLost, fakes::TableFault::kRequestLost}) {
    CAPTURE(static_cast<int>(fault));
    Fixture it;
    int commits = 0;
    it.table.SetCommitFault([&](const auto&) {
      return commits++ == 0 ? fault : fakes::TableFault::kNone;
    });
    it.recorder->Record(it.RecordOf("job", JobPhase::kStarting, it.Put("a")),
                        it.Note("start"));
    it.time.RunFor(base::Duration(100));
    CHECK(it.results.empty());
    it.recorder->Record(it.RecordOf("job", JobPhase::kFinished, DropIntent{}),
                        it.Note("end"));
    it.time.RunFor(base::Duration(5'000));
    CHECK(it.results.at("start") == RecordResult::kRecorded);
    CHECK(it.results.at("end") == RecordResult::kRecorded);
    CHECK(it.PhaseOf("job") == JobPhase::kFinished);
    CHECK_FALSE(it.table.Peek(IntentKey(base::JobName("job"))));
    // One write of each row, and no more.
    CHECK(it.table.Peek(StatusKey(base::JobName("job")))->version == 2);
    CHECK(it.outages == 1);
  }
}

TEST_CASE("a late copy of a transaction does nothing") {
  Fixture it;
  std::optional<store::Transaction> lost;
  it.table.SetCommitFault([&](const store::Transaction& transaction) {
    if (lost) return fakes::TableFault::kNone;
    lost = transaction;
    return fakes::TableFault::kRequestLost;
  });
  it.recorder->Record(it.RecordOf("job", JobPhase::kStarting, it.Put("a")),
                      it.Note("start"));
  it.time.RunFor(base::Duration(5'000));
  it.recorder->Record(it.RecordOf("job", JobPhase::kFinished, DropIntent{}),
                      it.Note("end"));
  it.time.RunFor(base::Duration(5'000));
  REQUIRE(lost);
  CHECK(std::holds_alternative<store::Conflict>(it.table.Apply(*lost)));
  CHECK(it.PhaseOf("job") == JobPhase::kFinished);
}

TEST_CASE("an intent that was never sent gives way to what follows") {
  Fixture it;
  it.table.SetDown(true);
  it.recorder->Record(it.RecordOf("job", JobPhase::kStarting, it.Put("a")),
                      it.Note("start"));
  it.time.RunFor(base::Duration(3'000));
  it.recorder->Record(it.RecordOf("job", JobPhase::kQueued, DropIntent{}),
                      it.Note("again"));
  CHECK(it.results.at("start") == RecordResult::kSuperseded);
  it.table.SetDown(false);
  it.time.RunFor(base::Duration(5'000));
  CHECK(it.results.at("again") == RecordResult::kRecorded);
  CHECK(it.PhaseOf("job") == JobPhase::kQueued);
  CHECK_FALSE(it.table.Peek(IntentKey(base::JobName("job"))));
}

TEST_CASE("a foreign intent is never written over") {
  Fixture it;
  const auto key = IntentKey(base::JobName("job"));
  it.table.Apply({{}, {{key, EncodeIntent(it.Put("other").intent)}}});
  it.recorder->Record(it.RecordOf("job", JobPhase::kStarting, it.Put("a")),
                      it.Note("job"));
  it.recorder->Record(it.RecordOf("else", JobPhase::kRunning), it.Note("else"));
  it.time.RunFor(base::Duration(5'000));
  CHECK(it.results.at("job") == RecordResult::kForeignIntent);
  CHECK(it.results.at("else") == RecordResult::kRecorded);
  CHECK(DecodeIntent(it.table.Peek(key)->value)->attempt ==
        base::AttemptId("other"));
}

}  // namespace
}  // namespace lapishatch::scheduler::internal
