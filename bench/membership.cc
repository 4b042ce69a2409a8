// Cost and speed of membership and spreading, in virtual time through the real
// codec, and the processor time of the real transport over loopback. Prints
// `name value unit` lines; the name tells the number of processes.

#include "membership/membership.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fakes.h"

namespace lapishatch {
namespace {

using base::Duration;
using fakes::FakeGroup;
using fakes::FakeMember;
using membership::MemberState;

constexpr Duration kSecond{1'000};

/// Headers of IPv4 and TCP with time stamps for a message, and for the
/// acknowledgement that may travel alone.
constexpr double kSegmentBytes = 52;
constexpr double kAcknowledgementBytes = 52;

/// Bytes of a change as the configuration package writes it, about.
constexpr std::size_t kChangeBytes = 400;

/// The size to design for has 36,000 changes of configuration a day, and jobs
/// besides: 28,000 a day with about five changes of status each.
constexpr double kChangesPerSecond = 2.0;

/// Two virtual minutes are enough for stable means.
constexpr Duration kSpan = 120 * kSecond;

double ProcessorSeconds() {
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  constexpr double kNano = 1e-9;
  return static_cast<double>(now.tv_sec) +
         kNano * static_cast<double>(now.tv_nsec);
}

void Print(const std::string& name, double value, const char* unit) {
  std::printf("%s %.4g %s\n", name.c_str(), value, unit);
}

void PrintSpread(const std::string& name, std::vector<double> values,
                 const char* unit) {
  if (values.empty()) return;
  std::sort(values.begin(), values.end());
  const auto at = [&](double share) {
    const auto rank = std::ceil(share * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(rank, 1.0)) - 1];
  };
  Print(name + "_p50", at(0.5), unit);
  Print(name + "_p99", at(0.99), unit);
  Print(name + "_max", values.back(), unit);
}

int DomainsFor(int n) { return n <= 16 ? 3 : 13; }

std::unique_ptr<FakeGroup> Settled(std::uint64_t seed, int n, int fan_out) {
  membership::NodeOptions options;
  options.group.fan_out = fan_out;
  auto group = std::make_unique<FakeGroup>(seed, options);
  group->AddMany(n, DomainsFor(n));
  group->time().RunUntil([&] { return group->Agrees(); }, 60 * kSecond);
  group->time().RunFor(20 * kSecond);
  return group;
}

/// What each process has sent and received so far.
std::vector<wire::TransportCounts> CountsOf(FakeGroup& group) {
  std::vector<wire::TransportCounts> out;
  for (const auto& it : group.members()) {
    out.push_back(group.network().counts(it->identity.incarnation));
  }
  return out;
}

/// Bytes and messages a second of the mean and of the busiest process, both
/// ways, with and without the headers below.
void PrintTraffic(const std::string& name, FakeGroup& group,
                  const std::vector<wire::TransportCounts>& before,
                  Duration span) {
  const auto seconds = std::chrono::duration<double>(span).count();
  const auto after = CountsOf(group);
  double messages = 0;
  double framed = 0;
  double sent_max = 0;
  double received_max = 0;
  double sent = 0;
  double received = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const double out = static_cast<double>(after[i].messages_sent) -
                       static_cast<double>(before[i].messages_sent);
    const double in = static_cast<double>(after[i].messages_received) -
                      static_cast<double>(before[i].messages_received);
    const double out_bytes = static_cast<double>(after[i].bytes_sent) -
                             static_cast<double>(before[i].bytes_sent);
    const double in_bytes = static_cast<double>(after[i].bytes_received) -
                            static_cast<double>(before[i].bytes_received);
    const auto wire_out =
        out_bytes + kSegmentBytes * out + kAcknowledgementBytes * in;
    const auto wire_in =
        in_bytes + kSegmentBytes * in + kAcknowledgementBytes * out;
    messages += out;
    framed += out_bytes;
    sent += wire_out;
    received += wire_in;
    sent_max = std::max(sent_max, wire_out);
    received_max = std::max(received_max, wire_in);
  }
  const auto n = static_cast<double>(before.size()) * seconds;
  Print(name + "_messages_sent", messages / n, "1/s");
  Print(name + "_framed_bytes_sent", framed / n, "B/s");
  Print(name + "_ip_bytes_sent_mean", sent / n, "B/s");
  Print(name + "_ip_bytes_sent_busiest", sent_max / seconds, "B/s");
  Print(name + "_ip_bytes_received_mean", received / n, "B/s");
  Print(name + "_ip_bytes_received_busiest", received_max / seconds, "B/s");
}

/// Publishes at random processes at a steady rate; returns the versions'
/// times.
std::vector<base::TimePoint> PublishFor(FakeGroup& group, Duration span,
                                        double per_second,
                                        base::Random& random) {
  std::vector<base::TimePoint> published;
  const Duration gap(static_cast<std::int64_t>(1'000 / per_second));
  const auto end = group.time().Now() + span;
  auto version = group[0].node.spreader().heard(fakes::kConfigurationLog);
  while (group.time().Now() < end) {
    const auto running = group.Running();
    auto& node = running[random() % running.size()]->node;
    published.push_back(group.time().Now());
    node.spreader().Publish(fakes::kConfigurationLog, ++version,
                            {std::string(kChangeBytes, 'x')});
    group.time().RunFor(gap);
  }
  return published;
}

/// Milliseconds from each publication until the last running process had it.
std::vector<double> TimesUntilEverywhere(
    FakeGroup& group, wire::LogVersion first,
    const std::vector<base::TimePoint>& published) {
  std::vector<double> out;
  for (std::size_t i = 0; i < published.size(); ++i) {
    Duration worst{0};
    for (const auto* it : group.Running()) {
      const auto& came_at = it->follower.came_at();
      const auto at = came_at.find(first + i);
      if (at == came_at.end()) continue;
      worst = std::max(worst, at->second - published[i]);
    }
    out.push_back(static_cast<double>(worst.count()));
  }
  return out;
}

void MeasureTraffic(int n, int fan_out) {
  const auto label = "membership_" +
                     std::string(fan_out == 0 ? "mesh" : "swim") + "_" +
                     std::to_string(n);
  const auto group = Settled(1, n, fan_out);
  auto before = CountsOf(*group);
  const auto processor = ProcessorSeconds();
  group->time().RunFor(kSpan);
  const auto spent = ProcessorSeconds() - processor;
  PrintTraffic(label + "_idle", *group, before, kSpan);
  constexpr double kPercent = 100;
  const auto seconds = std::chrono::duration<double>(kSpan).count();
  Print(label + "_idle_processor", kPercent * spent / seconds / n, "%core");
  before = CountsOf(*group);
  base::Random random(1);
  PublishFor(*group, kSpan, kChangesPerSecond, random);
  PrintTraffic(label + "_2_changes", *group, before, kSpan);
}

void MeasureSpread(int n, double loss, double per_second) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto group = Settled(seed, n, 2);
    group->network().faults().loss = loss;
    base::Random random(seed);
    const auto published = PublishFor(*group, 30 * kSecond, per_second, random);
    group->time().RunFor(20 * kSecond);
    for (const auto it : TimesUntilEverywhere(*group, 1, published)) {
      times.push_back(it);
    }
  }
  const auto kind = loss > 0 ? "loss10_" : "quiet_";
  const auto rate = std::to_string(std::lround(per_second)) + "_changes_";
  PrintSpread("spread_" + (kind + rate) + std::to_string(n), times, "ms");
}

/// A process killed and another paused every few seconds while changes flow.
void MeasureSpreadInChurn(int n) {
  std::vector<double> times;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto group = Settled(seed, n, 2);
    base::Random random(seed);
    std::vector<base::TimePoint> published;
    for (int round = 0; round < 5; ++round) {
      const auto running = group->Running();
      auto& victim = *running[random() % running.size()];
      victim.Kill();
      const auto some = PublishFor(*group, 5 * kSecond, 10, random);
      published.insert(published.end(), some.begin(), some.end());
      group->Add(victim.identity.name.str(), victim.identity.domain.str());
    }
    group->time().RunFor(20 * kSecond);
    // A process that started later is not waited for by earlier changes.
    for (std::size_t i = 0; i < published.size(); ++i) {
      Duration worst{0};
      for (const auto* it : group->Running()) {
        const auto at = it->follower.came_at().find(i + 1);
        if (at == it->follower.came_at().end()) continue;
        if (it->started_at > published[i]) continue;
        worst = std::max(worst, at->second - published[i]);
      }
      times.push_back(static_cast<double>(worst.count()));
    }
  }
  PrintSpread("spread_churn_" + std::to_string(n), times, "ms");
}

