#include "wire/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <exception>
#include <limits>
#include <memory>
#include <stdexcept>
#include <type_traits>
#include <utility>

#include "wire/gen/lapishatch_types.h"

namespace lapishatch::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using CompactProtocol = TCompactProtocolT<TMemoryBuffer>;

/// Thrown inside this file only; Decode turns it into a DecodeError.
class OutOfRange : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::int64_t ToThrift(std::uint64_t value) {
  return static_cast<std::int64_t>(value);
}

std::uint64_t FromThrift(std::int64_t value) {
  return static_cast<std::uint64_t>(value);
}

template <typename Enum>
Enum EnumFromThrift(std::int32_t value) {
  if (value < 0 || static_cast<std::size_t>(value) >= base::kEnumSize<Enum>) {
    throw OutOfRange("an enum value is unknown");
  }
  return static_cast<Enum>(value);
}

template <typename Id>
std::vector<std::string> TextsOf(const std::vector<Id>& ids) {
  std::vector<std::string> texts;
  texts.reserve(ids.size());
  for (const auto& it : ids) texts.push_back(it.str());
  return texts;
}

template <typename Id>
std::vector<Id> IdsOf(std::vector<std::string>&& texts) {
  std::vector<Id> ids;
  ids.reserve(texts.size());
  for (auto& it : texts) ids.emplace_back(std::move(it));
  return ids;
}

gen::Identity ToThrift(const Identity& identity) {
  gen::Identity out;
  out.name = identity.name.str();
  out.role = static_cast<std::int32_t>(identity.role);
  out.domain = identity.domain.str();
  out.incarnation = identity.incarnation.str();
  out.endpoint.address = identity.endpoint.address;
  out.endpoint.port = identity.endpoint.port;
  return out;
}

Identity FromThrift(gen::Identity&& in) {
  if (in.endpoint.port < 0 ||
      in.endpoint.port > std::numeric_limits<std::uint16_t>::max()) {
    throw OutOfRange("a port is out of range");
  }
  Identity out;
  out.name = ProcessName(std::move(in.name));
  out.role = EnumFromThrift<Role>(in.role);
  out.domain = base::DomainName(std::move(in.domain));
  out.incarnation = base::Incarnation(std::move(in.incarnation));
  out.endpoint.address = std::move(in.endpoint.address);
  out.endpoint.port = static_cast<std::uint16_t>(in.endpoint.port);
  return out;
}

gen::LogHead ToThrift(const LogHead& head) {
  gen::LogHead out;
  out.log = head.log.str();
  out.version = ToThrift(head.version);
  return out;
}

gen::DomainHash ToThrift(const DomainHash& hash) {
  gen::DomainHash out;
  out.domain = hash.domain.str();
  out.hash = ToThrift(hash.hash);
  return out;
}

gen::MemberRecord ToThrift(const MemberRecord& record) {
  gen::MemberRecord out;
  out.identity = ToThrift(record.identity);
  out.generation = ToThrift(record.generation);
  out.refutation = ToThrift(record.refutation);
  out.state = static_cast<std::int32_t>(record.state);
  return out;
}

gen::LogStatus ToThrift(const LogStatus& in);
gen::CellStatus ToThrift(const CellStatus& in);
gen::EventLine ToThrift(const EventLine& in);
gen::ProcessStatus ToThrift(const ProcessStatus& in);

template <typename Out, typename In>
std::vector<Out> ListToThrift(const std::vector<In>& in) {
  std::vector<Out> out;
  out.reserve(in.size());
  for (const auto& it : in) out.push_back(ToThrift(it));
  return out;
}

/// Ping and Ack carry the digest's fields side by side, which saves the bytes
/// of a nested struct in the messages that are sent most.
template <typename Thrift>
void PutDigest(const Digest& digest, Thrift& out) {
  out.generation = ToThrift(digest.generation);
  out.refutation = ToThrift(digest.refutation);
  out.view_hash = ToThrift(digest.view_hash);
  out.heads = ListToThrift<gen::LogHead>(digest.heads);
  out.unreachable_domains = TextsOf(digest.unreachable_domains);
}

template <typename Thrift>
Digest TakeDigest(Thrift& in) {
  Digest out;
  out.generation = FromThrift(in.generation);
  out.refutation = FromThrift(in.refutation);
  out.view_hash = FromThrift(in.view_hash);
  out.heads.reserve(in.heads.size());
  for (auto& it : in.heads) {
    out.heads.push_back({LogName(std::move(it.log)), FromThrift(it.version)});
  }
  out.unreachable_domains =
      IdsOf<base::DomainName>(std::move(in.unreachable_domains));
  return out;
}

