// seamglade - the command line
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <fmt/format.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "process/event_log.h"
#include "process/gateway_shell.h"
#include "process/last_words.h"
#include "process/operator_client.h"
#include "process/process_signals.h"
#include "process/reference.h"
#include "process/settings_file.h"
#include "process/shell.h"
#include "seamglade/fleet.h"
#include "seamglade/gateway_config.h"
#include "seamglade/instance_config.h"
#include "seamglade/settings.h"

namespace {

namespace po = boost::program_options;
using namespace seamglade;

constexpr int kDone = 0;
constexpr int kNegative = 1;  // the answer is no, or the other side is away
constexpr int kBadInput = 2;  // settings or command line are wrong

/** Names the settings file where the command line does not. */
constexpr const char* kFileVariable = "SEAMGLADE_NODE_FILE";
/** Where it lies if nothing names it. */
constexpr const char* kUsualFile = "/etc/seamglade/boot.toml";

constexpr std::string_view kVersion = "seamglade " SEAMGLADE_VERSION "\n";

constexpr std::string_view kUsage =
    "usage: seamglade COMMAND [OPTIONS]\n"
    "commands:\n"
    "  serve    run an instance\n"
    "  check    check settings documents, lists and instance files\n"
    "  explain  show the settings of a path and where each came from\n"
    "  status   show the state of a running instance\n"
    "  drain    let a running instance finish and stop\n"
    "exit codes: 0 done, 1 no or unreachable, 2 bad settings or usage\n"
    "seamglade COMMAND --help tells the options of a command.\n";

void print_failure(const std::string& file, const failure& f) {
  fmt::print(stderr, "{}:{}: {}: {}\n", file, f.line, to_string(f.code),
             f.detail);
}

/** Options of one command, parsed; help and version are answered here. */
class command {
 public:
  command(std::string name, std::string purpose)
      : name_(std::move(name)),
        purpose_(std::move(purpose)),
        options_("options") {
    options_.add_options()("help", "show this text")("version",
                                                     "show the version");
  }

  po::options_description_easy_init add() { return options_.add_options(); }
  void positional(const char* option) { positions_.add(option, -1); }

  /** Returns an exit code if the command is over. */
  std::optional<int> parse(const std::vector<std::string>& words) {
    try {
      po::store(po::command_line_parser(words)
                    .options(options_)
                    .positional(positions_)
                    .run(),
                values_);
      if (values_.count("help") > 0) {
        std::cout << "usage: seamglade " << name_ << " [OPTIONS]\n"
                  << purpose_ << "\n"
                  << options_;
        return kDone;
      }
      if (values_.count("version") > 0) {
        std::cout << kVersion;
        return kDone;
      }
      po::notify(values_);
    } catch (const po::error& wrong) {
      fmt::print(stderr, "seamglade {}: {}\n", name_, wrong.what());
      return kBadInput;
    }
    return std::nullopt;
  }

  std::string text(const char* option) const {
    return values_[option].as<std::string>();
  }
  std::vector<std::string> texts(const char* option) const {
    if (values_.count(option) == 0) return {};
    return values_[option].as<std::vector<std::string>>();
  }
  bool flag(const char* option) const { return values_.count(option) > 0; }

