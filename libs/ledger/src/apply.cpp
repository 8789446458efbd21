#include "ledger/apply.h"

#include "apply_context.h"
#include "host_health.h"
#include "job_lifecycle.h"

#include <algorithm>

namespace fulmarworks {

namespace {

/** Returns whether the record is new. Updates the last record of the writer if so. */
bool update_writer_state(ledger_state& s, const record_header& h) {
    writer_state& known = s.writers[h.writer + "/" + h.lane];
    const bool is_newer = h.incarnation > known.incarnation ||
                          (h.incarnation == known.incarnation && h.sequence > known.sequence);
    if (is_newer) {
        known = {h.incarnation, h.sequence, h.written_at};
    }
    return is_newer;
}

template <class T>
void remove_duplicates(std::vector<T>& values) {
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

} // namespace

void handle(apply_context&, const time_noted&) {}

apply_effects apply(ledger_state& state, std::uint64_t offset, const record& r) {
    apply_effects effects;
    state.next_offset = offset + 1;
    state.now = std::max(state.now, r.header.written_at);
    apply_context ctx = {state, effects, offset, r.header};
    if (update_writer_state(state, r.header)) {
        release_quarantined_hosts(ctx);
        std::visit([&](const auto& body) { handle(ctx, body); }, r.body);
        remove_expired_jobs(state);
    } else {
        drop(ctx, "repeated_record");
    }
    if (!effects.dropped.empty()) {
        increment_counter(ctx, "dropped." + effects.dropped);
    }
    remove_duplicates(effects.jobs);
    remove_duplicates(effects.hosts);
    return effects;
}

void skip_unreadable(ledger_state& state, std::uint64_t offset) {
    state.next_offset = offset + 1;
    ++state.counters["dropped.unreadable_record"];
}

} // namespace fulmarworks
