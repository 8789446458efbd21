#include "lease_keeper.h"

#include "callback_owner.h"
#include "topic_follower.h"

#include <random>

namespace fulmarworks::node {

namespace {

constexpr time_ms read_wait_ms = 1000;
/** A write without an answer is repeated after this; longer than a slow store's answer. */
constexpr time_ms write_timeout_ms = 600;
/** Spread of candidates for a vacant lease. */
constexpr std::uint64_t largest_jitter_ms = 120;
/** Incarnations are stored as signed numbers. */
constexpr std::uint64_t incarnation_mask = 0x7fffffffffffffff;

} // namespace

struct lease_keeper::impl : callback_owner<impl> {
    lease_keeper_context context;
    std::mt19937_64 random{std::random_device{}()};
    leadership_state state;
    std::unique_ptr<topic_follower> follower;

    explicit impl(lease_keeper_context c) : context(std::move(c)) {
        state.name = context.name;
        state.address = context.address;
        state.incarnation = random() & incarnation_mask;
    }

    void follow() {
        follower_options options;
        options.where = platform::topic::leadership;
        options.wait_ms = read_wait_ms;
        options.on_record = [this](const auto& record) { read(record); };
        options.on_read = [this](bool ok) {
            log_read(state, boottime_now(), ok, ok ? follower->end() : 0);
            context.on_change();
        };
        follower =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void read(const platform::logged_record& record) {
        const auto decoded = decode_lease(record.value);
        if (!decoded) {
            context.log.write("lease_unreadable", "offset=" + std::to_string(record.offset));
            return;
        }
        const lease_record& lease = decoded.value();
        if (!state.newest || state.newest->name != lease.name) {
            context.log.write("leader_seen",
                              "leader=" + lease.name + " offset=" + std::to_string(record.offset));
        }
        lease_read(state, boottime_now(), record.offset, lease);
    }

    void write(time_ms extra_wait_ms) {
        const auto jitter = static_cast<time_ms>(random() % largest_jitter_ms);
        const auto due = due_write(state, boottime_now(), jitter + extra_wait_ms);
        if (!due) {
            return;
        }
        platform::append_request request;
        request.log_topic = platform::topic::leadership;
        request.records = {{"leader", encode_lease(due->record)}};
        request.expected_end = due->expected_end;
        request.timeout_ms = write_timeout_ms;
        context.store.append(request, guarded([](impl& i, const platform::append_outcome& outcome) {
                                 write_done(i.state, boottime_now(),
                                            outcome.status == platform::store_status::ok,
                                            outcome.offset);
                                 i.context.on_change();
                             }));
    }
};

lease_keeper::lease_keeper(lease_keeper_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->follow();
}

lease_keeper::~lease_keeper() = default;

leadership_state& lease_keeper::state() {
    return impl_->state;
}

const leadership_state& lease_keeper::state() const {
    return impl_->state;
}

void lease_keeper::advance(time_ms extra_wait_ms) {
    impl_->write(extra_wait_ms);
}

void lease_keeper::adopt(std::uint64_t offset, const lease_record& record) {
    lease_read(impl_->state, boottime_now(), offset, record);
    impl_->context.on_change();
}

} // namespace fulmarworks::node
