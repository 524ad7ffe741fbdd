// seamglade - encoding and decoding of frames
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include "seamglade/wire.h"

#include <endian.h>

#include <cstring>

#include "wire_generated.h"

namespace seamglade {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;

constexpr std::uint32_t kMaxHeader = 1 << 20;

using field_list = Offset<Vector<Offset<wire::Field>>>;

wire::Id to_wire(const request_id& id) { return {id.origin, id.sequence}; }

wire::Stamp to_wire(const document_stamp& stamp) {
  return {stamp.version, stamp.index, stamp.digest};
}

field_list to_wire(FlatBufferBuilder& b, const std::vector<http_header>& list) {
  std::vector<Offset<wire::Field>> fields;
  fields.reserve(list.size());
  for (const auto& header : list) {
    const auto name = b.CreateString(header.name);
    const auto value = b.CreateString(header.value);
    fields.push_back(wire::CreateField(b, name, value));
  }
  return b.CreateVector(fields);
}

/** Builds the header of a message and keeps its payload aside. */
class encoder {
 public:
  Offset<void> operator()(const submit& m) {
    payload = m.spec.body;
    const auto id = to_wire(m.id);
    const auto& spec = m.spec;
    const auto target = b.CreateString(m.target);
    const auto service = b.CreateString(spec.service);
    const auto adapter =
        b.CreateString(spec.adapter ? spec.adapter->str() : std::string());
    const auto method = b.CreateString(spec.method);
    const auto path = b.CreateString(spec.path);
    const auto headers = to_wire(b, spec.headers);
    const auto caller = b.CreateString(spec.caller);
    const auto key = b.CreateString(spec.idempotency_key);
    return finish(wire::Body::Submit,
                  wire::CreateSubmit(
                      b, &id, target, service, adapter, method, path, headers,
                      spec.repeatable, spec.priority == urgency::deferred,
                      m.start_within.count(), caller, key, payload != nullptr));
  }
  Offset<void> operator()(const part& m) {
    payload = m.piece.data;
    const auto id = to_wire(m.id);
    const auto headers =
        m.piece.headers.empty() ? field_list() : to_wire(b, m.piece.headers);
    return finish(wire::Body::Part,
                  wire::CreatePart(b, &id, m.piece.sequence, m.piece.status,
                                   headers, m.piece.last, payload != nullptr));
  }
  Offset<void> operator()(const refuse& m) {
    const auto id = to_wire(m.id);
    return finish(
        wire::Body::Refuse,
        wire::CreateRefuse(b, &id, static_cast<std::uint8_t>(m.why.outcome),
                           static_cast<std::uint8_t>(m.why.reason),
                           m.why.retry_after.count()));
  }
  Offset<void> operator()(const cancel& m) {
    const auto id = to_wire(m.id);
    return finish(wire::Body::Cancel, wire::CreateCancel(b, &id));
  }
  Offset<void> operator()(const query& m) {
    const auto id = to_wire(m.id);
    return finish(wire::Body::Query,
                  wire::CreateQuery(b, &id, m.incarnation, m.next_sequence,
                                    m.age.count()));
  }
  Offset<void> operator()(const acknowledge& m) {
    const auto id = to_wire(m.id);
    return finish(wire::Body::Acknowledge, wire::CreateAcknowledge(b, &id));
  }
  Offset<void> operator()(const heartbeat& m) {
    std::vector<wire::Fact> facts;
    facts.reserve(m.facts.size());
    for (const auto& f : m.facts) {
      facts.emplace_back(f.subject, f.stamp, f.target, f.value);
    }
    return finish(
        wire::Body::Heartbeat,
        wire::CreateHeartbeat(b, m.incarnation, m.draining, m.settings_digest,
                              b.CreateVectorOfStructs(facts)));
  }
  Offset<void> operator()(const settings_have& m) {
    std::vector<Offset<wire::Edition>> editions;
    for (const auto& document : m.documents) {
      const auto stamp = to_wire(document.stamp);
      const auto name = b.CreateString(document.name);
      editions.push_back(wire::CreateEdition(b, name, &stamp));
    }
    return finish(wire::Body::SettingsHave,
                  wire::CreateSettingsHave(b, b.CreateVector(editions),
                                           m.answer, m.settled));
  }
  Offset<void> operator()(const settings_push& m) {
    payload = m.text;
    const auto stamp = to_wire(m.stamp);
    const auto name = b.CreateString(m.name);
    return finish(wire::Body::SettingsPush,
                  wire::CreateSettingsPush(b, name, &stamp));
  }
  Offset<void> operator()(const permit_request& m) {
    const auto store = b.CreateString(m.store);
    return finish(wire::Body::PermitRequest,
                  wire::CreatePermitRequest(b, store, m.urgent, m.deferred,
                                            m.in_use, m.oldest_wait.count()));
  }
  Offset<void> operator()(const permit_grant& m) {
    const auto store = b.CreateString(m.store);
    return finish(
        wire::Body::PermitGrant,
        wire::CreatePermitGrant(b, store, m.count, m.expires_in.count()));
  }
  Offset<void> operator()(const handover& m) {
    const auto target = b.CreateString(m.target);
    const auto holder = b.CreateString(m.last.holder);
    const auto in_use = b.CreateVectorOfStrings(m.in_use);
    return finish(wire::Body::Handover,
                  wire::CreateHandover(b, target, m.last.config, m.last.count,
                                       holder, in_use));
  }
  Offset<void> operator()(const handover_done& m) {
    const auto target = b.CreateString(m.target);
    const auto holder = b.CreateString(m.last.holder);
    return finish(wire::Body::HandoverDone,
                  wire::CreateHandoverDone(b, target, m.last.config,
                                           m.last.count, holder));
  }
  Offset<void> operator()(const hello& m) {
    const auto name = b.CreateString(m.instance);
    return finish(wire::Body::Hello,
                  wire::CreateHello(b, m.protocol, name, m.incarnation));
  }

