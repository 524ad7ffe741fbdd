// seamglade - the settings file of an instance, which may be being written
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "process/settings_file.h"

#include <boost/algorithm/string/trim.hpp>
#include <boost/outcome/try.hpp>

#include "connection/event_handles.h"
#include "process/process_signals.h"
#include "process/wait_notice.h"
#include "seamglade/instance_config.h"

namespace seamglade::detail {
namespace {

constexpr std::string_view kEnd = "[end]";

/** Looks at a file from a loop until it is whole or a signal comes. */
class settings_wait {
 public:
  settings_wait(settings_file& file, const settings_wait_handler& waiting)
      : file_(file),
        waiting_(waiting),
        started_(boot_now()),
        base_(event_base_new()),
        signals_(base_.get(), [this](const signal_rule& rule) {
          if (rule.use == signal_use::stop) event_base_loopbreak(base_.get());
        }) {
    const auto again = [](evutil_socket_t, short, void* self) {
      static_cast<settings_wait*>(self)->look();
    };
    timer_.reset(event_new(base_.get(), -1, 0, again, this));
  }

  std::optional<std::string> run() {
    look();
    if (!text_) event_base_dispatch(base_.get());
    return std::move(text_);
  }

 private:
  void look() {
    const auto now = boot_now();
    auto text = file_.read(now);
    if (text) {
      text_ = std::move(text.value());
      event_base_loopbreak(base_.get());
      return;
    }
    if (notice_.is_due(now)) waiting_(text.error(), now - started_);
    const auto wait = to_timeval(kStartRetry);
    event_add(timer_.get(), &wait);
  }

  settings_file& file_;
  const settings_wait_handler& waiting_;
  time_point started_;
  wait_notice notice_;
  base_handle base_;
  signal_reader signals_;
  event_handle timer_;
  std::optional<std::string> text_;
};

}  // namespace

bool has_settings_end(std::string_view text) {
  constexpr std::string_view kBlank = " \t\r\n";
  const auto last = text.find_last_not_of(kBlank);
  if (last == std::string_view::npos) return false;
  text = text.substr(0, last + 1);
  const auto line = text.substr(text.rfind('\n') + 1);
  return line.substr(std::min(line.find_first_not_of(kBlank), line.size())) ==
         kEnd;
}

result<std::string> settings_file::read(time_point now) {
  auto text = read_whole(now);
  if (!text) {
    if (!is_waiting_) ++counts_.waits;
    ++counts_.retries;
  }
  is_waiting_ = !text;
  return text;
}

result<std::string> settings_file::read_whole(time_point now) {
  BOOST_OUTCOME_TRY(text, read_file(path_));
  if (boost::algorithm::trim_copy(text).empty()) {
    return failure{errc::unfinished_file, path_ + ": empty", 0};
  }
  if (has_settings_end(text) || is_settled(now, text)) return text;
  return failure{errc::unfinished_file,
                 path_ + ": changed less than a second ago, and has no [end]",
                 0};
}

bool settings_file::is_settled(time_point now, const std::string& text) {
  using file_clock = std::filesystem::file_time_type::clock;
  // Asked after the read: a change since then would make it younger.
  std::error_code unknown;
  const auto changed = std::filesystem::last_write_time(path_, unknown);
  if (!unknown && file_clock::now() - changed >= kSettled) return true;
  // The file's time may be ahead of this machine's clock.
  if (text != seen_ || changed != changed_) {
    seen_ = text;
    changed_ = changed;
    seen_since_ = now;
  }
  return now - seen_since_ >= kSettled;
}

std::optional<std::string> await_settings(
    settings_file& file, const settings_wait_handler& waiting) {
  if (auto text = file.read(boot_now())) return std::move(text.value());
  return settings_wait(file, waiting).run();
}

}  // namespace seamglade::detail
