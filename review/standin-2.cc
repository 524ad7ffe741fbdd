// Stand-ins for the cases of the second review: the platform with its store and
// its replicas, the platform's entry with its clients. Each connection has a
// thread of its own; nothing but the C++ library is needed.
//
//   standin-2 store STORE ITEMS
//     STORE: IP:PORT of the store. ITEMS: a file with one item a line, KEY and
//     its value. "PUT /KEY" with a body, and "DELETE /KEY", write as operators
//     and replicas do.
//   standin-2 replica ID=IP:PORT...
//     Replicas, each of a plain service or with one model, whose answers are
//     told by the path's query: "work=MS" in all; "events=N" makes it a stream
//     of so many events; "framing=none" an answer without a length, which ends
//     with its connection. Prints a line when a run begins and when it ends.
//   standin-2 clients SPEC FRONT,READY...
//     SPEC: RATE|FROM_MS|TO_MS|METHOD|PATH|DEADLINE_MS|ID_PREFIX[|HEADER...].
//     Asks each instance every second whether it is ready, as PROTOCOL.md's
//     ingress does, and sends each request over a connection of its own. Prints
//     a line for each request.
//
//   standin-2 now
//     Prints the time.
//
// Times are milliseconds of the steady clock, which all processes share.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace {

using clock_type = std::chrono::steady_clock;
using headers = std::map<std::string, std::string>;

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             clock_type::now().time_since_epoch())
      .count();
}

void sleep_ms(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void say(const std::string& line) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  std::fputs((line + "\n").c_str(), stdout);
  std::fflush(stdout);
}

std::vector<std::string> split(const std::string& text, char at) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  for (;;) {
    const auto end = text.find(at, from);
    parts.push_back(text.substr(from, end - from));
    if (end == std::string::npos) return parts;
    from = end + 1;
  }
}

sockaddr_in address_of(const std::string& text) {
  const auto parts = split(text, ':');
  sockaddr_in out{};
  out.sin_family = AF_INET;
  inet_pton(AF_INET, parts.at(0).c_str(), &out.sin_addr);
  out.sin_port = htons(static_cast<std::uint16_t>(std::stoi(parts.at(1))));
  return out;
}

/** A message's first line, its headers by their names in lower case, its body.
 */
struct message {
  std::string start;
  headers fields;
  std::string body;

  std::string field(const std::string& name) const {
    const auto found = fields.find(name);
    return found == fields.end() ? "" : found->second;
  }
};

enum class read_end { whole, closed, reset, late };

/** Reads messages from a connection, one after the other. */
class reader {
 public:
  explicit reader(int fd) : fd_(fd) {}

  /** `until`: 0 for no limit. `started`: whether any byte came. */
  read_end next(message& out, std::int64_t until, bool& started) {
    out = {};
    started = !unread_.empty();
    std::size_t head = 0;
    while ((head = unread_.find("\r\n\r\n")) == std::string::npos) {
      const auto end = more(until);
      if (end != read_end::whole) return end;
      started = true;
    }
    const auto lines = split(unread_.substr(0, head), '\n');
    out.start = lines.front().substr(0, lines.front().find('\r'));
    for (std::size_t i = 1; i < lines.size(); ++i) {
      const auto colon = lines[i].find(':');
      auto name = lines[i].substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      auto value = lines[i].substr(std::min(colon + 1, lines[i].size()));
      value.erase(0, value.find_first_not_of(' '));
      value.erase(value.find_last_not_of(" \r") + 1);
      out.fields[name] = value;
    }
    unread_.erase(0, head + 4);
    if (out.field("transfer-encoding") == "chunked") return chunks(out, until);
    const auto length = out.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    while (unread_.size() < size) {
      const auto end = more(until);
      if (end != read_end::whole) return end;
    }
    out.body = unread_.substr(0, size);
    unread_.erase(0, size);
    return read_end::whole;
  }

 private:
  /** What came before a cut is kept in the body. */
  read_end chunks(message& out, std::int64_t until) {
    for (;;) {
      std::size_t line = 0;
      while ((line = unread_.find("\r\n")) == std::string::npos) {
        const auto end = more(until);
        if (end != read_end::whole) return end;
      }
      const auto size = std::stoul(unread_.substr(0, line), nullptr, 16);
      unread_.erase(0, line + 2);
      while (unread_.size() < size + 2) {
        const auto end = more(until);
        if (end != read_end::whole) return end;
      }
      out.body += unread_.substr(0, size);
      unread_.erase(0, size + 2);
      if (size == 0) return read_end::whole;
    }
  }

