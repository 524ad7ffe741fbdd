// seamglade - FlatBuffers of what instances of the direct path tell each other
//
// Copyright (c) 2026 seamglade contributors
// SPDX-License-Identifier: MIT

#include <algorithm>
#include <limits>
#include <utility>

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

std::vector<frames::TargetClaim> write(const std::vector<target_claim>& from) {
  std::vector<frames::TargetClaim> out;
  for (const auto& c : from) out.emplace_back(c.target, c.fence, c.holder);
  return out;
}

fb::Offset<frames::Heartbeat> write(fb::FlatBufferBuilder& b,
                                    const heartbeat& from) {
  const auto rows = write(from.rows);
  const auto claims = write(from.claims);
  const auto loads = write(from.loads);
  return frames::CreateHeartbeatDirect(
      b, &rows, from.members, from.store_revision, from.store_age.count(),
      from.copy_age.count(), from.watching, &claims, from.claims_digest,
      &loads);
}

/** Returns a number as one of a smaller type: its bound where it is beyond. */
template <typename Small, typename Number>
Small narrowed(Number number) {
  using limits = std::numeric_limits<Small>;
  if (std::cmp_greater(number, limits::max())) return limits::max();
  if (std::cmp_less(number, limits::min())) return limits::min();
  return static_cast<Small>(number);
}

/** The models that rows name, each once. */
class model_list {
 public:
  std::uint16_t index_of(const std::string& model) {
    const auto at = std::find(names_.begin(), names_.end(), model);
    const auto index = at - names_.begin();
    if (at == names_.end()) names_.push_back(model);
    return narrowed<std::uint16_t>(index);
  }
  fb::Offset<fb::Vector<fb::Offset<fb::String>>> write(
      fb::FlatBufferBuilder& b) const {
    return names_.empty() ? 0 : b.CreateVectorOfStrings(names_);
  }

 private:
  std::vector<std::string> names_;
};

fb::Offset<frames::Wish> write(fb::FlatBufferBuilder& b, model_list& models,
                               const adapter_interest& from) {
  const auto adapter = b.CreateString(from.name.adapter);
  const frames::WishFacts facts(
      from.version, narrowed<std::int32_t>(from.waited.count()),
      narrowed<std::int32_t>(from.slack.count()),
      narrowed<std::uint16_t>(from.waiting),
      narrowed<std::uint16_t>(from.running), narrowed<std::uint16_t>(from.rank),
      models.index_of(from.name.model));
  return frames::CreateWish(b, &facts, adapter);
}

/** Returns a vector, or none where it would be empty. */
template <typename Row>
fb::Offset<fb::Vector<const Row*>> structs(fb::FlatBufferBuilder& b,
                                           const std::vector<Row>& rows) {
  return rows.empty() ? 0 : b.CreateVectorOfStructs(rows);
}

fb::Offset<frames::Interest> write(fb::FlatBufferBuilder& b,
                                   const interest_message& from) {
  model_list models;
  std::vector<frames::AdapterRun> runs;
  std::vector<fb::Offset<frames::Wish>> wishes;
  for (const auto& r : from.rows) {
    if (r.waiting > 0) {
      wishes.push_back(write(b, models, r));
    } else {
      runs.emplace_back(static_cast<std::uint64_t>(r.adapter), r.running);
    }
  }
  const frames::KnownWord known(from.known.fence, from.known.edition);
  const frames::InterestHead head(from.target, known, write(from.work),
                                  from.asks);
  const auto run_list = structs(b, runs);
  const auto model_names = models.write(b);
  const auto wish_list =
      wishes.empty() ? fb::Offset<fb::Vector<fb::Offset<frames::Wish>>>()
                     : b.CreateVector(wishes);
  return frames::CreateInterest(b, &head, run_list, model_names, wish_list);
}

fb::Offset<frames::Residency> write(fb::FlatBufferBuilder& b,
                                    const residency_message& from) {
  std::vector<frames::AdapterPlace> rows;
  for (const auto& p : from.places) {
    rows.emplace_back(static_cast<std::uint64_t>(p.adapter), p.version,
                      p.ready);
  }
  std::vector<std::uint64_t> gone;
  for (const auto a : from.gone) gone.push_back(static_cast<std::uint64_t>(a));
  const frames::ResidencyHead head(
      from.target, from.fence, from.edition, from.since,
      narrowed<std::uint32_t>(from.load_time.count()), write(from.work));
  const auto places = structs(b, rows);
  const auto gone_list = gone.empty() ? fb::Offset<fb::Vector<std::uint64_t>>()
                                      : b.CreateVector(gone);
  const auto running = from.running.empty()
                           ? fb::Offset<fb::Vector<std::uint8_t>>()
                           : b.CreateVector(from.running);
  return frames::CreateResidency(b, &head, places, gone_list, running);
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
  const auto claims = write(from.claims);
  return frames::CreateProbeAnswerDirect(b, from.origin, &rows,
                                         claims.empty() ? nullptr : &claims);
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

std::vector<target_claim> read_claims(
    const fb::Vector<const frames::TargetClaim*>* from) {
  std::vector<target_claim> out;
  each(from, [&](const frames::TargetClaim& c) {
    out.push_back({c.target(), c.fence(), c.holder()});
  });
  return out;
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
  out.claims = read_claims(from.claims());
  out.claims_digest = from.claims_digest();
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

adapter_interest read(const frames::Wish& from, std::string model) {
  adapter_interest out;
  out.name = {std::move(model), text(from.adapter())};
  out.adapter = hash_of(out.name);
  const auto& facts = *from.facts();
  out.version = facts.version();
  out.waiting = facts.waiting();
  out.running = facts.running();
  out.rank = facts.rank();
  out.waited = duration(facts.waited_us());
  out.slack = duration(facts.slack_us());
  return out;
}

peer_message read(const frames::Interest& from) {
  interest_message out;
  if (const auto* head = from.head()) {
    out.target = head->target();
    out.work = read(head->work());
    out.asks = head->asks();
    out.known = {head->known().fence(), head->known().edition()};
  }
  each(from.wishes(), [&](const frames::Wish& w) {
    const auto* models = from.models();
    const auto* facts = w.facts();
    const bool is_whole = facts != nullptr && models != nullptr &&
                          facts->model() < models->size();
    if (is_whole) {
      out.rows.push_back(read(w, text(models->Get(facts->model()))));
    }
  });
  each(from.runs(), [&](const frames::AdapterRun& r) {
    adapter_interest row;
    row.adapter = adapter_hash{r.adapter()};
    row.running = r.running();
    out.rows.push_back(std::move(row));
  });
  return out;
}

peer_message read(const frames::Residency& from) {
  residency_message out;
  if (const auto* head = from.head()) {
    out.target = head->target();
    out.fence = head->fence();
    out.edition = head->edition();
    out.since = head->since();
    out.load_time = duration(head->load_time_us());
    out.work = read(head->work());
  }
  each(from.places(), [&](const frames::AdapterPlace& p) {
    out.places.push_back({adapter_hash{p.adapter()}, p.version(), p.ready()});
  });
  if (const auto* gone = from.gone()) {
    for (const auto hash : *gone) out.gone.push_back(adapter_hash{hash});
  }
  if (const auto* running = from.running()) {
    out.running.assign(running->begin(), running->end());
  }
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
  out.claims = read_claims(from.claims());
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
