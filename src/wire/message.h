#ifndef LAPISHATCH_WIRE_MESSAGE_H_
#define LAPISHATCH_WIRE_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/base.h"
#include "wire/identity.h"

namespace lapishatch::wire {

/// Version of the inner protocol; processes of different versions refuse each
/// other.
inline constexpr std::int32_t kProtocolVersion = 1;

using LogName = base::Id<struct LogTag>;

/// Version of a change log: counts up by one with each change; 0 is none yet.
using LogVersion = std::uint64_t;

/// The first message of each side of a connection.
struct Hello {
  std::int32_t protocol_version = kProtocolVersion;
  Identity identity;

  friend bool operator==(const Hello&, const Hello&) = default;
};

/// Keeps an idle connection known to be alive.
struct Heartbeat {
  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

/// The newest version of one log at the sender.
struct LogHead {
  LogName log;
  LogVersion version = 0;

  friend bool operator==(const LogHead&, const LogHead&) = default;
};

/// A hash of the member records of one failure domain.
struct DomainHash {
  base::DomainName domain;
  std::uint64_t hash = 0;

  friend bool operator==(const DomainHash&, const DomainHash&) = default;
};

/// What each probe and its answer tell of the sender.
struct Digest {
  /// Orders the lives of one process name; see membership::Member.
  std::uint64_t generation = 0;
  std::uint64_t refutation = 0;
  /// Of all members that the sender holds for alive or suspect.
  std::uint64_t view_hash = 0;
  std::vector<LogHead> heads;
  /// Failure domains that the sender, a relay, cannot reach.
  std::vector<base::DomainName> unreachable_domains;

  friend bool operator==(const Digest&, const Digest&) = default;
};

/// Asks for an Ack with the same sequence number.
struct Ping {
  std::uint64_t sequence = 0;
  Digest digest;

  friend bool operator==(const Ping&, const Ping&) = default;
};

struct Ack {
  std::uint64_t sequence = 0;
  Digest digest;
  /// Only when the view hash of the Ping differs from the sender's.
  std::vector<DomainHash> domain_hashes;

  friend bool operator==(const Ack&, const Ack&) = default;
};

/// Asks the receiver to ping `target` and to tell of its Ack.
struct IndirectPing {
  std::uint64_t sequence = 0;
  Identity target;

  friend bool operator==(const IndirectPing&, const IndirectPing&) = default;
};

struct IndirectAck {
  std::uint64_t sequence = 0;
  ProcessName target;
  base::Incarnation incarnation;

  friend bool operator==(const IndirectAck&, const IndirectAck&) = default;
};

/// What is held of a member.
enum class MemberState : std::uint8_t {
  kAlive,
  /// It did not answer; it has some seconds to say that it lives.
  kSuspect,
  /// It did not answer for so long that it counts as gone.
  kDead,
  /// It said goodbye.
  kLeft,
};

struct MemberRecord {
  Identity identity;
  std::uint64_t generation = 0;
  std::uint64_t refutation = 0;
  MemberState state = MemberState::kAlive;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

/// Member records that may be news. The receiver answers with those of its own
/// that are newer, and with those of `whole_domains` that are missing.
struct Members {
  std::vector<MemberRecord> records;
  /// The failure domains of which `records` has every member that is not gone.
  std::vector<base::DomainName> whole_domains;

  friend bool operator==(const Members&, const Members&) = default;
};

/// Consecutive changes of a log; the first has version `first_version`.
struct LogEntries {
  LogName log;
  LogVersion first_version = 0;
  std::vector<std::string> entries;
  /// The receiver passes them on in its failure domain.
  bool pass_on = false;
  /// Version up to which the sender has the log without a gap.
  LogVersion head = 0;
  /// The receiver says with EntriesReceived that it has come.
  bool wants_receipt = false;

  friend bool operator==(const LogEntries&, const LogEntries&) = default;
};

/// The LogEntries of `log` that begin with `first_version` have come.
struct EntriesReceived {
  LogName log;
  LogVersion first_version = 0;

  friend bool operator==(const EntriesReceived&,
                         const EntriesReceived&) = default;
};

/// Asks for the changes from `first_version` on.
struct PullEntries {
  LogName log;
  LogVersion first_version = 0;

  friend bool operator==(const PullEntries&, const PullEntries&) = default;
};

/// Asks a process whether it is the life `holder` and holds the lease of a
/// cell.
struct OwnerQuery {
  base::CellName cell;
  base::Incarnation holder;

  friend bool operator==(const OwnerQuery&, const OwnerQuery&) = default;
};

/// Asks the owner of a job's cell why the job waits or where it runs.
struct ExplainQuery {
  base::JobName job;