/// Fills the Thrift union from each alternative of Query.
struct QueryWriter {
  gen::Query& out;

  void operator()(const OwnerQuery& in) const {
    gen::OwnerQuery value;
    value.cell = in.cell.str();
    value.holder = in.holder.str();
    out.__set_owner(value);
  }
  void operator()(const ExplainQuery& in) const {
    gen::ExplainQuery value;
    value.job = in.job.str();
    out.__set_explain(value);
  }
  void operator()(const CellStatusQuery& in) const {
    gen::CellStatusQuery value;
    value.cell = in.cell.str();
    out.__set_cell_status(value);
  }
  void operator()(const SnapshotQuery& in) const {
    gen::SnapshotQuery value;
    value.log = in.log.str();
    value.version = ToThrift(in.version);
    value.offset = ToThrift(in.offset);
    out.__set_snapshot(value);
  }
  void operator()(const StatusQuery& in) const {
    gen::StatusQuery value;
    value.whole_domain = in.whole_domain;
    out.__set_status(value);
  }
};

Query FromThrift(gen::Query&& in) {
  if (in.__isset.owner) {
    return OwnerQuery{base::CellName(std::move(in.owner.cell)),
                      base::Incarnation(std::move(in.owner.holder))};
  }
  if (in.__isset.explain) {
    return ExplainQuery{base::JobName(std::move(in.explain.job))};
  }
  if (in.__isset.cell_status) {
    return CellStatusQuery{base::CellName(std::move(in.cell_status.cell))};
  }
  if (in.__isset.snapshot) {
    return SnapshotQuery{LogName(std::move(in.snapshot.log)),
                         FromThrift(in.snapshot.version),
                         FromThrift(in.snapshot.offset)};
  }
  if (in.__isset.status) return StatusQuery{in.status.whole_domain};
  throw OutOfRange("a query is of no known kind");
}

gen::LogStatus ToThrift(const LogStatus& in) {
  gen::LogStatus out;
  out.log = in.log.str();
  out.accepted = ToThrift(in.accepted);
  out.in_force = ToThrift(in.in_force);
  return out;
}

gen::CellStatus ToThrift(const CellStatus& in) {
  gen::CellStatus out;
  out.cell = in.cell.str();
  out.phase = in.phase;
  out.epoch = ToThrift(in.epoch);
  out.workers = in.workers;
  out.workers_reached = in.workers_reached;
  out.queued = in.queued;
  out.gangs = in.gangs;
  return out;
}

gen::EventLine ToThrift(const EventLine& in) {
  gen::EventLine out;
  out.number = in.number;
  out.age_ms = in.age_ms;
  out.text = in.text;
  return out;
}

gen::ProcessStatus ToThrift(const ProcessStatus& in) {
  gen::ProcessStatus out;
  out.name = in.name.str();
  out.incarnation = in.incarnation.str();
  out.ready = in.ready;
  out.table_reachable = in.table_reachable;
  out.logs = ListToThrift<gen::LogStatus>(in.logs);
  out.cells = ListToThrift<gen::CellStatus>(in.cells);
  out.events = ListToThrift<gen::EventLine>(in.events);
  return out;
}

ProcessStatus FromThrift(gen::ProcessStatus&& in) {
  ProcessStatus out;
  out.name = ProcessName(std::move(in.name));
  out.incarnation = base::Incarnation(std::move(in.incarnation));
  out.ready = in.ready;
  out.table_reachable = in.table_reachable;
  out.logs.reserve(in.logs.size());
  for (auto& it : in.logs) {
    out.logs.push_back({LogName(std::move(it.log)), FromThrift(it.accepted),
                        FromThrift(it.in_force)});
  }
  out.cells.reserve(in.cells.size());
  for (auto& it : in.cells) {
    out.cells.push_back({base::CellName(std::move(it.cell)),
                         std::move(it.phase), FromThrift(it.epoch), it.workers,
                         it.workers_reached, it.queued, it.gangs});
  }
  out.events.reserve(in.events.size());
  for (auto& it : in.events) {
    out.events.push_back({it.number, it.age_ms, std::move(it.text)});
  }
  return out;
}