  FlatBufferBuilder b{256};
  std::shared_ptr<const std::string> payload;
  wire::Body kind = wire::Body::NONE;

 private:
  template <typename Table>
  Offset<void> finish(wire::Body which, Offset<Table> table) {
    kind = which;
    return table.Union();
  }
};

encoded_frame seal(encoder& e, Offset<void> body) {
  e.b.Finish(wire::CreateHeader(e.b, e.kind, body));
  const std::uint32_t lengths[2] = {
      htole32(e.b.GetSize()),
      htole32(e.payload ? static_cast<std::uint32_t>(e.payload->size()) : 0)};
  encoded_frame out;
  out.head.reserve(kFramePrefix + e.b.GetSize());
  out.head.append(reinterpret_cast<const char*>(lengths), kFramePrefix);
  out.head.append(reinterpret_cast<const char*>(e.b.GetBufferPointer()),
                  e.b.GetSize());
  out.payload = std::move(e.payload);
  return out;
}

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

request_id from_wire(const wire::Id* id) {
  return id == nullptr ? request_id{}
                       : request_id{id->origin(), id->sequence()};
}

document_stamp from_wire(const wire::Stamp* s) {
  return s == nullptr ? document_stamp{}
                      : document_stamp{s->version(), s->index(), s->digest()};
}

std::vector<http_header> from_wire(const Vector<Offset<wire::Field>>* fields) {
  std::vector<http_header> headers;
  if (fields == nullptr) return headers;
  headers.reserve(fields->size());
  for (const auto* field : *fields) {
    headers.push_back({text_of(field->name()), text_of(field->value())});
  }
  return headers;
}

failure bad_frame(const char* what) { return {errc::bad_frame, what, 0}; }

using payload_ptr = std::shared_ptr<const std::string>;

result<frame> read(const wire::Submit& m, payload_ptr payload) {
  submit out;
  out.id = from_wire(m.id());
  out.target = text_of(m.target());
  auto& spec = out.spec;
  spec.service = text_of(m.service());
  if (const auto name = text_of(m.adapter()); !name.empty()) {
    auto adapter = parse_adapter_ref(name);
    if (!adapter) return bad_frame("submit with a bad adapter");
    spec.adapter = std::move(adapter.value());
  }
  spec.method = text_of(m.method());
  spec.path = text_of(m.path());
  spec.headers = from_wire(m.headers());
  if (m.has_body()) spec.body = std::move(payload);
  spec.repeatable = m.repeatable();
  spec.priority = m.deferred() ? urgency::deferred : urgency::urgent;
  out.start_within = duration(m.start_within_us());
  spec.caller = text_of(m.caller());
  spec.idempotency_key = text_of(m.key());
  return frame(message(std::move(out)));
}

result<frame> read(const wire::Part& m, payload_ptr payload) {
  part out{
      from_wire(m.id()),
      {m.sequence(), m.status(), from_wire(m.headers()), nullptr, m.last()}};
  if (m.has_data()) out.piece.data = std::move(payload);
  return frame(message(std::move(out)));
}

result<frame> read(const wire::Refuse& m) {
  if (m.outcome() > static_cast<std::uint8_t>(outcome_kind::unknown) ||
      m.reason() > static_cast<std::uint8_t>(refusal_reason::cancelled)) {
    return bad_frame("refuse with an unknown reason");
  }
  return frame(message(refuse{from_wire(m.id()),
                              {static_cast<outcome_kind>(m.outcome()),
                               static_cast<refusal_reason>(m.reason()),
                               duration(m.retry_after_us())}}));
}

result<frame> read(const wire::Heartbeat& m) {
  heartbeat out{m.incarnation(), m.draining(), m.settings_digest(), {}};
  if (m.facts() != nullptr) {
    out.facts.reserve(m.facts()->size());
    for (const auto* f : *m.facts()) {
      out.facts.push_back({f->target(), f->subject(), f->stamp(), f->value()});
    }
  }
  return frame(message(std::move(out)));
}

result<frame> read(const wire::SettingsHave& m) {
  settings_have out;
  out.answer = m.answer();
  out.settled = m.settled();
  if (m.documents() != nullptr) {
    for (const auto* edition : *m.documents()) {
      out.documents.push_back(
          {text_of(edition->name()), from_wire(edition->stamp())});
    }
  }
  return frame(message(std::move(out)));
}

result<frame> read(const wire::Handover& m) {
  handover out;
  out.target = text_of(m.target());
  out.last = {m.config(), m.count(), text_of(m.holder())};
  if (m.in_use() != nullptr) {
    for (const auto* name : *m.in_use()) out.in_use.push_back(text_of(name));
  }
  return frame(message(std::move(out)));
}

}  // namespace

