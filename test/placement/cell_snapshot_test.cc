#include "placement/cell_snapshot.h"

#include <catch2/catch.hpp>

#include "cell_builder.h"

namespace lapishatch::placement {
namespace {

/// Two workers; "antenas" has one block of 8, and runs a gang in it; "fianza"
/// borrows the other worker.
CellSnapshot ValidCell() {
  CellSnapshot snapshot;
  snapshot.workers = {{MakeWorker(0)}, {MakeWorker(1)}};
  snapshot.guarantees = {MakeGuarantee("antenas", 8, Adjacency::kWorker, 1)};
  GangSnapshot own;
  own.gang = MakeGang("own", "antenas", 1, 8);
  own.placement.tasks = {{0, MakeWorker(0).name, 0xff}};
  GangSnapshot borrowed;
  borrowed.gang = MakeGang("borrowed", "fianza", 1, 8);
  borrowed.placement.tasks = {{0, MakeWorker(1).name, 0xff}};
  borrowed.placement.borrowed = true;
  snapshot.gangs = {own, borrowed};
  BlockSnapshot block;
  block.organisation = base::OrganisationName("antenas");
  block.shape = {8, Adjacency::kWorker};
  block.parts = {{MakeWorker(0).name, 8}};
  snapshot.blocks = {block};
  return snapshot;
}

bool ReportsProblem(const CellSnapshot& snapshot, const std::string& problem) {
  INFO(CheckCellInvariant(snapshot));
  return CheckCellInvariant(snapshot).find(problem) != std::string::npos;
}

TEST_CASE("a valid cell has no violation") {
  CHECK(CheckCellInvariant(ValidCell()) == kNoProblem);
}

TEST_CASE("unborrowed work in another organisation's block is reported") {
  auto snapshot = ValidCell();
  snapshot.gangs[1].placement.borrowed = false;
  CHECK(ReportsProblem(snapshot, "neither borrowed nor in a guaranteed block"));
}

TEST_CASE("borrowed work that can't be evicted is reported") {
  auto snapshot = ValidCell();
  snapshot.gangs[1].gang.checkpointable = false;
  snapshot.gangs[1].gang.idempotent = false;
  CHECK(ReportsProblem(snapshot, "can't be evicted"));
  snapshot.gangs[1].gang.may_be_lost = true;
  CHECK(CheckCellInvariant(snapshot) == kNoProblem);
}

TEST_CASE("a guarantee without its block is reported") {
  auto snapshot = ValidCell();
  snapshot.guarantees[0].count = 2;
  CHECK(ReportsProblem(snapshot, "1 blocks too few"));
}

TEST_CASE("overlapping blocks are reported") {
  auto snapshot = ValidCell();
  snapshot.guarantees[0].count = 2;
  snapshot.blocks.push_back(snapshot.blocks[0]);
  CHECK(ReportsProblem(snapshot, "overlap on worker w0"));
}

TEST_CASE("a block with the wrong size or location is reported") {
  auto snapshot = ValidCell();
  snapshot.blocks[0].parts = {{MakeWorker(0).name, 4}};
  CHECK(ReportsProblem(snapshot, "wrong size"));
  snapshot.blocks[0].parts = {{MakeWorker(0).name, 4}, {MakeWorker(1).name, 4}};
  CHECK(ReportsProblem(snapshot, "takes parts of several workers"));
  snapshot.guarantees[0].shape.accelerators = 16;
  snapshot.blocks[0].shape.accelerators = 16;
  snapshot.blocks[0].parts = {{MakeWorker(0).name, 8}, {MakeWorker(1).name, 8}};
  CHECK(ReportsProblem(snapshot, "is on several workers"));
}

TEST_CASE("an unused block on an unreachable worker is reported") {
  auto snapshot = ValidCell();
  snapshot.gangs.erase(snapshot.gangs.begin());
  snapshot.workers[0].health = WorkerHealth::kUnreachable;
  CHECK(ReportsProblem(snapshot, "is on a worker that accepts no new tasks"));
}

TEST_CASE("a worker that is or will be overfilled is reported") {
  auto snapshot = ValidCell();
  auto more = snapshot.gangs[1];
  more.gang.job = base::JobName("more");
  more.placement.tasks[0].accelerators = 0;
  snapshot.gangs.push_back(more);
  CHECK(ReportsProblem(snapshot, "worker w1 is overfilled"));
  snapshot.gangs.back().awaiting_capacity = true;
  CHECK(ReportsProblem(snapshot, "worker w1 will be overfilled"));
  snapshot.gangs[1].evicting = true;
  CHECK(CheckCellInvariant(snapshot) == kNoProblem);
}

TEST_CASE("a gang that is partly placed or violates adjacency is reported") {
  auto snapshot = ValidCell();
  snapshot.gangs[1].gang.tasks = 2;
  CHECK(ReportsProblem(snapshot, "only partly placed"));
  snapshot = ValidCell();
  snapshot.gangs[1].gang = MakeGang("borrowed", "fianza", 2, 4);
  snapshot.gangs[1].placement.tasks = {{0, MakeWorker(1).name, 0xf},
                                       {1, MakeWorker(9).name, 0xf}};
  snapshot.workers.push_back({MakeWorker(9)});
  CHECK(ReportsProblem(snapshot, "in several racks"));
  snapshot.gangs[1].gang.adjacency = Adjacency::kWorker;
  CHECK(ReportsProblem(snapshot, "on several workers"));
}

TEST_CASE("two tasks on one accelerator are reported") {
  auto snapshot = ValidCell();
  snapshot.gangs[1].gang = MakeGang("borrowed", "fianza", 2, 4);
  snapshot.gangs[1].placement.tasks = {{0, MakeWorker(1).name, 0x0f},
                                       {1, MakeWorker(1).name, 0x18}};
  CHECK(ReportsProblem(snapshot, "two tasks hold one accelerator"));
}

}  // namespace
}  // namespace lapishatch::placement
