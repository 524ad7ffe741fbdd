// seamglade - the accepted documents, which only move forward
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#ifndef SEAMGLADE_SRC_VERSION_DOCUMENT_STORE_H_
#define SEAMGLADE_SRC_VERSION_DOCUMENT_STORE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "seamglade/fleet.h"
#include "seamglade/message.h"

namespace seamglade::detail {

enum class offer_result : std::uint8_t {
  accepted,  // newer, sound, and in force from now on
  known,     // the accepted edition, or an older one
  refused    // unsound; the accepted edition stays in force
};

/** What became of an offered document. */
struct offer_outcome {
  offer_result result = offer_result::known;
  std::vector<failure> failures;
};

/**
 * The documents in force. An edition replaces the accepted one only if its
 * stamp is higher, whoever offers it, so that all instances end with the
 * same editions and none ever goes back.
 */
class document_store {
 public:
  explicit document_store(bool forward_only) : forward_only_(forward_only) {}

  offer_outcome offer(const std::string& name, const std::string& text,
                      std::uint64_t index);

  const std::map<std::string, settings_document>& documents() const {
    return documents_;
  }
  const fleet_list& fleet() const { return fleet_; }
  bool has_fleet() const { return fleet_.text != nullptr; }

  /** Returns one hash over the stamps of all accepted documents. */
  std::uint64_t digest() const { return digest_; }
  /** Returns the highest publication index accepted. */
  std::uint64_t newest_index() const { return newest_index_; }
  std::vector<document_edition> editions() const;
  /** Whether an edition is newer than the accepted one. */
  bool lacks(const document_edition& edition) const;
  /** Returns the accepted documents that a peer with these lacks. */
  std::vector<settings_push> newer_than(
      const std::vector<document_edition>& theirs) const;

 private:
  void changed(std::uint64_t index);

  bool forward_only_;
  std::map<std::string, settings_document> documents_;
  fleet_list fleet_;
  std::set<std::pair<std::string, std::uint64_t>> refused_;
  std::uint64_t digest_ = 0;
  std::uint64_t newest_index_ = 0;
};

}  // namespace seamglade::detail

#endif  // SEAMGLADE_SRC_VERSION_DOCUMENT_STORE_H_