encoded_frame encode(const hello& first) {
  encoder e;
  const auto body = e(first);
  return seal(e, body);
}

encoded_frame encode(const message& body) {
  encoder e;
  const auto offset = std::visit(e, body);
  return seal(e, offset);
}

result<frame_lengths> decode_prefix(std::string_view prefix) {
  if (prefix.size() < kFramePrefix) return bad_frame("short prefix");
  std::uint32_t lengths[2];
  std::memcpy(lengths, prefix.data(), kFramePrefix);
  const frame_lengths out{le32toh(lengths[0]), le32toh(lengths[1])};
  if (out.header == 0) return bad_frame("empty header");
  if (out.header > kMaxHeader ||
      out.payload > kMaxFrame - kFramePrefix - out.header) {
    return failure{errc::frame_too_large, "frame above the size limit", 0};
  }
  return out;
}

result<frame> decode(std::string_view header, payload_ptr payload) {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(header.data());
  flatbuffers::Verifier verifier(bytes, header.size());
  if (!wire::VerifyHeaderBuffer(verifier)) return bad_frame("not a header");
  const auto* h = wire::GetHeader(bytes);
  if (h->body() == nullptr) return bad_frame("header without a body");
  switch (h->body_type()) {
    case wire::Body::Hello: {
      const auto* m = h->body_as_Hello();
      return frame(
          hello{m->protocol(), text_of(m->instance()), m->incarnation()});
    }
    case wire::Body::Submit:
      return read(*h->body_as_Submit(), std::move(payload));
    case wire::Body::Part:
      return read(*h->body_as_Part(), std::move(payload));
    case wire::Body::Refuse:
      return read(*h->body_as_Refuse());
    case wire::Body::Cancel:
      return frame(message(cancel{from_wire(h->body_as_Cancel()->id())}));
    case wire::Body::Query: {
      const auto* m = h->body_as_Query();
      return frame(message(query{from_wire(m->id()), m->incarnation(),
                                 m->next_sequence(), duration(m->age_us())}));
    }
    case wire::Body::Acknowledge:
      return frame(
          message(acknowledge{from_wire(h->body_as_Acknowledge()->id())}));
    case wire::Body::Heartbeat:
      return read(*h->body_as_Heartbeat());
    case wire::Body::SettingsHave:
      return read(*h->body_as_SettingsHave());
    case wire::Body::SettingsPush: {
      const auto* m = h->body_as_SettingsPush();
      if (payload == nullptr) return bad_frame("push without a text");
      return frame(message(settings_push{
          text_of(m->name()), from_wire(m->stamp()), std::move(payload)}));
    }
    case wire::Body::PermitRequest: {
      const auto* m = h->body_as_PermitRequest();
      return frame(message(permit_request{text_of(m->store()), m->urgent(),
                                          m->deferred(), m->in_use(),
                                          duration(m->oldest_wait_us())}));
    }
    case wire::Body::PermitGrant: {
      const auto* m = h->body_as_PermitGrant();
      return frame(message(permit_grant{text_of(m->store()), m->count(),
                                        duration(m->expires_in_us())}));
    }
    case wire::Body::Handover:
      return read(*h->body_as_Handover());
    case wire::Body::HandoverDone: {
      const auto* m = h->body_as_HandoverDone();
      return frame(message(
          handover_done{text_of(m->target()),
                        {m->config(), m->count(), text_of(m->holder())}}));
    }
    case wire::Body::NONE:
      break;
  }
  return bad_frame("header of an unknown kind");
}

}  // namespace seamglade
