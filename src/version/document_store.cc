// seamglade - the accepted documents, which only move forward
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "version/document_store.h"

#include <fmt/format.h>

#include <algorithm>

#include "seamglade/rendezvous.h"

namespace seamglade::detail {

offer_outcome document_store::offer(const std::string& name,
                                    const std::string& text,
                                    std::uint64_t index) {
  const auto digest = stable_hash(text);
  // A bad edition is offered again and again; it is checked and told once.
  if (refused_.contains({name, digest})) return {};
  if (name == kFleetDocument) {
    const document_stamp stamp{0, index, digest};
    if (stamp == fleet_.stamp || (forward_only_ && stamp < fleet_.stamp)) {
      return {};
    }
    auto checked = check_fleet(text, index);
    if (!checked.list) {
      refused_.emplace(name, digest);
      return {offer_result::refused, std::move(checked.failures)};
    }
    fleet_ = std::move(*checked.list);
    changed(index);
    return {offer_result::accepted, {}};
  }
  const auto accepted = documents_.find(name);
  if (accepted != documents_.end() && accepted->second.stamp.index == index &&
      accepted->second.stamp.digest == digest) {
    return {};
  }
  auto checked = check_document(name, text, index);
  if (!checked.document) {
    refused_.emplace(name, digest);
    return {offer_result::refused, std::move(checked.failures)};
  }
  const auto& stamp = checked.document->stamp;
  if (accepted != documents_.end() &&
      (stamp == accepted->second.stamp ||
       (forward_only_ && stamp < accepted->second.stamp))) {
    const bool rolled_back = stamp.index > accepted->second.stamp.index;
    if (!rolled_back) return {};
    refused_.emplace(name, digest);
    return {offer_result::refused,
            {{errc::older_document,
              fmt::format("version {} is below the accepted {}", stamp.version,
                          accepted->second.stamp.version),
              0}}};
  }
  documents_.insert_or_assign(name, std::move(*checked.document));
  changed(index);
  return {offer_result::accepted, {}};
}

void document_store::changed(std::uint64_t index) {
  newest_index_ = std::max(newest_index_, index);
  std::string all =
      fmt::format("{}/{}", fleet_.stamp.index, fleet_.stamp.digest);
  for (const auto& [name, document] : documents_) {
    const auto& s = document.stamp;
    all += fmt::format(";{}/{}/{}/{}", name, s.version, s.index, s.digest);
  }
  digest_ = stable_hash(all);
}

std::vector<document_edition> document_store::editions() const {
  std::vector<document_edition> all;
  if (has_fleet()) all.push_back({std::string(kFleetDocument), fleet_.stamp});
  for (const auto& [name, document] : documents_) {
    all.push_back({name, document.stamp});
  }
  return all;
}

bool document_store::lacks(const document_edition& edition) const {
  if (edition.name == kFleetDocument) return fleet_.stamp < edition.stamp;
  const auto it = documents_.find(edition.name);
  return it == documents_.end() || it->second.stamp < edition.stamp;
}

std::vector<settings_push> document_store::newer_than(
    const std::vector<document_edition>& theirs) const {
  const auto lacks = [&](const std::string& name, const document_stamp& stamp) {
    const auto it =
        std::find_if(theirs.begin(), theirs.end(),
                     [&](const auto& edition) { return edition.name == name; });
    return it == theirs.end() || it->stamp < stamp;
  };
  std::vector<settings_push> newer;
  const std::string fleet_name(kFleetDocument);
  if (has_fleet() && lacks(fleet_name, fleet_.stamp)) {
    newer.push_back({fleet_name, fleet_.stamp, fleet_.text});
  }
  for (const auto& [name, document] : documents_) {
    if (lacks(name, document.stamp)) {
      newer.push_back({name, document.stamp, document.text});
    }
  }
  return newer;
}

}  // namespace seamglade::detail