void MeasureDetection(int n) {
  std::vector<double> first;
  std::vector<double> everywhere;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const auto group = Settled(seed, n, 2);
    base::Random random(seed);
    auto& victim = (*group)[random() % static_cast<std::size_t>(n)];
    victim.Kill();
    const auto killed_at = group->time().Now();
    const auto sees_dead = [&](const FakeMember* it) {
      return it->StateOf(victim) == MemberState::kDead;
    };
    const auto since = [&] {
      return static_cast<double>((group->time().Now() - killed_at).count());
    };
    const auto running = group->Running();
    group->time().RunUntil(
        [&] { return std::any_of(running.begin(), running.end(), sees_dead); },
        60 * kSecond);
    first.push_back(since());
    group->time().RunUntil(
        [&] { return std::all_of(running.begin(), running.end(), sees_dead); },
        60 * kSecond);
    everywhere.push_back(since());
  }
  PrintSpread("death_first_" + std::to_string(n), first, "ms");
  PrintSpread("death_everywhere_" + std::to_string(n), everywhere, "ms");
}

/// False suspicions and deaths per process and hour, when messages are lost.
void MeasureFalseAlarms(int n, double loss, int seeds, const char* name) {
  double suspicions = 0;
  double deaths = 0;
  const Duration span = 300 * kSecond;
  for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(seeds);
       ++seed) {
    const auto group = Settled(seed, n, 2);
    group->network().faults().loss = loss;
    group->time().RunFor(span);
    suspicions += static_cast<double>(group->Suspicions());
    deaths += static_cast<double>(group->Deaths());
  }
  const auto hours =
      std::chrono::duration<double, std::ratio<3'600>>(span).count();
  const auto label = std::string(name) + "_" + std::to_string(n);
  Print("false_suspicions_" + label, suspicions / seeds / n / hours, "1/h");
  Print("false_deaths_" + label, deaths / seeds / n / hours, "1/h");
}

