#include "wire/codec.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <string>
#include <type_traits>

#include "wire/frame.h"

namespace lapishatch::wire {
namespace {

rc::Gen<std::string> AnyText() { return rc::gen::arbitrary<std::string>(); }

template <typename Id>
rc::Gen<Id> AnyId() {
  return rc::gen::map(AnyText(), [](std::string it) { return Id(it); });
}

rc::Gen<std::uint64_t> AnyNumber() {
  return rc::gen::arbitrary<std::uint64_t>();
}

Identity AnyIdentity() {
  return Identity{
      *AnyId<ProcessName>(),
      *rc::gen::element(Role::kEntry, Role::kScheduler),
      *AnyId<base::DomainName>(),
      *AnyId<base::Incarnation>(),
      Endpoint{*AnyText(), *rc::gen::arbitrary<std::uint16_t>()},
  };
}

Digest AnyDigest() {
  Digest out;
  out.generation = *AnyNumber();
  out.refutation = *AnyNumber();
  out.view_hash = *AnyNumber();
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    out.heads.push_back({*AnyId<LogName>(), *AnyNumber()});
    out.unreachable_domains.push_back(*AnyId<base::DomainName>());
  }
  return out;
}

Members AnyMembers() {
  Members out;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    out.records.push_back(
        {AnyIdentity(), *AnyNumber(), *AnyNumber(),
         *rc::gen::element(MemberState::kAlive, MemberState::kSuspect,
                           MemberState::kDead, MemberState::kLeft)});
    out.whole_domains.push_back(*AnyId<base::DomainName>());
  }
  return out;
}

Query AnyQuery() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return OwnerQuery{*AnyId<base::CellName>(), *AnyId<base::Incarnation>()};
    case 1:
      return ExplainQuery{*AnyId<base::JobName>()};
    case 2:
      return CellStatusQuery{*AnyId<base::CellName>()};
    case 3:
      return StatusQuery{*rc::gen::arbitrary<bool>()};
    default:
      return SnapshotQuery{*AnyId<LogName>(), *AnyNumber(), *AnyNumber()};
  }
}

StatusAnswer AnyStatusAnswer() {
  StatusAnswer out;
  for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
    const auto n = *rc::gen::arbitrary<std::int32_t>();
    out.processes.push_back(
        {*AnyId<ProcessName>(),
         *AnyId<base::Incarnation>(),
         *rc::gen::arbitrary<bool>(),
         *rc::gen::arbitrary<bool>(),
         {{*AnyId<LogName>(), *AnyNumber(), *AnyNumber()}},
         {{*AnyId<base::CellName>(), *AnyText(), *AnyNumber(), n, n, n, n}},
         {{n, *rc::gen::arbitrary<std::int64_t>(), *AnyText()}}});
  }
  return out;
}

Answer AnyAnswer() {
  const bool flag = *rc::gen::arbitrary<bool>();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return OwnerAnswer{*AnyId<base::CellName>(), flag, !flag, *AnyNumber()};
    case 1:
      return TextAnswer{flag, *AnyText()};
    case 2:
      return SnapshotAnswer{*AnyNumber(), *AnyNumber(), *AnyNumber(),
                            *AnyText()};
    case 3:
      return AnyStatusAnswer();
    default:
      return Refusal{RefusalReason::kBusy, *AnyText()};
  }
}

Message AnyMessage() {
  switch (*rc::gen::inRange(0, 12)) {
    case 0:
      return Hello{*rc::gen::arbitrary<std::int32_t>(), AnyIdentity()};
    case 1:
      return Heartbeat{};
    case 2:
      return Ping{*AnyNumber(), AnyDigest()};
    case 3:
      return Ack{*AnyNumber(),
                 AnyDigest(),
                 {{*AnyId<base::DomainName>(), *AnyNumber()}}};
    case 4:
      return IndirectPing{*AnyNumber(), AnyIdentity()};
    case 5:
      return IndirectAck{*AnyNumber(), *AnyId<ProcessName>(),
                         *AnyId<base::Incarnation>()};
    case 6:
      return AnyMembers();
    case 7:
      return LogEntries{*AnyId<LogName>(),
                        *AnyNumber(),
                        *rc::gen::arbitrary<std::vector<std::string>>(),
                        *rc::gen::arbitrary<bool>(),
                        *AnyNumber(),
                        *rc::gen::arbitrary<bool>()};
    case 10:
      return EntriesReceived{*AnyId<LogName>(), *AnyNumber()};
    case 8:
      return PullEntries{*AnyId<LogName>(), *AnyNumber()};
    case 9:
      return Request{*AnyNumber(), AnyQuery()};
    default:
      return Response{*AnyNumber(), AnyAnswer()};
  }
}

TEST_CASE("every message comes back as it was encoded") {
  CHECK(rc::check([] {
    const auto message = AnyMessage();
    const auto result = Decode(Encode(message));
    RC_ASSERT(std::holds_alternative<Message>(result));
    RC_ASSERT(std::get<Message>(result) == message);
  }));
}

TEST_CASE("any bytes decode to a message or an error") {
  CHECK(rc::check([](const std::string& bytes) { Decode(bytes); }));
}

TEST_CASE("a message with some bytes changed or cut off never crashes") {
  CHECK(rc::check([] {
    auto bytes = Encode(AnyMessage());
    for (int i = *rc::gen::inRange(1, 4); i > 0; --i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    Decode(bytes.substr(0, *rc::gen::inRange<std::size_t>(0, bytes.size())));
    Decode(bytes);
  }));
}

TEST_CASE("a truncated message is an error") {
  const auto bytes = Encode(Ping{7, {1, 2, 3, {{LogName("jobs"), 9}}, {}}});
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    CHECK(std::holds_alternative<DecodeError>(Decode(bytes.substr(0, n))));
  }
  CHECK(std::holds_alternative<DecodeError>(Decode(bytes + "x")));
}

TEST_CASE("a claim of a huge list or string costs no memory") {
  // Message 8 (LogEntries), field 3: a list of 2^31-1 strings.
  const std::string list = "\x8c\x3c\xf8\xff\xff\xff\xff\x07";
  CHECK(std::holds_alternative<DecodeError>(Decode(list)));
  // Message 8, field 1: a string of 2^31-1 bytes.
  const std::string text = "\x8c\x18\xff\xff\xff\xff\x07";
  CHECK(std::holds_alternative<DecodeError>(Decode(text)));
}

TEST_CASE("a state out of range is an error, not a member") {
  Members members;
  members.records.push_back({});
  members.records[0].state = static_cast<MemberState>(9);
  CHECK(std::holds_alternative<DecodeError>(Decode(Encode(members))));
}

TEST_CASE("a frame header gives the length, within its bound") {
  const auto frame = MakeFrame(std::string(300, 'x'));
  CHECK(frame.size() == 304);
  CHECK(PayloadBytes(frame.substr(0, 4), 300) == 300);
  CHECK_FALSE(PayloadBytes(frame.substr(0, 4), 299).has_value());
  CHECK_FALSE(PayloadBytes(std::string(4, '\0'), 300).has_value());
  CHECK_FALSE(PayloadBytes("\xff\xff\xff\xff", 300).has_value());
}

}  // namespace
}  // namespace lapishatch::wire