  read_end more(std::int64_t until) {
    pollfd waits{fd_, POLLIN, 0};
    const auto left =
        until == 0 ? -1 : std::max<std::int64_t>(0, until - now_ms());
    if (poll(&waits, 1, static_cast<int>(left)) == 0) return read_end::late;
    char bytes[16384];
    const auto count = recv(fd_, bytes, sizeof bytes, 0);
    if (count == 0) return read_end::closed;
    if (count < 0) return read_end::reset;
    unread_.append(bytes, static_cast<std::size_t>(count));
    return read_end::whole;
  }

  int fd_;
  std::string unread_;
};

bool send_all(int fd, const std::string& text) {
  std::size_t at = 0;
  while (at < text.size()) {
    const auto count =
        send(fd, text.data() + at, text.size() - at, MSG_NOSIGNAL);
    if (count <= 0) return false;
    at += static_cast<std::size_t>(count);
  }
  return true;
}

std::string answer_text(int status, const std::string& more,
                        const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Answer\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

using serve = void (*)(int fd, const std::string& name);

void listen_at(const std::string& where, const std::string& name, serve how) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = address_of(where);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(fd, 512) != 0) {
    std::perror(where.c_str());
    std::exit(2);
  }
  std::thread([fd, name, how] {
    for (;;) {
      const int taken = accept(fd, nullptr, nullptr);
      if (taken < 0) continue;
      const int no_delay = 1;
      setsockopt(taken, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
      std::thread([taken, name, how] {
        how(taken, name);
        close(taken);
      }).detach();
    }
  }).detach();
}

// The store.

