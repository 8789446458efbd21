#include "leadership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

constexpr int host_count = 4;
constexpr time_ms step_ms = 20;
constexpr int steps_per_schedule = 1500;
constexpr int schedules = 4000;

/** A host under random pauses, cuts, restarts and releases, with its steady clock. */
struct simulated_host {
    leadership_state state;
    std::uint64_t incarnation = 1;
    time_ms paused_until_ms = 0;
    time_ms cut_until_ms = 0;
    /** The write whose answer is outstanding: whether it was appended, where, and when it comes. */
    bool awaits_answer = false;
    bool appended = false;
    std::uint64_t offset = 0;
    time_ms answer_at_ms = 0;
    bool answer_lost = false;
    std::uint64_t read_up_to = 0;
    /** Epoch under which the host last gave an order, and the latest time of an order. */
    std::uint64_t acted_epoch = 0;
};

/**
 * Runs the rules of the lease on one log, and checks them against what really happened: which host
 * gave orders when.
 */
class lease_schedule {
public:
    explicit lease_schedule(unsigned seed) : random_(seed) {
        for (int i = 0; i < host_count; ++i) {
            restart(i);
        }
    }

    void run() {
        for (int i = 0; i < steps_per_schedule && error_.empty(); ++i) {
            now_ += step_ms;
            disturb();
            for (auto& h : hosts_) {
                if (now_ >= h.paused_until_ms) {
                    advance(h);
                }
            }
        }
    }

    [[nodiscard]] const std::string& error() const { return error_; }
    [[nodiscard]] int terms() const { return terms_; }

private:
    int below(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }

    void restart(int i) {
        auto& h = hosts_[static_cast<std::size_t>(i)];
        const std::uint64_t next = h.incarnation + 1;
        h = {};
        h.incarnation = next;
        h.state.name = "host-" + std::to_string(i);
        h.state.address = h.state.name + ":7000";
        h.state.incarnation = next;
    }

    void disturb() {
        auto& h = hosts_[static_cast<std::size_t>(below(host_count))];
        switch (below(120)) {
        case 0: h.paused_until_ms = now_ + 100 + below(9000); break;
        case 1: h.cut_until_ms = now_ + 100 + below(9000); break;
        case 2: restart(static_cast<int>(&h - hosts_.data())); break;
        case 3:
            if (is_leader(h.state)) {
                request_release(h.state);
            }
            break;
        case 4:
            if (h.state.releasing && !is_leader(h.state)) {
                restart(static_cast<int>(&h - hosts_.data()));
            }
            break;
        default: break;
        }
    }

    void advance(simulated_host& h) {
        const bool cut = now_ < h.cut_until_ms;
        if (h.awaits_answer && now_ >= h.answer_at_ms) {
            h.awaits_answer = false;
            apply_write_outcome(h.state, now_, h.appended && !h.answer_lost, h.offset);
        }
        read(h, cut);
        write(h, cut);
        act(h);
    }

    void read(simulated_host& h, bool cut) {
        if (cut) {
            apply_log_read(h.state, now_, false, 0);
            return;
        }
        // Like the store, a new host gets only the newest record.
        if (h.read_up_to == 0 && !log_.empty()) {
            h.read_up_to = log_.size() - 1;
        }
        for (; h.read_up_to < log_.size(); ++h.read_up_to) {
            apply_lease_record(h.state, now_, h.read_up_to, log_[h.read_up_to]);
        }
        apply_log_read(h.state, now_, true, log_.size());
    }

    void write(simulated_host& h, bool cut) {
        if (h.awaits_answer) {
            return;
        }
        const auto due = begin_due_write(h.state, now_, below(120));
        if (!due) {
            return;
        }
        h.awaits_answer = true;
        h.answer_at_ms = now_ + 4 + below(300);
        h.answer_lost = cut || below(20) == 0;
        const bool arrives = !cut || below(4) == 0;
        h.appended = arrives && due->expected_end == log_.size();
        h.offset = log_.size();
        if (h.appended) {
            log_.push_back(due->record);
        }
    }

    /** Gives an order if the host may, and compares that with the orders of all earlier terms. */
    void act(simulated_host& h) {
        if (!may_act(h.state, now_)) {
            return;
        }
        const std::uint64_t epoch = h.state.epoch;
        if (h.acted_epoch != epoch) {
            h.acted_epoch = epoch;
            ++terms_;
            if (ends_.contains(epoch)) {
                error_ = "two terms with epoch " + std::to_string(epoch);
            }
            ends_[epoch] = std::max(now_, h.state.earlier_orders_until_ms);
        }
        // A later term assumes that this one has ended.
        for (auto later = ends_.upper_bound(epoch); later != ends_.end(); ++later) {
            if (now_ > later->second) {
                error_ = "epoch " + std::to_string(epoch) + " gave an order at " +
                         std::to_string(now_) + ", epoch " + std::to_string(later->first) +
                         " counted with orders until " + std::to_string(later->second);
            }
        }
    }

    std::mt19937 random_;
    time_ms now_ = 1000;
    std::array<simulated_host, host_count> hosts_;
    std::vector<lease_record> log_;
    /** For each term the time after which it assumes that no earlier leader gives orders. */
    std::map<std::uint64_t, time_ms> ends_;
    int terms_ = 0;
    std::string error_;
};

} // namespace

TEST_CASE("no leader gives orders after the time until which a later term counts with them") {
    int terms = 0;
    for (unsigned seed = 1; seed <= schedules; ++seed) {
        lease_schedule schedule(seed);
        schedule.run();
        INFO("schedule " << seed);
        REQUIRE(schedule.error() == "");
        terms += schedule.terms();
    }
    CHECK(terms > 4 * schedules); // the schedules do change leaders
}
