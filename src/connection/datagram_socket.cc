// seamglade - datagrams between instances
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "connection/datagram_socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>

#include "connection/listening.h"

namespace seamglade::detail {
namespace {

constexpr std::size_t kLargestDatagram = 65536;
/** Datagrams taken in one turn of the loop. */
constexpr int kBatch = 64;

}  // namespace

result<gateway::member_address> parse_member(const std::string& host) {
  in_addr number{};
  if (inet_pton(AF_INET, host.c_str(), &number) != 1) {
    return failure{errc::bad_address, host, 0};
  }
  return ntohl(number.s_addr);
}

std::string to_text(gateway::member_address member) {
  const in_addr number{htonl(member)};
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &number, text, sizeof(text));
  return text;
}

datagram_socket::datagram_socket(event_base* base, receiver on)
    : base_(base), on_(std::move(on)) {}

datagram_socket::~datagram_socket() { close(); }

void datagram_socket::close() {
  readable_.reset();
  if (fd_ >= 0) evutil_closesocket(fd_);
  fd_ = -1;
}

result<void> datagram_socket::bind(const endpoint& where) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) return listen_failure(where, errno);
  const auto address = to_socket_address(where);
  if (::bind(fd_, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0) {
    const int error = errno;
    close();
    return listen_failure(where, error);
  }
  port_ = where.port;
  const auto ready = [](evutil_socket_t, short, void* self) {
    static_cast<datagram_socket*>(self)->receive();
  };
  readable_.reset(event_new(base_, fd_, EV_READ | EV_PERSIST, ready, this));
  event_add(readable_.get(), nullptr);
  return outcome::success();
}

void datagram_socket::send(gateway::member_address to, std::string_view bytes) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port_);
  address.sin_addr.s_addr = htonl(to);
  sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

void datagram_socket::receive() {
  alignas(std::max_align_t) static std::array<char, kLargestDatagram> buffer;
  for (int i = 0; i < kBatch; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof(from);
    const auto got = recvfrom(fd_, buffer.data(), buffer.size(), 0,
                              reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) return;
    on_(ntohl(from.sin_addr.s_addr),
        std::string_view(buffer.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace seamglade::detail
