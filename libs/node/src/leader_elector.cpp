#include "leader_elector.h"

#include "callback_owner.h"
#include "topic_follower.h"

#include <random>

namespace fulmarworks::node {

namespace {

/** Time that a read waits at the store for a new record. */
constexpr time_ms read_wait_ms = 1000;
/** Interval between reads of a host that isn't a candidate. */
constexpr time_ms passive_read_interval_ms = 1500;
/** Further delay of such a host before it takes a lease that none of its reads has found renewed.
 */
constexpr time_ms passive_acquisition_delay_ms = passive_read_interval_ms + 500;
/** Timeout of a write, after which it is retried; longer than the response of a slow store. */
constexpr time_ms write_timeout_ms = 600;
/** Upper bound of the random delay that spreads candidates for a vacant lease. */
constexpr std::uint64_t max_jitter_ms = 120;
/** Limits incarnations to the range of signed integers, as which they are stored. */
constexpr std::uint64_t incarnation_mask = 0x7fffffffffffffff;

} // namespace

struct leader_elector::impl : callback_owner<impl> {
    leader_elector_context context;
    std::mt19937_64 random{std::random_device{}()};
    leadership_state state;
    std::unique_ptr<topic_follower> follower;

    explicit impl(leader_elector_context c) : context(std::move(c)) {
        state.name = context.name;
        state.address = context.address;
        state.incarnation = random() & incarnation_mask;
    }

    void follow() {
        follower_options options;
        options.log_topic = platform::topic::leadership;
        options.wait_ms = read_wait_ms;
        options.on_record = [this](const auto& record) { record_read(record); };
        options.on_read = [this](bool ok) {
            apply_log_read(state, boottime_now(), ok, ok ? follower->end() : 0);
            context.on_change();
        };
        follower =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void record_read(const platform::logged_record& record) {
        const auto decoded = decode_lease(record.value);
        if (!decoded) {
            context.log.write("lease_unreadable", "offset=" + std::to_string(record.offset));
            return;
        }
        const lease_record& lease = decoded.value();
        if (!state.newest_record || state.newest_record->name != lease.name) {
            context.log.write("leader_seen",
                              "leader=" + lease.name + " offset=" + std::to_string(record.offset));
        }
        apply_lease_record(state, boottime_now(), record.offset, lease);
    }

    void send_due_write(time_ms extra_delay_ms) {
        const bool active = is_leader(state) || context.is_candidate();
        follower->set_pacing(active ? read_wait_ms : 0, active ? 0 : passive_read_interval_ms);
        if (active) {
            follower->read_now();
        } else {
            extra_delay_ms += passive_acquisition_delay_ms;
        }
        const auto jitter = static_cast<time_ms>(random() % max_jitter_ms);
        const auto due = begin_due_write(state, boottime_now(), jitter + extra_delay_ms);
        if (!due) {
            return;
        }
        platform::append_request request;
        request.log_topic = platform::topic::leadership;
        request.records = {{"leader", encode_lease(due->record)}};
        request.expected_end = due->expected_end;
        request.timeout_ms = write_timeout_ms;
        context.store.append(request, guarded([](impl& i, const platform::append_outcome& outcome) {
                                 apply_write_outcome(i.state, boottime_now(),
                                                     outcome.status == platform::store_status::ok,
                                                     outcome.offset);
                                 i.context.on_change();
                             }));
    }
};

leader_elector::leader_elector(leader_elector_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->follow();
}

leader_elector::~leader_elector() = default;

leadership_state& leader_elector::state() {
    return impl_->state;
}

const leadership_state& leader_elector::state() const {
    return impl_->state;
}

void leader_elector::send_due_write(time_ms extra_delay_ms) {
    impl_->send_due_write(extra_delay_ms);
}

void leader_elector::refresh() {
    impl_->follower->read_now();
}

void leader_elector::apply_record(std::uint64_t offset, const lease_record& record) {
    apply_lease_record(impl_->state, boottime_now(), offset, record);
    impl_->context.on_change();
}

} // namespace fulmarworks::node
