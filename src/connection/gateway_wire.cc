// seamglade - FlatBuffers of what instances of the direct path tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>

#include "gateway_wire_generated.h"
#include "seamglade/gateway_peers.h"

namespace seamglade::gateway {
namespace {

namespace fb = flatbuffers;

failure bad_frame(const char* what) {
  return failure{errc::bad_frame, what, 0};
}

std::string finished(const fb::FlatBufferBuilder& builder) {
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()),
          builder.GetSize()};
}

std::string text(const fb::String* from) {
  return from == nullptr ? std::string() : from->str();
}

frames::TargetWork write(const target_work& from) {
  return {from.running, from.reading, from.reading_urgent};
}

target_work read(const frames::TargetWork& from) {
  return {from.running(), from.reading(), from.reading_urgent()};
}

std::vector<frames::TargetLoad> write(const std::vector<target_load>& from) {
  std::vector<frames::TargetLoad> out;
  for (const auto& l : from) out.emplace_back(l.target, write(l.work));
  return out;
}

std::vector<frames::MemberRow> write(const std::vector<member_row>& from) {
  std::vector<frames::MemberRow> out;
  for (const auto& r : from) {
    out.emplace_back(r.address, r.domain, r.incarnation, r.beat, r.leaving,
                     static_cast<std::uint8_t>(r.standing));
  }
  return out;
}

fb::Offset<frames::Heartbeat> write(fb::FlatBufferBuilder& b,
                                    const heartbeat& from) {
  const auto rows = write(from.rows);
  std::vector<frames::TargetClaim> claims;
  for (const auto& c : from.claims)
    claims.emplace_back(c.target, c.fence, c.holder);
  const auto loads = write(from.loads);
  return frames::CreateHeartbeatDirect(
      b, &rows, from.members, from.store_revision, from.store_age.count(),
      from.copy_age.count(), from.watching, &claims, &loads);
}

fb::Offset<frames::Interest> write(fb::FlatBufferBuilder& b,
                                   const interest_message& from) {
  std::vector<fb::Offset<frames::AdapterInterest>> rows;
  for (const auto& r : from.rows) {
    rows.push_back(frames::CreateAdapterInterestDirect(
        b, r.name.model.c_str(), r.name.adapter.c_str(), r.version, r.waiting,
        r.running, r.rank, r.waited.count(), r.slack.count()));
  }
  const auto work = write(from.work);
  return frames::CreateInterestDirect(b, from.target, &rows, &work);
}

fb::Offset<frames::Residency> write(fb::FlatBufferBuilder& b,
                                    const residency_message& from) {
  std::vector<fb::Offset<frames::AdapterPlace>> places;
  for (const auto& p : from.places) {
    places.push_back(frames::CreateAdapterPlaceDirect(
        b, p.what.name.model.c_str(), p.what.name.adapter.c_str(),
        p.what.version, p.ready, p.running));
  }
  const auto work = write(from.work);
  return frames::CreateResidencyDirect(b, from.target, from.fence, from.edition,
                                       &work, from.load_time.count(), &places);
}

fb::Offset<frames::StoreItem> write(fb::FlatBufferBuilder& b,
                                    const store_item& item) {
  const std::string_view value =
      item.value ? std::string_view(*item.value) : std::string_view();
  const auto key = b.CreateString(item.key);
  const auto bytes = b.CreateVector(
      reinterpret_cast<const std::uint8_t*>(value.data()), value.size());
  return frames::CreateStoreItem(b, key, item.revision, bytes,
                                 !item.value.has_value());
}

fb::Offset<frames::News> write(fb::FlatBufferBuilder& b,
                               const news_message& from) {
  std::vector<fb::Offset<frames::StoreItem>> items;
  for (const auto& item : from.items) items.push_back(write(b, item));
  return frames::CreateNewsDirect(b, &items);
}

fb::Offset<frames::Loads> write(fb::FlatBufferBuilder& b,
                                const loads_message& from) {
  const auto loads = write(from.loads);
  return frames::CreateLoadsDirect(b, &loads);
}

