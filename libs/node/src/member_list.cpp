#include "member_list.h"

#include "base/log_line.h"
#include "callback_owner.h"
#include "member_entry.h"
#include "topic_follower.h"

namespace fulmarworks::node {

namespace {

/** Interval between reads of the list, and between attempts to register in it. */
constexpr time_ms member_interval_ms = 3000;

} // namespace

struct member_list::impl : callback_owner<impl> {
    member_list_context context;
    std::unique_ptr<topic_follower> follower;

    explicit impl(member_list_context c) : context(std::move(c)) {}

    void follow() {
        follower_options options;
        options.log_topic = platform::topic::members;
        options.wait_ms = 0;
        options.pause_ms = member_interval_ms;
        options.on_record = [this](const auto& record) { apply(record); };
        follower =
            std::make_unique<topic_follower>(context.loop, context.store, std::move(options));
    }

    void apply(const platform::logged_record& record) {
        if (record.value.empty()) {
            return; // members aren't removed; those that don't answer are chosen last
        }
        const auto member = decode_member(record);
        if (member) {
            context.peer_hosts.add_member(member.value().address, member.value().cpu_share);
        } else {
            context.log.write("member_entry_unreadable", "key=" + log_text(record.key) +
                                                             " error=\"" +
                                                             describe(member.error()) + "\"");
        }
    }

    /** Stores this host's address and processor share, by which other hosts find it. */
    void register_host() {
        platform::append_request request;
        request.log_topic = platform::topic::members;
        request.records = {{context.own_address, std::to_string(context.cpu_share)}};
        context.store.append(request, guarded([](impl& i, const platform::append_outcome& outcome) {
                                 if (outcome.status != platform::store_status::ok) {
                                     i.run_after(i.context.loop, member_interval_ms,
                                                 [](impl& self) { self.register_host(); });
                                 }
                             }));
    }
};

member_list::member_list(member_list_context context)
    : impl_(std::make_shared<impl>(std::move(context))) {
    impl_->follow();
    impl_->register_host();
}

member_list::~member_list() = default;

} // namespace fulmarworks::node
