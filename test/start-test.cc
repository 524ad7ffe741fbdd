// seamglade - the parts of a start: addresses, settings, last words
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <gtest/gtest.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "process/address_binder.h"
#include "process/last_words.h"
#include "process/settings_file.h"
#include "process/wait_notice.h"
#include "seamglade/gateway_config.h"
#include "seamglade/instance_config.h"

namespace seamglade::detail {
namespace {

namespace fs = std::filesystem;

const failure kHeld{errc::cannot_listen_yet, "held", 0};

/** An address whose first tries fail. */
own_address held_for(int tries, listen_role role, const failure& why = kHeld) {
  auto left = std::make_shared<int>(tries);
  return {role, "127.0.0.1:1", [left, why](const endpoint&) -> result<void> {
            if ((*left)-- > 0) return why;
            return outcome::success();
          }};
}

class binder : public testing::Test {
 protected:
  base_handle base_{event_base_new()};
  std::vector<listen_role> waits_;
  std::optional<failure> failed_;
  int bound_ = 0;
  address_binder addresses_{
      base_.get(),
      {[this](const address_wait& wait) { waits_.push_back(wait.role); },
       [this] { ++bound_; }, [this](const failure& why) { failed_ = why; }}};
};

TEST_F(binder, binds_the_others_while_one_is_held) {
  ASSERT_TRUE(addresses_.start(
      {held_for(2, listen_role::callers), held_for(0, listen_role::peers)}));
  EXPECT_TRUE(addresses_.is_bound(listen_role::peers));
  EXPECT_FALSE(addresses_.is_bound(listen_role::callers));
  event_base_dispatch(base_.get());
  EXPECT_TRUE(addresses_.all_bound());
  EXPECT_EQ(waits_, std::vector{listen_role::callers});
  EXPECT_EQ(addresses_.counts().waits, 1U);
  EXPECT_EQ(addresses_.counts().retries, 2U);
  EXPECT_EQ(bound_, 2);
}

TEST_F(binder, gives_up_what_will_never_be_right) {
  const failure lasting{errc::cannot_listen, "not allowed", 0};
  const auto started =
      addresses_.start({held_for(1, listen_role::callers, lasting)});
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error(), lasting);
}

TEST_F(binder, tells_a_failure_that_comes_later) {
  const failure lasting{errc::cannot_listen, "not allowed", 0};
  auto tries = std::make_shared<int>(0);
  const auto bind = [tries, lasting](const endpoint&) -> result<void> {
    return (*tries)++ == 0 ? kHeld : lasting;
  };
  ASSERT_TRUE(addresses_.start({{listen_role::callers, "127.0.0.1:1", bind}}));
  event_base_dispatch(base_.get());
  EXPECT_EQ(failed_, lasting);
}

TEST_F(binder, makes_no_more_tries_after_a_stop) {
  ASSERT_TRUE(addresses_.start({held_for(1, listen_role::callers)}));
  addresses_.stop();
  event_base_dispatch(base_.get());
  EXPECT_FALSE(addresses_.all_bound());
}

TEST(start_wait, is_said_at_once_and_every_ten_seconds) {
  wait_notice notice;
  EXPECT_TRUE(notice.is_due(time_point(1s)));
  EXPECT_FALSE(notice.is_due(time_point(10s)));
  EXPECT_TRUE(notice.is_due(time_point(11s)));
}

/** A settings file of the test's own. */
class written_settings : public testing::Test {
 protected:
  written_settings() {
    std::string name =
        (fs::temp_directory_path() / "seamglade-XXXXXX").string();
    close(mkstemp(name.data()));
    path_ = name;
    file_.emplace(name);
  }
  ~written_settings() override { fs::remove(path_); }
  written_settings(const written_settings&) = delete;
  written_settings& operator=(const written_settings&) = delete;

  /** Writes a text whose time of change is so far from now. */
  void write(std::string_view text, duration age) {
    std::ofstream(path_) << text;
    fs::last_write_time(path_, fs::file_time_type::clock::now() - age);
  }
  errc fault(duration now) {
    const auto text = file_->read(time_point(now));
    return text ? errc::bad_ini : text.error().code;
  }