struct item {
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

std::mutex store_mutex;
std::condition_variable store_changed;
std::map<std::string, item> items;
std::int64_t revision = 1000;

std::string base64(const std::string& bytes) {
  static const char* signs =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t three = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte =
          i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0;
      three = three << 8U | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_padding = i + k > bytes.size();
      out += is_padding ? '=' : signs[three >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

std::string parameter(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return {};
  for (const auto& part : split(target.substr(query + 1), '&')) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return {};
}

std::string unescaped(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string text_of(const std::string& key, const item& one) {
  const auto start =
      "{\"tls_key\":\"" + key + "\",\"rev\":" + std::to_string(one.revision);
  if (!one.value) return start + ",\"gone\":true}";
  return start + ",\"value\":\"" + base64(*one.value) +
         "\",\"made\":" + std::to_string(one.revision) + ",\"lease\":0}";
}

std::string range_of(const std::string& target) {
  const auto prefix = unescaped(parameter(target, "prefix"));
  const auto after = unescaped(parameter(target, "after"));
  const std::lock_guard lock(store_mutex);
  std::string list;
  for (const auto& [key, one] : items) {
    if (!one.value || key.rfind(prefix, 0) != 0 || key <= after) continue;
    list += (list.empty() ? "" : ",") + text_of(key, one);
  }
  return "{\"items\":[" + list +
         "],\"more\":false,\"at\":" + std::to_string(revision) + "}";
}

std::string watch_of(const std::string& target) {
  const auto prefix = unescaped(parameter(target, "prefix"));
  const auto after = std::stoll("0" + parameter(target, "after"));
  const auto wait = std::stoll("0" + parameter(target, "wait_ms"));
  std::unique_lock lock(store_mutex);
  const auto events = [&] {
    std::string list;
    for (const auto& [key, one] : items) {
      if (one.revision <= after || key.rfind(prefix, 0) != 0) continue;
      list += (list.empty() ? "" : ",") + text_of(key, one);
    }
    return list;
  };
  store_changed.wait_for(lock, std::chrono::milliseconds(wait),
                         [&] { return !events().empty(); });
  return "{\"events\":[" + events() + "],\"at\":" + std::to_string(revision) +
         "}";
}

void serve_store(int fd, const std::string&) {
  reader from(fd);
  message m;
  bool started = false;
  while (from.next(m, 0, started) == read_end::whole) {
    const auto words = split(m.start, ' ');
    const auto& target = words.at(1);
    std::string body = "{}";
    if (target.rfind("/kv-range", 0) == 0) {
      body = range_of(target);
    } else if (target.rfind("/kv-watch", 0) == 0) {
      body = watch_of(target);
    } else {
      const std::lock_guard lock(store_mutex);
      const bool is_put = words.front() == "PUT";
      items[target.substr(1)] = {
          is_put ? std::optional<std::string>(m.body) : std::nullopt,
          ++revision};
      store_changed.notify_all();
    }
    if (!send_all(fd, answer_text(200, "", body))) return;
  }
}

int store(char** words) {
  std::ifstream file(words[3]);
  for (std::string line; std::getline(file, line);) {
    const auto space = line.find(' ');
    if (space == std::string::npos) continue;
    items[line.substr(0, space)] = {line.substr(space + 1), ++revision};
  }
  listen_at(words[2], "store", serve_store);
  say("listening");
  for (;;) pause();
}

// Replicas.

constexpr const char* kModel = "m0";

std::string event_of(const std::string& request, std::int64_t number) {
  return "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
}

std::string body_of(const std::string& request, std::int64_t events) {
  if (events == 0) return "answer to " + request;
  std::string all;
  for (std::int64_t i = 1; i <= events; ++i) all += event_of(request, i);
  return all;
}

/** Works on a request and answers it; returns whether all was written. */
bool run(int fd, const message& m, const std::string& id) {
  const auto request = m.field("x-request-id");
  const auto target = split(m.start, ' ').at(1);
  const auto work = std::stoll("0" + parameter(target, "work"));
  const auto events = std::stoll("0" + parameter(target, "events"));
  const auto last = std::stoll("0" + m.field("last-event-id"));
  const bool is_unframed = parameter(target, "framing") == "none";
  const auto own = "X-Request-Id: " + request + "\r\nX-Server-Stamp: " + id +
                   "." + request + "\r\n";
  if (events == 0) {
    sleep_ms(work);
    return send_all(fd, answer_text(200, own, body_of(request, 0)));
  }
  std::string head =
      "HTTP/1.1 200 OK\r\n" + own + "Content-Type: text/event-stream\r\n";
  head += is_unframed ? "Connection: close\r\n\r\n"
                      : "Transfer-Encoding: chunked\r\n\r\n";
  if (!send_all(fd, head)) return false;
  const auto began = now_ms();
  for (auto i = last + 1; i <= events; ++i) {
    sleep_ms(began + work * (i - last) / events - now_ms());
    const auto event = event_of(request, i);
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", event.size());
    if (!send_all(fd, is_unframed ? event : size + event + "\r\n")) {
      return false;
    }
  }
  return is_unframed || send_all(fd, "0\r\n\r\n");
}

void say_run(std::string_view what, std::string_view request,
             std::string_view id, std::string_view when) {
  std::string line(what);
  line.append(" ").append(request).append(" ").append(id).append(" ");
  line.append(when).append(" ").append(std::to_string(now_ms()));
  say(line);
}

void serve_replica(int fd, const std::string& id) {
  reader from(fd);
  message m;
  bool started = false;
  while (from.next(m, 0, started) == read_end::whole) {
    const auto request = m.field("x-request-id");
    const auto expected = m.field("x-expect-replica");
    const auto target = split(m.start, ' ').at(1);
    const auto named =
        request.empty() ? "" : "X-Request-Id: " + request + "\r\n";
    if (!expected.empty() && expected != id) {
      send_all(fd, answer_text(421, named + "X-Not-Executed: 1\r\n", ""));
      continue;
    }
    if (target == "/report") {
      const std::string body =
          std::string("{\"phase\":\"both\",\"models\":[{\"name\":\"") + kModel +
          "\",\"cfg_ver\":1,\"adapters\":[]}],\"busy\":false,\"seq\":0,"
          "\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":131025,"
          "\"handles\":0}";
      send_all(fd, answer_text(200, "", body));
      continue;
    }
    if (target == "/order") {
      // The model is there, and no request names an adapter of it.
      send_all(fd, answer_text(200, "", ""));
      continue;
    }
    say_run("run", request, id, "at");
    const bool is_whole = run(fd, m, id);
    say_run(is_whole ? "ran" : "ran_unread", request, id, "until");
    if (parameter(target, "framing") == "none") return;
  }
}

int replicas(int count, char** words) {
  for (int i = 2; i < count; ++i) {
    const auto parts = split(words[i], '=');
    listen_at(parts.at(1), parts.at(0), serve_replica);
  }
  say("listening");
  for (;;) pause();
}

// The entry and the clients.

struct node {
  std::string front;
  std::string ready;
  std::atomic<int> misses{0};
};

int connect_to(const std::string& where, std::int64_t until) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval wait{};
  const auto left = std::max<std::int64_t>(1, until - now_ms());
  wait.tv_sec = left / 1000;
  wait.tv_usec = left % 1000 * 1000;
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof wait);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const auto address = address_of(where);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address),
              sizeof address) == 0) {
    return fd;
  }
  close(fd);
  return -1;
}

bool is_ready(const std::string& where) {
  const auto until = now_ms() + 900;
  const int fd = connect_to(where, until);
  if (fd < 0) return false;
  send_all(fd, "GET /readyz HTTP/1.1\r\nHost: " + where +
                   "\r\nConnection: close\r\n\r\n");
  reader from(fd);
  message m;
  bool started = false;
  const bool is_answered = from.next(m, until, started) == read_end::whole;
  close(fd);
  return is_answered && m.start.find(" 200") != std::string::npos;
}

