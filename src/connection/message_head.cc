// seamglade - heads of HTTP/1.1 messages, which nothing in them can break
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/message_head.h"

#include <algorithm>

namespace seamglade {
namespace {

bool is_token_char(char c) {
  constexpr std::string_view kSigns = "!#$%&'*+-.^_`|~";
  const bool is_alnum = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                        (c >= 'A' && c <= 'Z');
  return is_alnum || kSigns.find(c) != std::string_view::npos;
}

bool is_blank(char c) { return c == ' ' || c == '\t'; }

bool is_control(char c) {
  constexpr char kDelete = 0x7f;
  return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == kDelete;
}

bool has_control(std::string_view text) {
  return std::any_of(text.begin(), text.end(), is_control);
}

}  // namespace

bool is_token(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), is_token_char);
}

bool is_field_value(std::string_view text) {
  if (text.empty()) return true;
  return !is_blank(text.front()) && !is_blank(text.back()) &&
         !has_control(text);
}

bool is_target_text(std::string_view text) {
  return !text.empty() && !has_control(text) &&
         std::none_of(text.begin(), text.end(), is_blank);
}

bool is_writable(const http_header& field) {
  return is_token(field.name) && is_field_value(field.value);
}

head_writer::head_writer(std::string_view method, std::string_view target) {
  need(is_token(method), head_fault::method);
  need(is_target_text(target), head_fault::target);
  text_.append(method).append(" ").append(target).append(" HTTP/1.1\r\n");
}

head_writer::head_writer(int status, std::string_view reason) {
  need(!has_control(reason), head_fault::reason);
  text_.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text_.append(reason).append("\r\n");
}

head_writer& head_writer::field(std::string_view name, std::string_view value) {
  need(is_token(name), head_fault::field_name);
  need(is_field_value(value), head_fault::field_value);
  text_.append(name).append(": ").append(value).append("\r\n");
  return *this;
}

head_writer& head_writer::field(std::string_view name, std::uint64_t value) {
  return field(name, std::to_string(value));
}

head_writer& head_writer::fields(const std::vector<http_header>& all) {
  for (const auto& header : all) field(header.name, header.value);
  return *this;
}

head_text head_writer::finish() {
  if (fault_) return *fault_;
  text_ += "\r\n";
  return std::move(text_);
}

void head_writer::need(bool is_met, head_fault part) {
  if (!is_met && !fault_) fault_ = part;
}

}  // namespace seamglade
