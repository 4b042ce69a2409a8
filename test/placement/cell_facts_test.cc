#include "placement/cell_facts.h"

#include <catch2/catch.hpp>

#include "cell_builder.h"

namespace lapishatch::placement {
namespace {

/// Two workers; "antenas" has one block of 8, and runs a gang in it; "fianza"
/// borrows the other worker.
CellFacts Sound() {
  CellFacts facts;
  facts.workers = {{MakeWorker(0)}, {MakeWorker(1)}};
  facts.guarantees = {MakeGuarantee("antenas", 8, Adjacency::kWorker, 1)};
  GangFact own;
  own.gang = MakeGang("own", "antenas", 1, 8);
  own.placement.tasks = {{0, MakeWorker(0).name, 0xff}};
  GangFact borrowed;
  borrowed.gang = MakeGang("borrowed", "fianza", 1, 8);
  borrowed.placement.tasks = {{0, MakeWorker(1).name, 0xff}};
  borrowed.placement.borrowed = true;
  facts.gangs = {own, borrowed};
  BlockFact block;
  block.organisation = base::OrganisationName("antenas");
  block.shape = {8, Adjacency::kWorker};
  block.parts = {{MakeWorker(0).name, 8}};
  facts.blocks = {block};
  return facts;
}

bool Finds(const CellFacts& facts, const std::string& problem) {
  INFO(CheckCell(facts));
  return CheckCell(facts).find(problem) != std::string::npos;
}

TEST_CASE("a sound cell has no problem") {
  CHECK(CheckCell(Sound()) == kNoProblem);
}

TEST_CASE("work on another's block that is not borrowed is found") {
  auto facts = Sound();
  facts.gangs[1].placement.borrowed = false;
  CHECK(Finds(facts, "neither borrowed nor in a guaranteed block"));
}

TEST_CASE("borrowed work that can't be evicted is found") {
  auto facts = Sound();
  facts.gangs[1].gang.checkpoint = false;
  facts.gangs[1].gang.idempotent = false;
  CHECK(Finds(facts, "can't be evicted"));
  facts.gangs[1].gang.may_be_lost = true;
  CHECK(CheckCell(facts) == kNoProblem);
}

TEST_CASE("a guarantee without its block is found") {
  auto facts = Sound();
  facts.guarantees[0].count = 2;
  CHECK(Finds(facts, "1 blocks too few"));
}

TEST_CASE("overlapping blocks are found") {
  auto facts = Sound();
  facts.guarantees[0].count = 2;
  facts.blocks.push_back(facts.blocks[0]);
  CHECK(Finds(facts, "overlap on worker w0"));
}

TEST_CASE("a block of the wrong size, spread or split is found") {
  auto facts = Sound();
  facts.blocks[0].parts = {{MakeWorker(0).name, 4}};
  CHECK(Finds(facts, "wrong size"));
  facts.blocks[0].parts = {{MakeWorker(0).name, 4}, {MakeWorker(1).name, 4}};
  CHECK(Finds(facts, "takes parts of several workers"));
  facts.guarantees[0].shape.accelerators = 16;
  facts.blocks[0].shape.accelerators = 16;
  facts.blocks[0].parts = {{MakeWorker(0).name, 8}, {MakeWorker(1).name, 8}};
  CHECK(Finds(facts, "is on several workers"));
}

TEST_CASE("an unused block on a worker that takes nothing new is found") {
  auto facts = Sound();
  facts.gangs.erase(facts.gangs.begin());
  facts.workers[0].health = WorkerHealth::kUnreachable;
  CHECK(Finds(facts, "is on a worker that takes nothing new"));
}

TEST_CASE("an overfilled worker is found, also one that is to come") {
  auto facts = Sound();
  auto more = facts.gangs[1];
  more.gang.job = base::JobName("more");
  more.placement.tasks[0].accelerators = 0;
  facts.gangs.push_back(more);
  CHECK(Finds(facts, "worker w1 is overfilled"));
  facts.gangs.back().arriving = true;
  CHECK(Finds(facts, "worker w1 will be overfilled"));
  facts.gangs[1].evicting = true;
  CHECK(CheckCell(facts) == kNoProblem);
}

TEST_CASE("a gang in part, or too far apart, is found") {
  auto facts = Sound();
  facts.gangs[1].gang.tasks = 2;
  CHECK(Finds(facts, "placed in part"));
  facts = Sound();
  facts.gangs[1].gang = MakeGang("borrowed", "fianza", 2, 4);
  facts.gangs[1].placement.tasks = {{0, MakeWorker(1).name, 0xf},
                                    {1, MakeWorker(9).name, 0xf}};
  facts.workers.push_back({MakeWorker(9)});
  CHECK(Finds(facts, "in several racks"));
  facts.gangs[1].gang.adjacency = Adjacency::kWorker;
  CHECK(Finds(facts, "on several workers"));
}

TEST_CASE("two tasks on one accelerator are found") {
  auto facts = Sound();
  facts.gangs[1].gang = MakeGang("borrowed", "fianza", 2, 4);
  facts.gangs[1].placement.tasks = {{0, MakeWorker(1).name, 0x0f},
                                    {1, MakeWorker(1).name, 0x18}};
  CHECK(Finds(facts, "two tasks hold one accelerator"));
}

}  // namespace
}  // namespace lapishatch::placement
