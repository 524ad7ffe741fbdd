// seamglade - a small load generator: a fixed number of callers in a closed
// loop
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <iostream>

#include "connection/http_client.h"

namespace {

namespace po = boost::program_options;
using namespace seamglade;

/** Sends requests from `callers` callers until `total` are answered. */
class closed_loop {
 public:
  closed_loop(event_base* base, detail::http_call call, int callers, int total)
      : base_(base),
        client_(base, detail::repeated_answers::never),
        call_(std::move(call)),
        total_(total) {
    latencies_.reserve(static_cast<std::size_t>(total));
    started_ = detail::boot_now();
    for (int i = 0; i < callers; ++i) send();
  }

  void print(const std::string& name) {
    std::sort(latencies_.begin(), latencies_.end());
    const auto at = [&](double share) {
      if (latencies_.empty()) return 0.0;
      const auto i =
          static_cast<std::size_t>(share * (latencies_.size() - 1.0));
      return std::chrono::duration<double, std::milli>(latencies_[i]).count();
    };
    const double seconds =
        std::chrono::duration<double>(ended_ - started_).count();
    fmt::print("{}\t{:.0f}\t{:.3f}\t{:.3f}\t{}\n", name,
               static_cast<double>(latencies_.size()) / seconds, at(0.5),
               at(0.99), failures_);
  }

 private:
  void send() {
    if (sent_ == total_) return;
    ++sent_;
    const auto from = detail::boot_now();
    client_.start(
        call_, {[this, from](int status, const auto&, const auto&, bool last) {
                  if (status != 0 && status != 200) ++failures_;
                  if (last) done(from);
                },
                [this, from](detail::http_end) {
                  ++failures_;
                  done(from);
                }});
  }

  void done(time_point from) {
    ended_ = detail::boot_now();
    latencies_.push_back(ended_ - from);
    if (static_cast<int>(latencies_.size()) == total_) {
      event_base_loopbreak(base_);
      return;
    }
    send();
  }

  event_base* base_;
  detail::http_client client_;
  detail::http_call call_;
  int total_;
  int sent_ = 0;
  int failures_ = 0;
  std::vector<duration> latencies_;
  time_point started_;
  time_point ended_;
};

}  // namespace

int main(int argc, char** argv) {
  std::string address;
  std::string path;
  std::string body;
  std::string name;
  int callers = 0;
  int total = 0;
  po::options_description all("options");
  all.add_options()("help", "show this text")(
      "address", po::value(&address)->required(), "IP:port")(
      "path", po::value(&path)->default_value("/"), "path")(
      "body", po::value(&body)->default_value("{}"), "body of each request")(
      "name", po::value(&name)->default_value("run"), "name of the row")(
      "callers", po::value(&callers)->default_value(16), "requests at once")(
      "total", po::value(&total)->default_value(20000), "requests in all");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, all), values);
    if (values.count("help") > 0) {
      std::cout << all
                << "Prints NAME, requests/s, p50 ms, p99 ms, failures.\n";
      return 0;
    }
    po::notify(values);
  } catch (const po::error& wrong) {
    std::cerr << wrong.what() << "\n";
    return 2;
  }
  const detail::base_handle base(event_base_new());
  detail::http_call call;
  call.address = address;
  call.method = "POST";
  call.path = path;
  call.headers = {{"Content-Type", "application/json"},
                  {"Seamglade-Repeatable", "yes"}};
  call.body = std::make_shared<const std::string>(body);
  closed_loop loop(base.get(), std::move(call), callers, total);
  event_base_dispatch(base.get());
  loop.print(name);
  return 0;
}
