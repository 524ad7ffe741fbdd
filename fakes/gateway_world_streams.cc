// seamglade - the direct path's world: streams in any framing, truncated
// anywhere
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "gateway_world_impl.h"

namespace seamglade::fakes {
namespace {

using gateway::body_framing;
using gateway::call_end;

/** Returns the lines of an event, the empty one that ends it included. */
std::vector<std::string> event_lines(const std::string& request,
                                     std::size_t number,
                                     const std::string& software) {
  std::vector<std::string> lines{fmt::format("id: {}", number)};
  if (!software.empty()) lines.push_back("data: software " + software);
  if (number % 3 == 0) lines.emplace_back(": comment");
  lines.push_back(fmt::format("data: {} {}", request, number));
  if (number % 2 == 0) lines.emplace_back("data: second line");
  lines.emplace_back();
  return lines;
}

struct stream_body {
  std::string text;
  std::vector<std::size_t> event_ends;
};

stream_body make_body(const std::string& request, const fake_stream& how,
                      std::size_t skipped, const std::string& software = {}) {
  stream_body out;
  std::size_t line_number = 0;
  for (auto number = skipped + 1; number <= how.events; ++number) {
    for (const auto& line : event_lines(request, number, software)) {
      auto end = how.line_ends[line_number % how.line_ends.size()];
      // Behind a carriage return a line feed would end the same line.
      if (line.empty() && out.text.ends_with('\r')) end = "\r\n";
      out.text += line + end;
      ++line_number;
    }
    out.event_ends.push_back(out.text.size());
  }
  return out;
}

/** Whether so many bytes end behind an event, or within its last line end. */
bool ends_behind_event(const std::string& text,
                       const std::vector<std::size_t>& event_ends,
                       std::size_t bytes) {
  const auto is_end = [&](std::size_t at) {
    return std::find(event_ends.begin(), event_ends.end(), at) !=
           event_ends.end();
  };
  const auto rest = std::string_view(text).substr(bytes);
  const bool in_line_end =
      text.substr(0, bytes).ends_with('\r') && rest.starts_with('\n');
  return is_end(bytes) || (in_line_end && is_end(bytes + 1));
}

call_end end_of_call(body_framing framing, fake_stream::ending how) {
  if (how == fake_stream::ending::reset) return call_end::reset;
  const bool is_marked = framing != body_framing::close_delimited;
  return is_marked ? call_end::closed : call_end::complete;
}

}  // namespace

void gateway_world::send_streams(const std::string& id,
                                 const fake_stream& how) {
  targets_.at(id)->streams = how;
}

std::string gateway_world::stream_text(const std::string& request,
                                       const fake_stream& how,
                                       std::size_t skipped) {
  return make_body(request, how, skipped).text;
}

std::shared_ptr<gateway_world::stream_run> gateway_world::make_run(
    const instance& from, target& at, const action::call_target& call) {
  auto run = std::make_shared<stream_run>();
  run->who = from.address;
  run->life = from.life;
  run->call = call.call;
  run->request = call.request_id;
  run->at = &at;
  run->blackouts = at.blackouts;
  run->how = *at.streams;
  const auto last = header_of(call.headers, "Last-Event-Id");
  const auto software = run->how.tells_software ? at.software : std::string();
  auto body = make_body(run->request, run->how,
                        last.empty() ? 0 : std::stoul(last), software);
  run->text = run->how.other_body.value_or(std::move(body.text));
  run->event_ends = std::move(body.event_ends);
  const bool is_cut =
      std::uniform_real_distribution<>(0, 1)(random_) < run->how.cut_share;
  const auto least = std::min(run->how.least_drawn_cut, run->text.size());
  if (is_cut) {
    run->how.cut_at = least + random_() % (run->text.size() + 1 - least);
  }
  return run;
}

void gateway_world::begin_stream(const instance& from, target& at,
                                 const action::call_target& call,
                                 duration after) {
  const auto run = make_run(from, at, call);
  if (!at.open_calls.empty()) at.open_calls.back().stream = run;
  later(after, [this, run] {
    if (!is_heard(*run)) return;
    run->is_begun = true;
    run->had = calls_by_id_.at(run->request)->body.size();
    send_head(*run);
    send_piece(run);
  });
}

bool gateway_world::is_heard(const stream_run& run) {
  const auto& i = *instances_.at(run.who);
  return i.life == run.life && !i.cancelled.contains(run.call) &&
         !holds_up(i) && run.at->blackouts == run.blackouts;
}

void gateway_world::send_head(const stream_run& run) {
  std::vector<http_header> headers{{"X-Request-Id", run.request},
                                   {"X-Server-Stamp", "s"},
                                   {"Content-Type", run.how.media_type}};
  add_limit(*run.at, headers);
  if (run.at->says_leaving) headers.push_back({"Server-Leaving", "1"});
  note_told(*run.at, run.who, headers);
  post(*instances_.at(run.who),
       event::answer_head{run.call, 200, "", std::move(headers),
                          run.how.framing});
}

std::size_t gateway_world::next_piece(const stream_run& run) {
  if (!run.how.sends_whole_events) return 1 + random_() % run.how.most_piece;
  const auto end =
      std::upper_bound(run.event_ends.begin(), run.event_ends.end(), run.sent);
  return *end - run.sent;
}

void gateway_world::send_piece(const std::shared_ptr<stream_run>& run) {
  if (run->is_over || !is_heard(*run)) return;
  const auto stop =
      std::min(run->how.cut_at.value_or(run->text.size()), run->text.size());
  if (run->sent >= stop) {
    std::erase_if(run->at->open_calls,
                  [&](const auto& open) { return open.stream == run; });
    end_stream(
        *run, run->how.cut_at ? std::optional(run->how.ends_by) : std::nullopt);
    return;
  }
  const auto size = std::min(next_piece(*run), stop - run->sent);
  auto piece =
      std::make_shared<const std::string>(run->text.substr(run->sent, size));
  run->sent += size;
  post(*instances_.at(run->who),
       event::answer_data{run->call, std::move(piece)});
  judge_pace(run);
  later(run->how.gap, [this, run] { send_piece(run); });
}

void gateway_world::end_stream(stream_run& run,
                               std::optional<fake_stream::ending> how) {
  run.is_over = true;
  if (how == fake_stream::ending::silence) return;
  const auto end =
      how ? end_of_call(run.how.framing, *how) : call_end::complete;
  const bool is_between = ends_behind_event(run.text, run.event_ends, run.sent);
  const bool looks_whole = end == call_end::complete && is_between;
  // That the target itself has ended shows.
  if (how && looks_whole && !run.at->down) cut_unseen_.insert(run.request);
  auto& i = *instances_.at(run.who);
  if (i.life == run.life && !i.cancelled.contains(run.call)) {
    post(i, event::answer_end{run.call, end});
  }
}

void gateway_world::judge_pace(const std::shared_ptr<stream_run>& run) {
  std::size_t due = 0;
  for (const auto end : run->event_ends) {
    if (end <= run->sent) due = end;
  }
  const auto* call = calls_by_id_.at(run->request);
  // What was handed on comes back over one hop more.
  const bool is_relayed = call->entry != run->who;
  const auto hop = is_relayed ? 2 * kLinkDelay : duration{};
  const auto judge = [this, run, call, due, hop] {
    const auto frozen_until =
        std::max(instances_.at(run->who)->frozen_until,
                 instances_.at(call->entry)->frozen_until);
    if (now_ < frozen_until + hop || call->ended != time_point{}) return;
    if (!is_heard(*run)) return;
    if (call->body.size() < run->had + due) {
      violation(run->request + ": a whole event was held back");
    }
  };
  if (is_relayed) {
    later(hop, judge);
  } else {
    judge();
  }
}

}  // namespace seamglade::fakes
