#include "membership/node.h"

#include <algorithm>
#include <utility>

namespace lapishatch::membership {
namespace {

/// Hands each kind of message to the part that it is for.
struct Dispatcher {
  const wire::Identity& from;
  Group& group;
  Spreader& spreader;
  wire::RequestChannel& requests;

  void operator()(const wire::Hello&) const {}
  void operator()(const wire::Heartbeat&) const {}
  void operator()(const wire::Ping& it) const { group.OnPing(from, it); }
  void operator()(const wire::Ack& it) const { group.OnAck(from, it); }
  void operator()(const wire::IndirectPing& it) const {
    group.OnIndirectPing(from, it);
  }
  void operator()(const wire::IndirectAck& it) const {
    group.OnIndirectAck(from, it);
  }
  void operator()(const wire::Members& it) const { group.OnMembers(from, it); }
  void operator()(wire::LogEntries& it) const {
    spreader.OnEntries(from, std::move(it));
  }
  void operator()(const wire::PullEntries& it) const {
    spreader.OnPull(from, it);
  }
  void operator()(const wire::EntriesReceived& it) const {
    spreader.OnReceived(from, it);
  }
  void operator()(wire::Request& it) const {
    requests.OnRequest(from, std::move(it));
  }
  void operator()(wire::Response& it) const {
    requests.OnResponse(from, std::move(it));
  }
};

}  // namespace

const MemberRecord* View::Find(const ProcessName& name) const {
  const auto it = std::find_if(
      members.begin(), members.end(),
      [&](const auto& member) { return member.identity.name == name; });
  return it == members.end() ? nullptr : &*it;
}

bool View::IsReachable(const base::DomainName& domain) const {
  return std::find(unreachable_domains.begin(), unreachable_domains.end(),
                   domain) == unreachable_domains.end();
}

Node::Node(base::EventLoop& loop, wire::Transport& transport,
           NodeOptions options)
    : group_(loop, transport, std::move(options.group)),
      requests_(loop, transport, options.requests),
      spreader_(loop, transport, group_, requests_, options.spreader),
      transport_(transport) {
  group_.SetDigestHooks({[this] { return spreader_.Heads(); },
                         [this](const auto& from, const auto& heads) {
                           spreader_.OnHeads(from, heads);
                         }});
  group_.OnChange([this] {
    UpdateView();
    if (on_change_) on_change_();
  });
  requests_.Serve([this](const auto& from, auto query, auto reply) {
    OnQuery(from, std::move(query), std::move(reply));
  });
  transport_.SetHandler([this](const auto& from, auto message) {
    OnMessage(from, std::move(message));
  });
  UpdateView();
}

Node::~Node() { transport_.SetHandler(nullptr); }

std::shared_ptr<const View> Node::view() const {
  const std::lock_guard lock(mutex_);
  return view_;
}

void Node::OnMessage(const wire::Identity& from, wire::Message message) {
  std::visit(Dispatcher{from, group_, spreader_, requests_}, message);
}

void Node::OnQuery(const wire::Identity& from, wire::Query query,
                   std::function<void(wire::Answer)> reply) {
  if (const auto* it = std::get_if<wire::SnapshotQuery>(&query)) {
    reply(spreader_.AnswerSnapshot(*it));
  } else if (const auto* status = std::get_if<wire::StatusQuery>(&query);
             status != nullptr && status_server_) {
    status_server_(*status, std::move(reply));
  } else if (server_) {
    server_(from, std::move(query), std::move(reply));
  } else {
    reply(wire::Refusal{wire::RefusalReason::kNotServed, ""});
  }
}

void Node::UpdateView() {
  auto view = std::make_shared<View>();
  view->self = group_.self();
  for (const auto* it : group_.table().All()) view->members.push_back(*it);
  for (const auto& it : group_.table().Domains()) {
    if (!group_.IsReachable(it)) view->unreachable_domains.push_back(it);
  }
  const std::lock_guard lock(mutex_);
  view_ = std::move(view);
}

}  // namespace lapishatch::membership
