// seamglade - the settings tree, its documents and its checks
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/settings.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

#include "process/reference.h"
#include "seamglade/fleet.h"
#include "seamglade/instance_config.h"
#include "version/document_store.h"

namespace seamglade {
namespace {

constexpr const char* kSite =
    "[document]\nversion = 2\nbranch = /guayas\n"
    "[/guayas]\nmanaged = no\nslots = 4\n"
    "[/guayas/drafting]\nmanaged = yes\n"
    "[/guayas/drafting/llama]\nslots = 6\n"
    "[/guayas/drafting/llama/tickets]\nversions = 3 4\npinned = yes\n";

settings_tree tree_of(const std::string& text) {
  auto checked = check_document("site", text, 1);
  std::map<std::string, settings_document> documents;
  if (checked.document) documents.emplace("site", *checked.document);
  return settings_tree(documents);
}

TEST(settings_tree, inherits_from_the_nearest_node_above) {
  const auto tree = tree_of(kSite);
  const auto slots = tree.value("/guayas/drafting/llama/tickets", "slots");
  EXPECT_EQ(slots.value, "6");
  EXPECT_EQ(slots.origin, "/guayas/drafting/llama");
  EXPECT_EQ(tree.value("/guayas/drafting", "slots").origin, "/guayas");
  EXPECT_EQ(tree.value("/elsewhere", "slots").origin, "default");
}

TEST(settings_tree, moves_one_branch_at_a_time) {
  const auto tree = tree_of(kSite);
  EXPECT_FALSE(tree.at("/guayas/desk").managed);
  EXPECT_TRUE(tree.at("/guayas/drafting/llama").managed);
}

TEST(settings_tree, knows_declared_versions_only) {
  const auto tree = tree_of(kSite);
  EXPECT_TRUE(tree.declares("/guayas/drafting", {"llama", "tickets", 4}));
  EXPECT_FALSE(tree.declares("/guayas/drafting", {"llama", "tickets", 5}));
  EXPECT_FALSE(tree.declares("/guayas/drafting", {"llama", "other", 4}));
  EXPECT_TRUE(tree.pinned("/guayas/drafting", {"llama", "tickets", 4}));
}

struct bad_document {
  const char* text;
  errc code;
  int line;
};

void PrintTo(const bad_document& d, std::ostream* out) { *out << d.text; }

class bad_documents : public testing::TestWithParam<bad_document> {};

TEST_P(bad_documents, are_refused_with_type_and_line) {
  const auto checked = check_document("d", GetParam().text, 1);
  EXPECT_FALSE(checked.document);
  ASSERT_FALSE(checked.failures.empty());
  EXPECT_EQ(checked.failures[0].code, GetParam().code);
  EXPECT_EQ(checked.failures[0].line, GetParam().line);
}

INSTANTIATE_TEST_SUITE_P(
    faults, bad_documents,
    testing::Values(
        bad_document{"[document]\nversion = 1\nbranch = /\n[/]\nslot = 1\n",
                     errc::unknown_key, 5},
        bad_document{"[document]\nversion = 1\nbranch = /\n[/]\nslots = 0\n",
                     errc::bad_value, 5},
        bad_document{"[document]\nversion = 1\nbranch = /\n[/]\nlease = 2\n",
                     errc::bad_value, 5},
        bad_document{"[document]\nversion = 1\nbranch = /a\n[/b]\n",
                     errc::outside_branch, 4},
        bad_document{"[document]\nversion = 1\nbranch = /\n[/a]\nkind = "
                     "plain\n",
                     errc::wrong_level, 5},
        bad_document{"[document]\nversion = 1\nbranch = /\n[/a/b/c/d]\n",
                     errc::missing_key, 4},
        bad_document{"[document]\nversion = 0\nbranch = /\n", errc::bad_value,
                     2},
        bad_document{"[document]\nbranch = /\n", errc::missing_key, 1},
        bad_document{"[document]\nversion = 1\nbranch = /\n[/]\nslots = 1\n"
                     "slots = 2\n",
                     errc::bad_value, 5}));

TEST(instance_config, names_every_missing_key) {
  const auto checked = check_instance_config("[instance]\nid = i1\n");
  EXPECT_EQ(checked.failures.size(), 5U);
  for (const auto& f : checked.failures) {
    EXPECT_EQ(f.code, errc::missing_key);
  }
}

TEST(fleet_list, refuses_a_target_without_an_address) {
  const auto checked =
      check_fleet("[target e1]\nzone = a\nservice = /s/t\n", 1);
  EXPECT_FALSE(checked.list);
  EXPECT_EQ(checked.failures[0].code, errc::missing_key);
}

std::string edition(int version, const char* slots) {
  return "[document]\nversion = " + std::to_string(version) +
         "\nbranch = /\n[/]\nslots = " + slots + "\n";
}

TEST(document_store, takes_only_newer_editions) {
  detail::document_store store(true);
  using enum detail::offer_result;
  EXPECT_EQ(store.offer("root", edition(2, "2"), 5).result, accepted);
  EXPECT_EQ(store.offer("root", edition(2, "2"), 5).result, known);
  EXPECT_EQ(store.offer("root", edition(3, "x"), 6).result, refused);
  EXPECT_EQ(store.offer("root", edition(1, "1"), 7).result, refused);
  EXPECT_EQ(store.offer("root", edition(1, "1"), 4).result, known);
  EXPECT_EQ(store.offer("root", edition(3, "3"), 2).result, accepted);
}

TEST(document_store, ends_the_same_whatever_order_editions_arrive_in) {
  // Two operators published version 2 over each other.
  const std::vector<std::pair<std::string, std::uint64_t>> editions{
      {edition(1, "1"), 1}, {edition(2, "2"), 2}, {edition(2, "3"), 3}};
  std::vector<std::size_t> order{0, 1, 2};
  do {
    detail::document_store store(true);
    for (const auto i : order) {
      store.offer("root", editions[i].first, editions[i].second);
    }
    EXPECT_EQ(store.documents().at("root").stamp.index, 3U);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST(settings_reference, agrees_with_the_page) {
  std::ifstream page(SEAMGLADE_SOURCE_DIR "/docs/SETTINGS.md");
  std::stringstream text;
  text << page.rdbuf();
  EXPECT_NE(text.str().find(detail::settings_reference()), std::string::npos)
      << "run: seamglade check --reference";
}

}  // namespace
}  // namespace seamglade
