// The inner protocol between lapishatch processes. The C++ in gen/ is made from
// this file by scripts/generate-wire and committed. Field numbers are never
// used for another meaning; new fields are optional.

namespace cpp lapishatch.wire.gen

struct Endpoint {
  1: string address
  2: i32 port
}

struct Identity {
  1: string name
  2: i32 role
  3: string domain
  4: string incarnation
  5: Endpoint endpoint
}

// The first message of each side of a connection.
struct Hello {
  1: i32 protocol_version
  2: Identity identity
}

// Keeps an idle connection known to be alive.
struct Heartbeat {
}

struct LogHead {
  1: string log
  2: i64 version
}

struct DomainHash {
  1: string domain
  2: i64 hash
}

struct Ping {
  1: i64 sequence
  2: i64 generation
  3: i64 refutation
  4: i64 view_hash
  5: list<LogHead> heads
  6: list<string> unreachable_domains
}

struct Ack {
  1: i64 sequence
  2: i64 generation
  3: i64 refutation
  4: i64 view_hash
  5: list<LogHead> heads
  6: list<string> unreachable_domains
  // Only when the view hashes differ.
  7: list<DomainHash> domain_hashes
}

// Asks the receiver to ping `target` and to pass its ack on.
struct IndirectPing {
  1: i64 sequence
  2: Identity target
}

struct IndirectAck {
  1: i64 sequence
  2: string target
  3: string incarnation
}

struct MemberRecord {
  1: Identity identity
  2: i64 generation
  3: i64 refutation
  4: i32 state
}

struct Members {
  1: list<MemberRecord> records
  // The failure domains of which `records` has every member that is not gone.
  2: list<string> whole_domains
}

struct LogEntries {
  1: string log
  2: i64 first_version
  3: list<binary> entries
  // The receiver passes them on in its failure domain.
  4: bool pass_on
  // Up to which the sender has the log without a gap.
  5: i64 head
  // The receiver says with EntriesReceived that it has come.
  6: optional bool wants_receipt
}

struct EntriesReceived {
  1: string log
  // Of the LogEntries that have come.
  2: i64 first_version
}

struct PullEntries {
  1: string log
  2: i64 first_version
}

struct OwnerQuery {
  1: string cell
  2: string holder
}

struct ExplainQuery {
  1: string job
}

struct CellStatusQuery {
  1: string cell
}

struct SnapshotQuery {
  1: string log
  // 0 asks for the newest; else the version of the earlier chunks.
  2: i64 version
  3: i64 offset
}

// Asks a process for its status; one that gathers answers for all of its
// failure domain.
struct StatusQuery {
  1: bool whole_domain
}

union Query {
  1: OwnerQuery owner
  2: ExplainQuery explain
  3: CellStatusQuery cell_status
  4: SnapshotQuery snapshot
  5: StatusQuery status
}

struct OwnerAnswer {
  1: string cell
  2: bool holds
  3: bool without_table
  4: i64 epoch
}

struct TextAnswer {
  1: bool found
  2: string text
}

struct SnapshotAnswer {
  1: i64 version
  2: i64 total_bytes
  3: i64 offset
  4: binary bytes
}

struct LogStatus {
  1: string log
  2: i64 accepted
  3: i64 in_force
}

struct CellStatus {
  1: string cell
  2: string phase
  3: i64 epoch
  4: i32 workers
  5: i32 workers_reached
  6: i32 queued
  7: i32 gangs
}

struct EventLine {
  1: i32 number
  2: i64 age_ms
  3: string text
}

struct ProcessStatus {
  1: string name
  2: string incarnation
  3: bool ready
  4: bool table_reachable
  5: list<LogStatus> logs
  6: list<CellStatus> cells
  // The newest first.
  7: list<EventLine> events
}

struct StatusAnswer {
  1: list<ProcessStatus> processes
}

struct Refusal {
  1: i32 reason
  2: string detail
}

union Answer {
  1: OwnerAnswer owner
  2: TextAnswer text
  3: SnapshotAnswer snapshot
  4: Refusal refusal
  5: StatusAnswer status
}

struct Request {
  1: i64 id
  2: Query query
}

struct Response {
  1: i64 id
  2: Answer answer
}

union Message {
  1: Hello hello
  2: Heartbeat heartbeat
  3: Ping ping
  4: Ack ack
  5: IndirectPing indirect_ping
  6: IndirectAck indirect_ack
  7: Members members
  8: LogEntries log_entries
  9: PullEntries pull_entries
  10: Request request
  11: Response response
  12: EntriesReceived entries_received
}