StatusAnswer FromThrift(gen::StatusAnswer&& in) {
  StatusAnswer out;
  out.processes.reserve(in.processes.size());
  for (auto& it : in.processes) {
    out.processes.push_back(FromThrift(std::move(it)));
  }
  return out;
}

/// Fills the Thrift union from each alternative of Answer.
struct AnswerWriter {
  gen::Answer& out;

  void operator()(const OwnerAnswer& in) const {
    gen::OwnerAnswer value;
    value.cell = in.cell.str();
    value.holds = in.holds;
    value.without_table = in.without_table;
    value.epoch = ToThrift(in.epoch);
    out.__set_owner(value);
  }
  void operator()(const TextAnswer& in) const {
    gen::TextAnswer value;
    value.found = in.found;
    value.text = in.text;
    out.__set_text(value);
  }
  void operator()(const SnapshotAnswer& in) const {
    gen::SnapshotAnswer value;
    value.version = ToThrift(in.version);
    value.total_bytes = ToThrift(in.total_bytes);
    value.offset = ToThrift(in.offset);
    value.bytes = in.bytes;
    out.__set_snapshot(value);
  }
  void operator()(const Refusal& in) const {
    gen::Refusal value;
    value.reason = static_cast<std::int32_t>(in.reason);
    value.detail = in.detail;
    out.__set_refusal(value);
  }
  void operator()(const StatusAnswer& in) const {
    gen::StatusAnswer value;
    value.processes = ListToThrift<gen::ProcessStatus>(in.processes);
    out.__set_status(value);
  }
};

Answer FromThrift(gen::Answer&& in) {
  if (in.__isset.owner) {
    return OwnerAnswer{base::CellName(std::move(in.owner.cell)), in.owner.holds,
                       in.owner.without_table, FromThrift(in.owner.epoch)};
  }
  if (in.__isset.text) {
    return TextAnswer{in.text.found, std::move(in.text.text)};
  }
  if (in.__isset.snapshot) {
    return SnapshotAnswer{
        FromThrift(in.snapshot.version), FromThrift(in.snapshot.total_bytes),
        FromThrift(in.snapshot.offset), std::move(in.snapshot.bytes)};
  }
  if (in.__isset.refusal) {
    return Refusal{EnumFromThrift<RefusalReason>(in.refusal.reason),
                   std::move(in.refusal.detail)};
  }
  if (in.__isset.status) return FromThrift(std::move(in.status));
  throw OutOfRange("an answer is of no known kind");
}

/// Fills the Thrift union from each alternative of Message.
struct MessageWriter {
  gen::Message& out;

  void operator()(const Hello& in) const {
    gen::Hello value;
    value.protocol_version = in.protocol_version;
    value.identity = ToThrift(in.identity);
    out.__set_hello(value);
  }
  void operator()(const Heartbeat&) const {
    out.__set_heartbeat(gen::Heartbeat());
  }
  void operator()(const Ping& in) const {
    gen::Ping value;
    value.sequence = ToThrift(in.sequence);
    PutDigest(in.digest, value);
    out.__set_ping(value);
  }
  void operator()(const Ack& in) const {
    gen::Ack value;
    value.sequence = ToThrift(in.sequence);
    PutDigest(in.digest, value);
    value.domain_hashes = ListToThrift<gen::DomainHash>(in.domain_hashes);
    out.__set_ack(value);
  }
  void operator()(const IndirectPing& in) const {
    gen::IndirectPing value;
    value.sequence = ToThrift(in.sequence);
    value.target = ToThrift(in.target);
    out.__set_indirect_ping(value);
  }
  void operator()(const IndirectAck& in) const {
    gen::IndirectAck value;
    value.sequence = ToThrift(in.sequence);
    value.target = in.target.str();
    value.incarnation = in.incarnation.str();
    out.__set_indirect_ack(value);
  }
  void operator()(const Members& in) const {
    gen::Members value;
    value.records = ListToThrift<gen::MemberRecord>(in.records);
    value.whole_domains = TextsOf(in.whole_domains);
    out.__set_members(value);
  }
  void operator()(const LogEntries& in) const {
    gen::LogEntries value;
    value.log = in.log.str();
    value.first_version = ToThrift(in.first_version);
    value.entries = in.entries;
    value.pass_on = in.pass_on;
    value.head = ToThrift(in.head);
    if (in.wants_receipt) value.__set_wants_receipt(true);
    out.__set_log_entries(value);
  }
  void operator()(const EntriesReceived& in) const {
    gen::EntriesReceived value;
    value.log = in.log.str();
    value.first_version = ToThrift(in.first_version);
    out.__set_entries_received(value);
  }
  void operator()(const PullEntries& in) const {
    gen::PullEntries value;
    value.log = in.log.str();
    value.first_version = ToThrift(in.first_version);
    out.__set_pull_entries(value);
  }
  void operator()(const Request& in) const {
    gen::Request value;
    value.id = ToThrift(in.id);
    std::visit(QueryWriter{value.query}, in.query);
    out.__set_request(value);
  }
  void operator()(const Response& in) const {
    gen::Response value;
    value.id = ToThrift(in.id);
    std::visit(AnswerWriter{value.answer}, in.answer);
    out.__set_response(value);
  }
};