fb::Offset<frames::ProbeRequest> write(fb::FlatBufferBuilder& b,
                                       const probe_request& from) {
  return frames::CreateProbeRequest(b, from.origin, from.subject);
}

fb::Offset<frames::ProbeAnswer> write(fb::FlatBufferBuilder& b,
                                      const probe_answer& from) {
  const auto rows = write(from.rows);
  return frames::CreateProbeAnswerDirect(b, from.origin, &rows);
}

fb::Offset<frames::ConfirmationRequest> write(
    fb::FlatBufferBuilder& b, const confirmation_request& from) {
  return frames::CreateConfirmationRequest(b, from.asked.count());
}

fb::Offset<frames::ConfirmationAnswer> write(fb::FlatBufferBuilder& b,
                                             const confirmation_answer& from) {
  return frames::CreateConfirmationAnswer(b, from.asked.count(),
                                          from.age.count(), from.configuration);
}

fb::Offset<frames::QuotaRequest> write(fb::FlatBufferBuilder& b,
                                       const quota_request& from) {
  return frames::CreateQuotaRequest(b, from.request, from.workspace,
                                    from.amount);
}

fb::Offset<frames::QuotaAnswer> write(fb::FlatBufferBuilder& b,
                                      const quota_answer& from) {
  return frames::CreateQuotaAnswer(b, from.request, from.workspace,
                                   static_cast<std::uint8_t>(from.verdict),
                                   from.empty_for.count());
}

fb::Offset<frames::AdmissionRequest> write(fb::FlatBufferBuilder& b,
                                           const admission_request& from) {
  return frames::CreateAdmissionRequest(b, from.request, from.target,
                                        from.slack.count(), from.rank,
                                        from.held_for.count());
}

fb::Offset<frames::AdmissionAnswer> write(fb::FlatBufferBuilder& b,
                                          const admission_answer& from) {
  return frames::CreateAdmissionAnswer(b, from.request, from.target,
                                       from.is_granted, from.expected.count(),
                                       from.full_for.count());
}

fb::Offset<frames::AdmissionEnd> write(fb::FlatBufferBuilder& b,
                                       const admission_end& from) {
  return frames::CreateAdmissionEnd(b, from.request, from.target,
                                    static_cast<std::uint8_t>(from.outcome),
                                    from.took.count());
}

fb::Offset<frames::ColdRequest> write(fb::FlatBufferBuilder& b,
                                      const cold_request& from) {
  return frames::CreateColdRequest(b, from.request, from.target);
}

fb::Offset<frames::ColdAnswer> write(fb::FlatBufferBuilder& b,
                                     const cold_answer& from) {
  return frames::CreateColdAnswer(b, from.request, from.target, from.is_granted,
                                  from.spent_for.count());
}

template <typename Rows, typename Read>
void each(const Rows* rows, Read read) {
  if (rows == nullptr) return;
  for (const auto* row : *rows) read(*row);
}

member_row read(const frames::MemberRow& from) {
  // What a later release may call worse than gone is no less than that.
  const auto worst = static_cast<std::uint8_t>(member_standing::gone);
  const auto standing =
      static_cast<member_standing>(std::min(from.standing(), worst));
  return {from.address(), from.domain(),  from.incarnation(),
          from.beat(),    from.leaving(), standing};
}

peer_message read(const frames::Heartbeat& from) {
  heartbeat out;
  each(from.rows(),
       [&](const frames::MemberRow& r) { out.rows.push_back(read(r)); });
  out.members = from.members();
  out.store_revision = from.store_revision();
  out.store_age = duration(from.store_age_us());
  out.copy_age = duration(from.copy_age_us());
  out.watching = from.watching();
  each(from.claims(), [&](const frames::TargetClaim& c) {
    out.claims.push_back({c.target(), c.fence(), c.holder()});
  });
  each(from.loads(), [&](const frames::TargetLoad& l) {
    out.loads.push_back({l.target(), read(l.work())});
  });
  return out;
}