/// Processor time of a message sent, received and handled over loopback.
void MeasureTransport() {
  boost::asio::io_context io;
  const auto loop_a = base::MakeAsioEventLoop(io);
  const auto loop_b = base::MakeAsioEventLoop(io);
  const auto make = [&](const char* name, base::EventLoop& loop) {
    return wire::MakeAsioTransport(io, loop,
                                   {.identity = {wire::ProcessName(name),
                                                 wire::Role::kEntry,
                                                 base::DomainName("d0"),
                                                 base::Incarnation(name),
                                                 {"127.0.0.1", 0}}});
  };
  const auto a = make("a", *loop_a);
  const auto b = make("b", *loop_b);
  constexpr std::uint64_t kRounds = 20'000;
  std::uint64_t rounds = 0;
  b->SetHandler(
      [&](const auto& from, auto message) { b->Send(PeerOf(from), message); });
  a->SetHandler([&](const auto& from, auto message) {
    if (++rounds == kRounds) {
      io.stop();
    } else {
      a->Send(PeerOf(from), message);
    }
  });
  wire::Ping ping;
  ping.digest.heads = {{wire::LogName("config"), 1'000'000},
                       {wire::LogName("jobs"), 1'000'000}};
  const auto before = ProcessorSeconds();
  a->Send(wire::Peer{b->endpoint(), {}}, ping);
  io.run();
  constexpr double kMicro = 1e6;
  Print("transport_processor_per_message",
        kMicro * (ProcessorSeconds() - before) / (2.0 * kRounds), "us");
}