Members FromThrift(gen::Members&& in) {
  Members out;
  out.records.reserve(in.records.size());
  for (auto& it : in.records) {
    out.records.push_back({FromThrift(std::move(it.identity)),
                           FromThrift(it.generation), FromThrift(it.refutation),
                           EnumFromThrift<MemberState>(it.state)});
  }
  out.whole_domains = IdsOf<base::DomainName>(std::move(in.whole_domains));
  return out;
}

Ack FromThrift(gen::Ack&& in) {
  Ack out;
  out.sequence = FromThrift(in.sequence);
  out.digest = TakeDigest(in);
  out.domain_hashes.reserve(in.domain_hashes.size());
  for (auto& it : in.domain_hashes) {
    out.domain_hashes.push_back(
        {base::DomainName(std::move(it.domain)), FromThrift(it.hash)});
  }
  return out;
}

Message FromThrift(gen::Message&& in) {
  const auto& has = in.__isset;
  if (has.hello) {
    return Hello{in.hello.protocol_version,
                 FromThrift(std::move(in.hello.identity))};
  }
  if (has.heartbeat) return Heartbeat{};
  if (has.ping) return Ping{FromThrift(in.ping.sequence), TakeDigest(in.ping)};
  if (has.ack) return FromThrift(std::move(in.ack));
  if (has.indirect_ping) {
    return IndirectPing{FromThrift(in.indirect_ping.sequence),
                        FromThrift(std::move(in.indirect_ping.target))};
  }
  if (has.indirect_ack) {
    auto& value = in.indirect_ack;
    return IndirectAck{FromThrift(value.sequence),
                       ProcessName(std::move(value.target)),
                       base::Incarnation(std::move(value.incarnation))};
  }
  if (has.members) return FromThrift(std::move(in.members));
  if (has.log_entries) {
    auto& value = in.log_entries;
    return LogEntries{
        LogName(std::move(value.log)), FromThrift(value.first_version),
        std::move(value.entries),      value.pass_on,
        FromThrift(value.head),        value.wants_receipt};
  }
  if (has.entries_received) {
    return EntriesReceived{LogName(std::move(in.entries_received.log)),
                           FromThrift(in.entries_received.first_version)};
  }
  if (has.pull_entries) {
    return PullEntries{LogName(std::move(in.pull_entries.log)),
                       FromThrift(in.pull_entries.first_version)};
  }
  if (has.request) {
    return Request{FromThrift(in.request.id),
                   FromThrift(std::move(in.request.query))};
  }
  if (has.response) {
    return Response{FromThrift(in.response.id),
                    FromThrift(std::move(in.response.answer))};
  }
  throw OutOfRange("a message is of no known kind");
}

}  // namespace

std::string Encode(const Message& message) {
  gen::Message out;
  std::visit(MessageWriter{out}, message);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  CompactProtocol protocol(buffer);
  out.write(&protocol);
  return buffer->getBufferAsString();
}

DecodeResult Decode(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return DecodeError{"the message is too long"};
  }
  try {
    std::string copy(bytes);
    const auto buffer = std::make_shared<TMemoryBuffer>(
        reinterpret_cast<std::uint8_t*>(copy.data()),
        static_cast<std::uint32_t>(copy.size()), TMemoryBuffer::OBSERVE);
    CompactProtocol protocol(buffer, kMaxMessageBytes, kMaxListItems);
    gen::Message in;
    in.read(&protocol);
    if (buffer->available_read() != 0) {
      return DecodeError{"bytes follow the message"};
    }
    return FromThrift(std::move(in));
  } catch (const std::exception& error) {
    return DecodeError{error.what()};
  }
}

}  // namespace lapishatch::wire