peer_message read(const frames::Loads& from) {
  loads_message out;
  each(from.loads(), [&](const frames::TargetLoad& l) {
    out.loads.push_back({l.target(), read(l.work())});
  });
  return out;
}

peer_message read(const frames::Interest& from) {
  interest_message out;
  out.target = from.target();
  each(from.rows(), [&](const frames::AdapterInterest& r) {
    out.rows.push_back({{text(r.model()), text(r.adapter())},
                        r.version(),
                        r.waiting(),
                        r.running(),
                        r.rank(),
                        duration(r.waited_us()),
                        duration(r.slack_us())});
  });
  if (const auto* work = from.work()) out.work = read(*work);
  return out;
}

peer_message read(const frames::Residency& from) {
  residency_message out;
  out.target = from.target();
  out.fence = from.fence();
  out.edition = from.edition();
  out.load_time = duration(from.load_time_us());
  if (const auto* work = from.work()) out.work = read(*work);
  each(from.places(), [&](const frames::AdapterPlace& p) {
    out.places.push_back({{{text(p.model()), text(p.adapter())}, p.version()},
                          p.ready(),
                          p.running()});
  });
  return out;
}

store_item read(const frames::StoreItem& from) {
  store_item out{text(from.key()), from.revision(), std::nullopt};
  if (from.deleted()) return out;
  out.value.emplace();
  if (const auto* value = from.value()) {
    out.value->assign(reinterpret_cast<const char*>(value->data()),
                      value->size());
  }
  return out;
}

peer_message read(const frames::News& from) {
  news_message out;
  each(from.items(),
       [&](const frames::StoreItem& item) { out.items.push_back(read(item)); });
  return out;
}

peer_message read(const frames::ProbeRequest& from) {
  return probe_request{from.origin(), from.subject()};
}

peer_message read(const frames::ProbeAnswer& from) {
  probe_answer out;
  out.origin = from.origin();
  each(from.rows(),
       [&](const frames::MemberRow& r) { out.rows.push_back(read(r)); });
  return out;
}

peer_message read(const frames::ConfirmationRequest& from) {
  return confirmation_request{duration(from.asked_us())};
}

peer_message read(const frames::ConfirmationAnswer& from) {
  return confirmation_answer{duration(from.asked_us()), duration(from.age_us()),
                             from.configuration()};
}

peer_message read(const frames::QuotaRequest& from) {
  return quota_request{from.request(), from.workspace(), from.amount()};
}

peer_message read(const frames::QuotaAnswer& from) {
  // What a later release may add grants nothing here.
  const auto last = static_cast<std::uint8_t>(quota_verdict::not_mine);
  return quota_answer{
      from.request(), from.workspace(),
      static_cast<quota_verdict>(std::min(from.verdict(), last)),
      duration(from.empty_for_us())};
}

peer_message read(const frames::AdmissionRequest& from) {
  return admission_request{from.request(), from.target(),
                           duration(from.slack_us()), from.rank(),
                           duration(from.held_for_us())};
}

peer_message read(const frames::AdmissionAnswer& from) {
  return admission_answer{from.request(), from.target(), from.is_granted(),
                          duration(from.expected_us()),
                          duration(from.full_for_us())};
}

peer_message read(const frames::AdmissionEnd& from) {
  const auto last = static_cast<std::uint8_t>(admission_outcome::other);
  return admission_end{
      from.request(), from.target(),
      static_cast<admission_outcome>(std::min(from.outcome(), last)),
      duration(from.took_us())};
}

peer_message read(const frames::ColdRequest& from) {
  return cold_request{from.request(), from.target()};
}

peer_message read(const frames::ColdAnswer& from) {
  return cold_answer{from.request(), from.target(), from.is_granted(),
                     duration(from.spent_for_us())};
}