/// One status of all processes, as an entry asks for it: each process tells of
/// two logs and of `events` events.
void MeasureStatus(int n, std::size_t events) {
  const auto group = Settled(1, n, 2);
  std::vector<std::unique_ptr<membership::StatusBoard>> boards;
  for (const auto& it : group->members()) {
    wire::ProcessStatus own;
    own.name = it->identity.name;
    own.incarnation = it->identity.incarnation;
    own.logs = {{wire::LogName("config"), 1'000'000, 1'000'000},
                {wire::LogName("jobs"), 1'000'000, 1'000'000}};
    own.events.assign(events, {703, 1'000, std::string(100, 'x')});
    boards.push_back(std::make_unique<membership::StatusBoard>(
        it->process, it->node,
        [own](const std::function<void(wire::ProcessStatus)>& done) {
          done(own);
        }));
  }
  const auto before = CountsOf(*group);
  const auto began = group->time().Now();
  Duration took{0};
  boards[0]->Ask([&](const auto&) { took = group->time().Now() - began; });
  // So short that hardly any probe falls into it.
  group->time().RunFor(Duration(20));
  const auto after = CountsOf(*group);
  double messages = 0;
  double most_messages = 0;
  double most_bytes = 0;
  double bytes = 0;
  const auto both_ways = [&](std::size_t i) {
    return static_cast<double>(after[i].bytes_sent - before[i].bytes_sent +
                               after[i].bytes_received -
                               before[i].bytes_received);
  };
  for (std::size_t i = 0; i < before.size(); ++i) {
    const auto sent =
        static_cast<double>(after[i].messages_sent - before[i].messages_sent);
    messages += sent;
    bytes += static_cast<double>(after[i].bytes_sent - before[i].bytes_sent);
    most_messages = std::max(most_messages, sent);
    if (i > 0) most_bytes = std::max(most_bytes, both_ways(i));
  }
  const auto label =
      "status_" + std::to_string(n) + "_" + std::to_string(events) + "_events";
  Print(label + "_took", static_cast<double>(took.count()), "ms");
  Print(label + "_messages", messages, "1");
  Print(label + "_messages_busiest", most_messages, "1");
  Print(label + "_framed_bytes", bytes, "B");
  Print(label + "_framed_bytes_asker", both_ways(0), "B");
  Print(label + "_framed_bytes_busiest_other", most_bytes, "B");
}

void Main() {
  MeasureTransport();
  for (const int n : {24, 182}) {
    MeasureStatus(n, 0);
    MeasureStatus(n, 8);
  }
  for (const int n : {8, 16, 50, 100, 200}) {
    MeasureTraffic(n, 2);
    MeasureTraffic(n, 0);
  }
  for (const int n : {16, 50, 200}) {
    MeasureSpread(n, 0, 10);
    MeasureSpread(n, 0.1, 10);
    MeasureSpread(n, 0.1, kChangesPerSecond);
    MeasureSpreadInChurn(n);
    MeasureDetection(n);
  }
  MeasureFalseAlarms(16, 0, 5, "quiet");
  MeasureFalseAlarms(16, 0.05, 5, "loss5");
  MeasureFalseAlarms(16, 0.1, 5, "loss10");
  MeasureFalseAlarms(16, 0.2, 5, "loss20");
  MeasureFalseAlarms(200, 0, 5, "quiet");
  MeasureFalseAlarms(200, 0.1, 1, "loss10");
}

}  // namespace
}  // namespace lapishatch

int main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  lapishatch::Main();
}