 private:
  std::string name_;
  std::string purpose_;
  po::options_description options_;
  po::positional_options_description positions_;
  po::variables_map values_;
};

/** Says on standard error and in the log why a start has failed. */
int refuse_start(const std::string& file, const std::vector<failure>& why) {
  for (const auto& f : why) print_failure(file, f);
  detail::write_failed_start(why.front());
  return kBadInput;
}

template <typename Instance>
int run(Instance& instance, const std::string& file) {
  if (const auto started = instance.start(); !started) {
    return refuse_start(file, {started.error()});
  }
  if (const auto ended = instance.run(); !ended) {
    return refuse_start(file, {ended.error()});
  }
  return kDone;
}

int serve_gateway(detail::settings_file file, std::string text) {
  auto checked = check_gateway_config(text);
  const auto path = file.path();
  if (!checked.failures.empty()) return refuse_start(path, checked.failures);
  detail::name_in_last_words(checked.config.id);
  detail::gateway_shell instance(std::move(checked.config), std::move(file),
                                 std::move(text));
  return run(instance, path);
}

int serve_owner(const std::string& file, const std::string& text) {
  auto checked = check_instance_config(text);
  if (!checked.failures.empty()) return refuse_start(file, checked.failures);
  detail::name_in_last_words(checked.config.id);
  detail::shell instance(std::move(checked.config));
  return run(instance, file);
}

/** Returns the settings once they are whole, or nothing after a stop. */
std::optional<std::string> settings_of(detail::settings_file& file) {
  const detail::base_handle base(event_base_new());
  detail::event_log log(base.get(), STDOUT_FILENO, {});
  auto text = detail::await_settings(file, [&](const failure& why,
                                               duration waited) {
    log.write(detail::boot_now(), {"settings_wait",
                                   {{"type", std::string(to_string(why.code))},
                                    {"detail", why.detail},
                                    {"waited_ms", waited / 1ms}},
                                   true});
  });
  if (!text) log.write(detail::boot_now(), {"stopped", {}, true});
  return text;
}

/** Returns the path of the settings where the command line names none. */
std::string usual_path() {
  const char* path = std::getenv(kFileVariable);
  return path == nullptr ? kUsualFile : path;
}

int serve(const std::vector<std::string>& words) {
  command c("serve", "Runs an instance until it is drained or terminated.");
  c.add()("config", po::value<std::string>(),
          "INI file of the instance; not given: the one that "
          "SEAMGLADE_NODE_FILE names, or /etc/seamglade/boot.toml");
  if (const auto over = c.parse(words)) return *over;
  const auto path = c.flag("config") ? c.text("config") : usual_path();
  detail::install_last_words(STDOUT_FILENO);
  detail::take_signals();
  detail::settings_file file(path);
  auto text = settings_of(file);
  if (!text) return kDone;
  if (!is_gateway_config(*text)) return serve_owner(file.path(), *text);
  return serve_gateway(std::move(file), std::move(*text));
}

std::vector<failure> check_text(const std::string& kind,
                                const std::string& name,
                                const std::string& text) {
  if (kind == "fleet") return check_fleet(text, 0).failures;
  if (kind == "instance") return check_instance_config(text).failures;
  if (kind == "gateway") return check_gateway_config(text).failures;
  return check_document(name, text, 0).failures;
}

int check(const std::vector<std::string>& words) {
  command c("check",
            "Checks files; prints FILE:LINE: TYPE: DETAIL for each fault.");
  c.add()("kind", po::value<std::string>()->default_value("settings"),
          "settings, fleet, instance or gateway")(
      "reference", "print the settings reference")(
      "file", po::value<std::vector<std::string>>(), "files to check");
  c.positional("file");
  if (const auto over = c.parse(words)) return *over;
  if (c.flag("reference")) {
    std::cout << detail::settings_reference();
    return kDone;
  }
  const auto kind = c.text("kind");
  if (kind != "settings" && kind != "fleet" && kind != "instance" &&
      kind != "gateway") {
    fmt::print(stderr,
               "seamglade check: kind: accepted: settings, fleet, instance, "
               "gateway\n");
    return kBadInput;
  }
  int code = kDone;
  for (const auto& file : c.texts("file")) {
    const auto text = read_file(file);
    if (!text) {
      print_failure(file, text.error());
      code = kBadInput;
      continue;
    }
    for (const auto& f : check_text(kind, file, text.value())) {
      print_failure(file, f);
      code = kBadInput;
    }
  }
  return code;
}

int explain(const std::vector<std::string>& words) {
  command c("explain",
            "Prints KEY, VALUE and the node that set it, divided by tabs.");
  c.add()("path", po::value<std::string>()->required(),
          "path in the tree, as /site/service")("json", "print JSON")(
      "file", po::value<std::vector<std::string>>()->required(),
      "settings documents");
  c.positional("file");
  if (const auto over = c.parse(words)) return *over;
  std::map<std::string, settings_document> documents;
  for (const auto& file : c.texts("file")) {
    const auto text = read_file(file);
    if (!text) {
      print_failure(file, text.error());
      return kBadInput;
    }
    auto checked = check_document(file, text.value(), 0);
    for (const auto& f : checked.failures) print_failure(file, f);
    if (!checked.document) return kBadInput;
    documents.emplace(file, std::move(*checked.document));
  }
  const settings_tree tree(documents);
  const auto values = tree.explain(c.text("path"));
  if (values.empty()) {
    fmt::print(stderr,
               "seamglade explain: path: accepted: a path such as "
               "/site/service\n");
    return kBadInput;
  }
  if (c.flag("json")) {
    auto out = nlohmann::ordered_json::array();
    for (const auto& v : values) {
      out.push_back({{"key", v.key}, {"value", v.value}, {"from", v.origin}});
    }
    std::cout << out.dump() << "\n";
    return kDone;
  }
  for (const auto& v : values) {
    fmt::print("{}\t{}\t{}\n", v.key, v.value, v.origin);
  }
  return kDone;
}

result<std::string> ask(const std::string& address, const char* method,
                        const char* path) {
  const detail::base_handle base(event_base_new());
  return detail::ask_operator(base.get(), address, method, path);
}

int status(const std::vector<std::string>& words) {
  command c("status",
            "Prints the state of an instance; exits 1 if it is "
            "not ready.");
  c.add()("address", po::value<std::string>()->required(),
          "operator address of the instance")("json", "print JSON");
  if (const auto over = c.parse(words)) return *over;
  const auto answer = ask(c.text("address"), "GET", "/status");
  if (!answer) {
    print_failure(c.text("address"), answer.error());
    return kNegative;
  }
  const auto state = nlohmann::json::parse(answer.value(), nullptr, false);
  if (!state.is_object()) return kNegative;
  const bool ready = state.value("ready", false);
  if (c.flag("json")) {
    std::cout << answer.value();
    return ready ? kDone : kNegative;
  }
  for (const auto& [key, value] : state.items()) {
    if (key != "targets") fmt::print("{}\t{}\n", key, value.dump());
  }
  for (const auto& target : state["targets"]) {
    fmt::print("target\t{}\t{}\t{}\t{}\t{}\n", target.value("id", ""),
               target.value("owner", ""), target.value("running", 0),
               target.value("queued", 0), target["loaded"].dump());
  }
  return ready ? kDone : kNegative;
}

int drain(const std::vector<std::string>& words) {
  command c("drain", "Tells an instance to finish its requests and stop.");
  c.add()("address", po::value<std::string>()->required(),
          "operator address of the instance");
  if (const auto over = c.parse(words)) return *over;
  const auto answer = ask(c.text("address"), "POST", "/drain");
  if (!answer) {
    print_failure(c.text("address"), answer.error());
    return kNegative;
  }
  std::cout << answer.value();
  return kDone;
}

}  // namespace

int main(int argc, char** argv) {
  const std::vector<std::string> words(argv + 1, argv + argc);
  if (words.empty()) {
    std::cerr << kUsage;
    return kBadInput;
  }
  const std::vector<std::string> rest(words.begin() + 1, words.end());
  if (words[0] == "serve") return serve(rest);
  if (words[0] == "check") return check(rest);
  if (words[0] == "explain") return explain(rest);
  if (words[0] == "status") return status(rest);
  if (words[0] == "drain") return drain(rest);
  if (words[0] == "--version") {
    std::cout << kVersion;
    return kDone;
  }
  if (words[0] == "--help") {
    std::cout << kUsage;
    return kDone;
  }
  std::cerr << kUsage;
  return kBadInput;
}
