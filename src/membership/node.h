#ifndef LAPISHATCH_MEMBERSHIP_NODE_H_
#define LAPISHATCH_MEMBERSHIP_NODE_H_

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "membership/group.h"
#include "membership/spreader.h"
#include "wire/wire.h"

namespace lapishatch::membership {

/// The members at one moment; does not change afterwards.
struct View {
  wire::Identity self;
  /// By name, those who are gone included for as long as they are remembered.
  std::vector<MemberRecord> members;
  std::vector<base::DomainName> unreachable_domains;

  /// The member called `name`, or null.
  const MemberRecord* Find(const ProcessName& name) const;

  bool IsReachable(const base::DomainName& domain) const;
};

struct NodeOptions {
  GroupOptions group;
  SpreaderOptions spreader;
  wire::RequestChannel::Limits requests;
};

/// One process in the inner protocol: its group, its spreader and its requests
/// over one transport. Everything but view() is for the loop only.
class Node {
 public:
  /// `loop` and `transport` must outlive the node.
  Node(base::EventLoop& loop, wire::Transport& transport, NodeOptions options);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Start() { group_.Start(); }

  /// Says goodbye; the transport is closed next, which sends what is queued.
  void Leave() { group_.Leave(); }

  /// Answers the queries of other processes; snapshots are answered by the
  /// node itself.
  void Serve(wire::RequestChannel::Server server) {
    server_ = std::move(server);
  }

  using StatusServer = std::function<void(
      const wire::StatusQuery& query, std::function<void(wire::Answer)> reply)>;

  /// Answers the StatusQuery of other processes; a StatusBoard does.
  void ServeStatus(StatusServer server) { status_server_ = std::move(server); }

  /// Called on the loop after the view has changed.
  void OnChange(std::function<void()> changed) {
    on_change_ = std::move(changed);
  }

  /// The members by now. Safe from any thread.
  std::shared_ptr<const View> view() const;

  Group& group() { return group_; }
  Spreader& spreader() { return spreader_; }
  wire::RequestChannel& requests() { return requests_; }

 private:
  void OnMessage(const wire::Identity& from, wire::Message message);
  void OnQuery(const wire::Identity& from, wire::Query query,
               std::function<void(wire::Answer)> reply);
  void UpdateView();

  Group group_;
  wire::RequestChannel requests_;
  Spreader spreader_;
  wire::RequestChannel::Server server_;
  StatusServer status_server_;
  std::function<void()> on_change_;
  wire::Transport& transport_;

  mutable std::mutex mutex_;
  std::shared_ptr<const View> view_;
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_NODE_H_