struct request_plan {
  std::string method;
  std::string path;
  std::int64_t deadline = 0;
  std::string more_headers;
};

/** Tells how far an answer got that was to have so many events. */
std::string told(const request_plan& plan, const std::string& id,
                 const std::string& body) {
  const auto events = std::stoll("0" + parameter(plan.path, "events"));
  if (body == body_of(id, events)) return " whole";
  std::int64_t count = 0;
  while (body.find("id: " + std::to_string(count + 1) + "\n") !=
         std::string::npos) {
    ++count;
  }
  return " not whole, " + std::to_string(count) + " events of " +
         std::to_string(events);
}

void send_request(const request_plan& plan, const std::string& id,
                  const std::string& front) {
  const auto began = now_ms();
  const auto until = began + plan.deadline;
  const int fd = connect_to(front, began + 1000);
  std::string result = "not connected";
  auto sent = began;
  if (fd >= 0) {
    const std::string body = plan.method == "GET" ? "" : "body of " + id;
    send_all(fd, plan.method + " " + plan.path +
                     " HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: " + id +
                     "\r\nX-Deadline-Ms: " + std::to_string(plan.deadline) +
                     plan.more_headers +
                     (body.empty() ? ""
                                   : "\r\nContent-Length: " +
                                         std::to_string(body.size())) +
                     "\r\n\r\n" + body);
    sent = now_ms();
    reader from(fd);
    message m;
    bool started = false;
    switch (from.next(m, until, started)) {
      case read_end::whole:
        result = "status " + split(m.start, ' ').at(1) + ", complete,";
        result += m.body.empty() ? " empty" : told(plan, id, m.body);
        break;
      case read_end::closed:
        result = started ? "closed within the answer" : "closed unanswered";
        break;
      case read_end::reset:
        result = started ? "reset within the answer" : "reset unanswered";
        break;
      case read_end::late:
        result = "deadline";
        break;
    }
    close(fd);
  }
  say("request " + id + " to " + front + " sent " + std::to_string(sent) +
      " ended " + std::to_string(now_ms()) + ": " + result);
}

int clients(int count, char** words) {
  const auto spec = split(words[2], '|');
  const auto rate = std::stod(spec.at(0));
  const auto from = std::stoll(spec.at(1));
  const auto to = std::stoll(spec.at(2));
  request_plan plan{spec.at(3), spec.at(4), std::stoll(spec.at(5)), ""};
  for (std::size_t i = 7; i < spec.size(); ++i) {
    plan.more_headers += "\r\n" + spec[i];
  }
  static std::vector<node> nodes(static_cast<std::size_t>(count - 3));
  for (int i = 3; i < count; ++i) {
    const auto parts = split(words[i], ',');
    auto& one = nodes[static_cast<std::size_t>(i - 3)];
    one.front = parts.at(0);
    one.ready = parts.at(1);
    std::thread([&one] {
      for (;;) {
        const auto next = now_ms() + 1000;
        one.misses = is_ready(one.ready) ? 0 : one.misses + 1;
        sleep_ms(next - now_ms());
      }
    }).detach();
  }
  const auto start = now_ms();
  std::vector<std::thread> all;
  sleep_ms(from);
  const auto gap = 1000.0 / rate;
  for (int i = 0; from + i * gap < static_cast<double>(to); ++i) {
    sleep_ms(start + from + static_cast<std::int64_t>(i * gap) - now_ms());
    std::vector<const node*> in;
    for (const auto& one : nodes) {
      if (one.misses < 2) in.push_back(&one);
    }
    // Fewer than half are in: all of the zone are used.
    const bool uses_all = in.size() * 2 < nodes.size();
    if (uses_all) {
      in.clear();
      for (const auto& one : nodes) in.push_back(&one);
    }
    const auto id = spec.at(6) + std::to_string(i);
    const auto front = in[std::hash<std::string>()(id) % in.size()]->front;
    all.emplace_back([plan, id, front] { send_request(plan, id, front); });
  }
  for (auto& one : all) one.join();
  return 0;
}

}  // namespace

int main(int count, char** words) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::string role = count > 1 ? words[1] : "";
  if (role == "now") {
    say(std::to_string(now_ms()));
    return 0;
  }
  if (role == "store" && count == 4) return store(words);
  if (role == "replica" && count > 2) return replicas(count, words);
  if (role == "clients" && count > 3) return clients(count, words);
  std::fputs("usage: standin-2 store|replica|clients ...\n", stderr);
  return 2;
}