  fs::path path_;
  std::optional<settings_file> file_;
};

TEST_F(written_settings, with_an_end_are_whole_at_once) {
  write("[gateway]\nid = a\n\n [end] \r\n\n", 0s);
  EXPECT_TRUE(file_->read(time_point(1s)));
  EXPECT_EQ(file_->counts().waits, 0U);
}

TEST_F(written_settings, without_an_end_are_whole_once_they_have_settled) {
  write("[gateway]\nid = a\n", 2s);
  EXPECT_TRUE(file_->read(time_point(1s)));
}

TEST_F(written_settings, that_just_changed_are_not_whole) {
  write("[gateway]\nid = a\n[en", -1h);
  EXPECT_EQ(fault(1s), errc::unfinished_file);
  EXPECT_EQ(fault(1900ms), errc::unfinished_file);
  EXPECT_EQ(file_->counts().waits, 1U);
  EXPECT_EQ(file_->counts().retries, 2U);
}

TEST_F(written_settings, of_a_clock_that_is_ahead_settle_too) {
  write("[gateway]\nid = a\n", -1h);
  EXPECT_EQ(fault(1s), errc::unfinished_file);
  EXPECT_TRUE(file_->read(time_point(2s)));
}

TEST_F(written_settings, that_are_empty_or_missing_are_never_whole) {
  write(" \n", 1h);
  EXPECT_EQ(fault(1s), errc::unfinished_file);
  EXPECT_EQ(fault(1h), errc::unfinished_file);
  fs::remove(path_);
  EXPECT_EQ(fault(2h), errc::unreadable_file);
}

TEST(settings_end, has_no_keys) {
  const std::string instance =
      "[instance]\nid = i1\nzone = z\ncaller_address = 127.0.0.1:1\n"
      "peer_address = 127.0.0.1:2\noperator_address = 127.0.0.1:3\n"
      "config_service = 127.0.0.1:4\n";
  EXPECT_TRUE(check_instance_config(instance).failures.empty());
  EXPECT_TRUE(check_instance_config(instance + "[end]\n").failures.empty());
  const auto checked = check_instance_config(instance + "[end]\nid = i2\n");
  ASSERT_EQ(checked.failures.size(), 1U);
  EXPECT_EQ(checked.failures[0].code, errc::unknown_key);
  EXPECT_EQ(checked.failures[0].line, 8);
}

TEST(gateway_settings, refuse_an_address_that_is_none) {
  const std::string before =
      "[gateway]\nid = a\nfailure_domain = z\nready_address = 127.0.0.1:1\n"
      "peer_address = 127.0.0.1:2\nmetrics_address = 127.0.0.1:3\n"
      "store_address = 127.0.0.1:4\ncaller_address = ";
  EXPECT_TRUE(
      check_gateway_config(before + "127.0.0.1:5\n[end]\n").failures.empty());
  for (const auto* address :
       {"127.0.0.300:5", "127.0.0.1:65536", "127.0.01:5", "127.0.0.01:5",
        "127.0.0.1", "127.0.0.1:", "127.0.0.1:-5", "1.2.3.4.5:6"}) {
    const auto checked = check_gateway_config(before + address + "\n[end]\n");
    ASSERT_EQ(checked.failures.size(), 1U) << address;
    EXPECT_EQ(checked.failures[0].code, errc::bad_value) << address;
    EXPECT_EQ(checked.failures[0].line, 8) << address;
  }
}

void throw_error() { throw std::runtime_error("a \"quoted\" text"); }

/** Runs in the process of a death test, which would catch the exception. */
void throw_uncaught() noexcept {
  install_last_words(STDERR_FILENO);
  name_in_last_words("i1");
  throw_error();
}

TEST(last_words_death, name_the_exception) {
  EXPECT_DEATH(throw_uncaught(),
               R"("instance":"i1","event":"ended","reason":"exception",)"
               R"("detail":"a \\"quoted\\" text")");
}

TEST(last_words_death, are_written_once) {
  EXPECT_DEATH(throw_uncaught(), "^[^\n]*text\"}\n$");
}

TEST(last_words_death, name_the_signal) {
  const auto end_by = [](int number) {
    install_last_words(STDERR_FILENO);
    raise(number);
    _exit(0);
  };
  EXPECT_DEATH(end_by(SIGBUS), R"("reason":"signal","signal":"SIGBUS"\})");
  EXPECT_DEATH(end_by(SIGABRT), R"("reason":"signal","signal":"SIGABRT"\})");
}

}  // namespace
}  // namespace seamglade::detail
