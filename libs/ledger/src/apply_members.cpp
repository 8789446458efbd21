#include "fold.h"
#include "ownership.h"

namespace fulmarworks {

namespace {

constexpr time_ms writer_retention_ms = 24 * milliseconds_per_hour;

void forget_old_writers(ledger_state& s) {
    std::erase_if(s.writers, [&](const auto& entry) {
        return entry.second.last_written_at + writer_retention_ms < s.now;
    });
}

instance_info* find_incarnation(fold& f, const std::string& name, std::uint64_t incarnation) {
    const auto found = f.state.instances.find(name);
    if (found == f.state.instances.end() || found->second.incarnation != incarnation) {
        drop(f, "stale_instance");
        return nullptr;
    }
    return &found->second;
}

} // namespace

void handle(fold& f, const instance_joined& r) {
    instance_info& info = f.state.instances[r.name];
    if (info.incarnation > r.incarnation) {
        drop(f, "stale_instance");
        return;
    }
    info = {r.incarnation, r.api_address, r.peer_address, r.failure_domain, 0};
    forget_old_writers(f.state);
    assign_rack_owners(f);
}

void handle(fold& f, const instance_suspected& r) {
    instance_info* info = find_incarnation(f, r.name, r.incarnation);
    if (info == nullptr) {
        return;
    }
    if (info->suspected_offset != 0) {
        drop(f, "already_suspected");
        return;
    }
    info->suspected_offset = f.offset;
    f.effects.membership_changed = true;
}

void handle(fold& f, const instance_alive& r) {
    if (instance_info* info = find_incarnation(f, r.name, r.incarnation)) {
        info->suspected_offset = 0;
        f.effects.membership_changed = true;
    }
}

void handle(fold& f, const instance_left& r) {
    const instance_info* info = find_incarnation(f, r.name, r.incarnation);
    if (info == nullptr) {
        return;
    }
    const bool by_itself = r.suspected_offset == 0 && f.header.writer == r.name;
    const bool unanswered = r.suspected_offset != 0 && info->suspected_offset == r.suspected_offset;
    if (!by_itself && !unanswered) {
        drop(f, "suspicion_answered");
        return;
    }
    f.state.instances.erase(r.name);
    assign_rack_owners(f);
}

} // namespace fulmarworks
