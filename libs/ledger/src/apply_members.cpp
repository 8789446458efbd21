#include "apply_context.h"
#include "ownership.h"

namespace fulmarworks {

namespace {

constexpr time_ms writer_retention_ms = 24 * milliseconds_per_hour;

void remove_expired_writers(ledger_state& s) {
    std::erase_if(s.writers, [&](const auto& entry) {
        return entry.second.last_written_at + writer_retention_ms < s.now;
    });
}

instance_info* find_instance(apply_context& ctx, const std::string& name,
                             std::uint64_t incarnation) {
    const auto found = ctx.state.instances.find(name);
    if (found == ctx.state.instances.end() || found->second.incarnation != incarnation) {
        drop(ctx, "stale_instance");
        return nullptr;
    }
    return &found->second;
}

} // namespace

void handle(apply_context& ctx, const instance_joined& r) {
    instance_info& info = ctx.state.instances[r.name];
    if (info.incarnation > r.incarnation) {
        drop(ctx, "stale_instance");
        return;
    }
    info = {r.incarnation, r.api_address, r.peer_address, r.failure_domain, 0};
    remove_expired_writers(ctx.state);
    assign_rack_owners(ctx);
}

void handle(apply_context& ctx, const instance_suspected& r) {
    instance_info* info = find_instance(ctx, r.name, r.incarnation);
    if (info == nullptr) {
        return;
    }
    if (info->suspected_offset != 0) {
        drop(ctx, "already_suspected");
        return;
    }
    info->suspected_offset = ctx.offset;
    ctx.effects.membership_changed = true;
}

void handle(apply_context& ctx, const instance_alive& r) {
    if (instance_info* info = find_instance(ctx, r.name, r.incarnation)) {
        info->suspected_offset = 0;
        ctx.effects.membership_changed = true;
    }
}

void handle(apply_context& ctx, const instance_left& r) {
    const instance_info* info = find_instance(ctx, r.name, r.incarnation);
    if (info == nullptr) {
        return;
    }
    const bool left_voluntarily = r.suspected_offset == 0 && ctx.header.writer == r.name;
    const bool suspicion_unanswered =
        r.suspected_offset != 0 && info->suspected_offset == r.suspected_offset;
    if (!left_voluntarily && !suspicion_unanswered) {
        drop(ctx, "suspicion_answered");
        return;
    }
    ctx.state.instances.erase(r.name);
    assign_rack_owners(ctx);
}

} // namespace fulmarworks