  friend bool operator==(const ExplainQuery&, const ExplainQuery&) = default;
};

/// Asks the owner of a cell for the cell's status.
struct CellStatusQuery {
  base::CellName cell;

  friend bool operator==(const CellStatusQuery&,
                         const CellStatusQuery&) = default;
};

/// Asks for one chunk of a log's whole state.
struct SnapshotQuery {
  LogName log;
  /// 0 asks for the newest; else the version of the earlier chunks.
  LogVersion version = 0;
  std::uint64_t offset = 0;

  friend bool operator==(const SnapshotQuery&, const SnapshotQuery&) = default;
};

/// Asks a process for its status, or to gather those of its failure domain.
struct StatusQuery {
  bool whole_domain = false;

  friend bool operator==(const StatusQuery&, const StatusQuery&) = default;
};

using Query = std::variant<OwnerQuery, ExplainQuery, CellStatusQuery,
                           SnapshotQuery, StatusQuery>;

struct OwnerAnswer {
  base::CellName cell;
  /// The process holds the lease of the cell, by what it knows.
  bool holds = false;
  /// It holds it and cannot reach the table to renew.
  bool without_table = false;
  std::uint64_t epoch = 0;

  friend bool operator==(const OwnerAnswer&, const OwnerAnswer&) = default;
};

/// Answers ExplainQuery and CellStatusQuery.
struct TextAnswer {
  bool found = false;
  std::string text;

  friend bool operator==(const TextAnswer&, const TextAnswer&) = default;
};

struct SnapshotAnswer {
  LogVersion version = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t offset = 0;
  std::string bytes;

  friend bool operator==(const SnapshotAnswer&,
                         const SnapshotAnswer&) = default;
};

/// How far a process is with a log.
struct LogStatus {
  LogName log;
  LogVersion accepted = 0;
  LogVersion in_force = 0;

  friend bool operator==(const LogStatus&, const LogStatus&) = default;
};

/// A process's part in a cell.
struct CellStatus {
  base::CellName cell;
  /// As in the status page of a scheduler.
  std::string phase;
  std::uint64_t epoch = 0;
  std::int32_t workers = 0;
  std::int32_t workers_reached = 0;
  std::int32_t queued = 0;
  std::int32_t gangs = 0;

  friend bool operator==(const CellStatus&, const CellStatus&) = default;
};

/// A warning or error of a process, by its number in the catalogue.
struct EventLine {
  std::int32_t number = 0;
  std::int64_t age_ms = 0;
  std::string text;

  friend bool operator==(const EventLine&, const EventLine&) = default;
};

struct ProcessStatus {
  ProcessName name;
  base::Incarnation incarnation;
  bool ready = false;
  bool table_reachable = false;
  std::vector<LogStatus> logs;
  std::vector<CellStatus> cells;
  /// The newest first.
  std::vector<EventLine> events;

  friend bool operator==(const ProcessStatus&, const ProcessStatus&) = default;
};

/// The process itself, or those of its failure domain that answered it.
struct StatusAnswer {
  std::vector<ProcessStatus> processes;

  friend bool operator==(const StatusAnswer&, const StatusAnswer&) = default;
};

/// Why a query has no answer from the process that was asked.
enum class RefusalReason : std::uint8_t {
  /// The process does not serve such queries, for example an entry an
  /// OwnerQuery.
  kNotServed,
  /// It has too much to do.
  kBusy,
  /// It is stopping or has not started yet.
  kNotReady,
};

struct Refusal {
  RefusalReason reason = RefusalReason::kNotServed;
  std::string detail;

  friend bool operator==(const Refusal&, const Refusal&) = default;
};

using Answer = std::variant<OwnerAnswer, TextAnswer, SnapshotAnswer, Refusal,
                            StatusAnswer>;

struct Request {
  std::uint64_t id = 0;
  Query query;

  friend bool operator==(const Request&, const Request&) = default;
};

struct Response {
  std::uint64_t id = 0;
  Answer answer;

  friend bool operator==(const Response&, const Response&) = default;
};

using Message = std::variant<Hello, Heartbeat, Ping, Ack, IndirectPing,
                             IndirectAck, Members, LogEntries, PullEntries,
                             Request, Response, EntriesReceived>;

}  // namespace lapishatch::wire

namespace lapishatch::base {
template <>
struct EnumNames<wire::MemberState> {
  static constexpr std::array<std::string_view, 4> kNames = {"alive", "suspect",
                                                             "dead", "left"};
};
template <>
struct EnumNames<wire::RefusalReason> {
  static constexpr std::array<std::string_view, 3> kNames = {
      "not-served", "busy", "not-ready"};
};
}  // namespace lapishatch::base

#endif  // LAPISHATCH_WIRE_MESSAGE_H_
