#include "libdecision/unit_owners.h"

#include <algorithm>

#include "libdecision/rendezvous.h"

namespace baobab {
namespace {

/** Time until a former owner stops using its units. A node cut off from the log
 * and its peers stops within 10 s; 15 s leave a margin for the time until the
 * new owner adopts the view. */
constexpr Duration kAdoptionTimeout = std::chrono::seconds(15);

}  // namespace

UnitOwners::UnitOwners(const NodeConfig& config,
                       Duration loan_term,
                       Time started)
    : self_(config.id),
      handover_timeout_(kAdoptionTimeout + config.request_timeout),
      restart_wait_end_(started + loan_term + config.request_timeout) {}

bool UnitOwners::SetView(ViewNumber number,
                         const std::vector<ViewNode>& nodes,
                         const std::set<NodeId>& adopted,
                         Time now) {
  if (has_view_ && number < number_) {
    return false;
  }
  for (const NodeId& it : adopted) {
    adopted_[it] = std::max(adopted_[it], number);
  }
  if (has_view_ && number == number_) {
    return false;
  }
  std::erase_if(transitions_, [&](const Transition& it) {
    return it.at + handover_timeout_ <= now;
  });
  if (!has_view_) {
    has_view_ = true;
    first_view_at_ = now;
    if (number == ViewNumber(0) && nodes.empty()) {
      started_without_views_ = true;
      restart_wait_end_ = now;
    }
  } else {
    for (const Transition& it : transitions_) {
      if (!AllAdopted(it)) {
        announce_hold_end_ =
            std::max(announce_hold_end_, it.at + handover_timeout_);
      }
    }
    if (!started_without_views_) {
      // Owners before the first view are unknown and may still use units that
      // change their owner now.
      announce_hold_end_ =
          std::max(announce_hold_end_, first_view_at_ + handover_timeout_);
    }
    const bool gap = number.value() != number_.value() + 1;
    if (gap) {
      announce_hold_end_ =
          std::max(announce_hold_end_, now + handover_timeout_);
    }
    transitions_.push_back({std::move(current_), number, now, gap});
  }
  number_ = number;
  current_ = MakeView(number, nodes);
  return true;
}

Ownership UnitOwners::Compute(const ResourceId& resource,
                              Units units,
                              const DataCentreId& data_centre,
                              Units reserved,
                              Time now) const {
  Ownership result;
  if (current_.nodes.empty()) {
    return result;
  }
  const std::uint64_t hash = StableHash(resource);
  const auto end = static_cast<std::uint64_t>(units.value());
  for (std::uint64_t first = 0; first < end;) {
    const std::uint64_t next = std::min(NextUnitGroup(first), end);
    const Units count(static_cast<std::int64_t>(next - first));
    const NodeId& owner = *Owner(current_, hash, first, data_centre);
    result.by_node[owner] += count;
    if (owner == self_) {
      result.owned += count;
      if (first >= static_cast<std::uint64_t>(reserved.value())) {
        result.owned_unreserved += count;
      }
      if (auto wait = PendingHandover(hash, first, data_centre, now)) {
        wait->units = count;
        auto it = std::find_if(
            result.waiting.begin(), result.waiting.end(), [&](const auto& w) {
              return w.former == wait->former && w.ready_at == wait->ready_at;
            });
        if (it == result.waiting.end()) {
          result.waiting.push_back(*wait);
        } else {
          it->units += count;
        }
      }
    }
    first = next;
  }
  return result;
}

bool UnitOwners::Ready(const Ownership::PendingUnits& waiting, Time now) const {
  if (now < restart_wait_end_) {
    return false;
  }
  if (now >= waiting.ready_at) {
    return true;
  }
  const auto it = adopted_.find(waiting.former);
  return it != adopted_.end() && it->second >= waiting.view;
}

UnitOwners::View UnitOwners::MakeView(ViewNumber number,
                                      std::vector<ViewNode> nodes) {
  View view;
  view.number = number;
  view.nodes = std::move(nodes);
  for (std::size_t n = 0; n < view.nodes.size(); ++n) {
    const std::uint64_t hash = StableHash(view.nodes[n].id.value());
    view.hashes.push_back(hash);
    auto& [members, hashes] = view.by_data_centre[view.nodes[n].data_centre];
    members.push_back(n);
    hashes.push_back(hash);
  }
  return view;
}

const NodeId* UnitOwners::Owner(const View& view,
                                std::uint64_t resource_hash,
                                std::uint64_t unit,
                                const DataCentreId& data_centre) {
  if (view.nodes.empty()) {
    return nullptr;
  }
  if (!data_centre.value().empty()) {
    const auto it = view.by_data_centre.find(data_centre);
    if (it != view.by_data_centre.end()) {
      const auto& [members, hashes] = it->second;
      return &view.nodes[members[RendezvousOwner(resource_hash, unit, hashes)]]
                  .id;
    }
  }
  return &view.nodes[RendezvousOwner(resource_hash, unit, view.hashes)].id;
}

bool UnitOwners::AllAdopted(const Transition& transition) const {
  if (transition.gap) {
    return false;
  }
  return std::all_of(
      transition.from.nodes.begin(), transition.from.nodes.end(),
      [&](const ViewNode& it) {
        const auto known = adopted_.find(it.id);
        return it.id == self_ ||
               (known != adopted_.end() && known->second >= transition.to);
      });
}

std::optional<Ownership::PendingUnits> UnitOwners::PendingHandover(
    std::uint64_t resource_hash,
    std::uint64_t unit,
    const DataCentreId& data_centre,
    Time now) const {
  for (auto it = transitions_.rbegin(); it != transitions_.rend(); ++it) {
    const Time ready_at = it->at + handover_timeout_;
    if (ready_at <= now) {
      break;
    }
    if (it->gap) {
      return Ownership::PendingUnits{NodeId(), it->to, ready_at, Units()};
    }
    const NodeId* former = Owner(it->from, resource_hash, unit, data_centre);
    if (former == nullptr) {
      break;
    }
    if (*former != self_) {
      return Ownership::PendingUnits{*former, it->to, ready_at, Units()};
    }
  }
  // The owner before the first view of this process is unknown.
  const Time first_ready = first_view_at_ + handover_timeout_;
  const View& first =
      transitions_.empty() ? current_ : transitions_.front().from;
  const NodeId* owner = Owner(first, resource_hash, unit, data_centre);
  if (!started_without_views_ && now < first_ready && owner != nullptr &&
      *owner == self_) {
    return Ownership::PendingUnits{NodeId(), number_, first_ready, Units()};
  }
  if (now < restart_wait_end_) {
    return Ownership::PendingUnits{self_, number_, restart_wait_end_, Units()};
  }
  return std::nullopt;
}

}  // namespace baobab
