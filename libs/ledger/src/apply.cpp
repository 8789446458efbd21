#include "ledger/apply.h"

#include "fold.h"
#include "host_health.h"
#include "job_lifecycle.h"

#include <algorithm>

namespace fulmarworks {

namespace {

/** Returns whether the record is new, and remembers it. */
bool remember_writer(ledger_state& s, const record_header& h) {
    writer_state& known = s.writers[h.writer + "/" + h.lane];
    const bool is_newer = h.incarnation > known.incarnation ||
                          (h.incarnation == known.incarnation && h.sequence > known.sequence);
    if (is_newer) {
        known = {h.incarnation, h.sequence, h.written_at};
    }
    return is_newer;
}

template <class T>
void remove_repeats(std::vector<T>& values) {
    std::sort(values.begin(), values.end());
    values.erase(std::unique(values.begin(), values.end()), values.end());
}

} // namespace

void handle(fold&, const time_noted&) {}

apply_effects apply(ledger_state& state, std::uint64_t offset, const record& r) {
    apply_effects effects;
    state.next_offset = offset + 1;
    state.now = std::max(state.now, r.header.written_at);
    fold f = {state, effects, offset, r.header};
    if (remember_writer(state, r.header)) {
        release_quarantined(f);
        std::visit([&](const auto& body) { handle(f, body); }, r.body);
        forget_finished(state);
    } else {
        drop(f, "repeated_record");
    }
    if (!effects.dropped.empty()) {
        count(f, "dropped." + effects.dropped);
    }
    remove_repeats(effects.jobs);
    remove_repeats(effects.hosts);
    return effects;
}

void skip_unreadable(ledger_state& state, std::uint64_t offset) {
    state.next_offset = offset + 1;
    ++state.counters["dropped.unreadable_record"];
}

} // namespace fulmarworks