frames::Body kind_of(const heartbeat&) { return frames::Body::Heartbeat; }
frames::Body kind_of(const interest_message&) { return frames::Body::Interest; }
frames::Body kind_of(const residency_message&) {
  return frames::Body::Residency;
}
frames::Body kind_of(const news_message&) { return frames::Body::News; }
frames::Body kind_of(const loads_message&) { return frames::Body::Loads; }
frames::Body kind_of(const probe_request&) {
  return frames::Body::ProbeRequest;
}
frames::Body kind_of(const probe_answer&) { return frames::Body::ProbeAnswer; }
frames::Body kind_of(const confirmation_request&) {
  return frames::Body::ConfirmationRequest;
}
frames::Body kind_of(const confirmation_answer&) {
  return frames::Body::ConfirmationAnswer;
}
frames::Body kind_of(const quota_request&) {
  return frames::Body::QuotaRequest;
}
frames::Body kind_of(const quota_answer&) { return frames::Body::QuotaAnswer; }
frames::Body kind_of(const admission_request&) {
  return frames::Body::AdmissionRequest;
}
frames::Body kind_of(const admission_answer&) {
  return frames::Body::AdmissionAnswer;
}
frames::Body kind_of(const admission_end&) {
  return frames::Body::AdmissionEnd;
}
frames::Body kind_of(const cold_request&) { return frames::Body::ColdRequest; }
frames::Body kind_of(const cold_answer&) { return frames::Body::ColdAnswer; }

}  // namespace

std::string encode_peer_message(const peer_message& message) {
  fb::FlatBufferBuilder b;
  std::visit(
      [&](const auto& m) {
        const auto body = write(b, m).Union();
        b.Finish(frames::CreatePeerFrame(b, kind_of(m), body));
      },
      message);
  return finished(b);
}

result<peer_message> decode_peer_message(std::string_view bytes) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                        bytes.size());
  if (!frames::VerifyPeerFrameBuffer(verifier)) return bad_frame("datagram");
  const auto* frame = frames::GetPeerFrame(bytes.data());
  if (const auto* beat = frame->body_as_Heartbeat()) return read(*beat);
  if (const auto* interest = frame->body_as_Interest()) return read(*interest);
  if (const auto* places = frame->body_as_Residency()) return read(*places);
  if (const auto* news = frame->body_as_News()) return read(*news);
  if (const auto* loads = frame->body_as_Loads()) return read(*loads);
  if (const auto* probe = frame->body_as_ProbeRequest()) return read(*probe);
  if (const auto* answer = frame->body_as_ProbeAnswer()) return read(*answer);
  if (const auto* ask = frame->body_as_ConfirmationRequest()) return read(*ask);
  if (const auto* word = frame->body_as_ConfirmationAnswer()) {
    return read(*word);
  }
  if (const auto* ask = frame->body_as_QuotaRequest()) return read(*ask);
  if (const auto* word = frame->body_as_QuotaAnswer()) return read(*word);
  if (const auto* ask = frame->body_as_AdmissionRequest()) return read(*ask);
  if (const auto* word = frame->body_as_AdmissionAnswer()) return read(*word);
  if (const auto* end = frame->body_as_AdmissionEnd()) return read(*end);
  if (const auto* ask = frame->body_as_ColdRequest()) return read(*ask);
  if (const auto* word = frame->body_as_ColdAnswer()) return read(*word);
  return bad_frame("datagram of an unknown kind");
}

std::string encode_store_changes(const store_changes& changes) {
  fb::FlatBufferBuilder b;
  std::vector<fb::Offset<frames::StoreItem>> items;
  for (const auto& item : changes.items) items.push_back(write(b, item));
  const auto list = b.CreateVector(items);
  b.Finish(
      frames::CreateStoreChanges(b, changes.revision, changes.whole, list));
  return finished(b);
}

result<store_changes> decode_store_changes(std::string_view bytes) {
  fb::Verifier verifier(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                        bytes.size());
  if (!verifier.VerifyBuffer<frames::StoreChanges>(nullptr)) {
    return bad_frame("store changes");
  }
  const auto* from = fb::GetRoot<frames::StoreChanges>(bytes.data());
  store_changes out;
  out.revision = from->revision();
  out.whole = from->whole();
  each(from->items(),
       [&](const frames::StoreItem& item) { out.items.push_back(read(item)); });
  return out;
}

}  // namespace seamglade::gateway
