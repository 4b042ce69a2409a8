#ifndef LAPISHATCH_MEMBERSHIP_MIRROR_LINK_H_
#define LAPISHATCH_MEMBERSHIP_MIRROR_LINK_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "membership/node.h"

namespace lapishatch::membership {

/// Connects a mirror of the change logs with the spreader: what the mirror
/// reads from the table or has committed is pushed to the peers, what they push
/// is offered to the mirror, and a mirror that cannot load from the table gets
/// the whole state from a peer. To be used on the loop of the node, which must
/// also be the mirror's.
///
///     MirrorLink link(node);
///     Mirror mirror(options, {.loop = loop, .table = table, .source = &link,
///                             .reads_for_domain = [&] { return link.Reads();
///                             }});
///     link.Connect(mirror);
///     mirror.Start();
class MirrorLink final : public config::ChangeSource {
 public:
  /// `node` must outlive the link.
  explicit MirrorLink(Node& node);
  ~MirrorLink() override;
  MirrorLink(const MirrorLink&) = delete;
  MirrorLink& operator=(const MirrorLink&) = delete;

  /// Before the mirror starts. `mirror` must live as long as the link is used.
  void Connect(config::Mirror& mirror);

  /// Whether this process reads the table for its failure domain. Several do
  /// while their views of the domain differ, which costs reads and no more.
  bool Reads() const;

  void Announce(config::LogId log, config::LogVersion first,
                std::vector<std::string> entries) override;
  void Pull(config::LogId log, config::LogVersion first) override;
  void FetchSnapshot(
      config::LogId log,
      std::function<void(std::optional<std::string>)> done) override;

 private:
  class Follower;

  void OnInForce(config::LogId log,
                 const std::vector<config::LogEntryPtr>& entries);

  Node& node_;
  config::Mirror* mirror_ = nullptr;
  std::array<std::unique_ptr<Follower>, base::kEnumSize<config::LogId>>
      followers_;
};

}  // namespace lapishatch::membership

#endif  // LAPISHATCH_MEMBERSHIP_MIRROR_LINK_H_
