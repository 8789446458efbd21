#include "job_order.h"

#include <algorithm>
#include <queue>

namespace fulmarworks {

namespace {

/** Jobs per account that one step visits, which bounds the depth of backfill. */
constexpr int max_visited_per_account = 32;
/**
 * An account exceeds its share of urgent use if it uses more than this multiple of the share plus
 * `share_allowance_accelerators`.
 */
constexpr double share_tolerance = 2;
constexpr int share_allowance_accelerators = 8;

using queue_position = std::set<queue_entry>::const_iterator;

/** Position in the queue of one account. */
struct account_cursor {
    std::string account;
    queue_position next;
    queue_position end;
    int visited = 0;
    double weight = 1;
    int guaranteed = 0;
};

bool is_due(const planning_step& p, const job& j) {
    return j.not_before <= p.now;
}

queue_position first_non_urgent(const std::set<queue_entry>& queue) {
    return queue.lower_bound({urgency::standard, 0, 0, ""});
}

std::vector<queue_entry> merge_queues(const planning_step& p, bool urgent_only) {
    std::vector<queue_entry> entries;
    for (const auto& [account, queue] : p.state.queues) {
        const auto end = urgent_only ? first_non_urgent(queue) : queue.end();
        int merged = 0;
        for (auto entry = queue.begin(); entry != end; ++entry) {
            entries.push_back(*entry);
            if (++merged >= static_cast<int>(max_placements_per_step)) {
                break;
            }
        }
    }
    return entries;
}

void visit_all(planning_step& p, std::span<const queue_entry> entries,
               const std::function<visit_result(job&)>& visitor) {
    for (const auto& entry : entries) {
        job& j = p.state.jobs.at(entry.job);
        if (is_due(p, j) && visitor(j) == visit_result::stop) {
            return;
        }
    }
}

/** Sort key: accounts below their guarantee first, then by usage over weight, then by name. */
struct share_key {
    bool above_guarantee = false;
    double usage = 0;
    std::size_t cursor = 0;

    auto operator<=>(const share_key&) const = default;
};

share_key make_share_key(const planning_step& p, const account_cursor& c, std::size_t index) {
    const auto found = p.state.usage.find(c.account);
    const int used = found == p.state.usage.end() ? 0 : found->second.accelerators;
    if (!p.options.fair_share) {
        return {false, static_cast<double>(c.next->submit_offset), index};
    }
    if (used < c.guaranteed) {
        return {false, static_cast<double>(used) / c.guaranteed, index};
    }
    return {true, used / c.weight, index};
}

std::vector<account_cursor> make_cursors(const planning_step& p) {
    std::vector<account_cursor> cursors;
    for (const auto& [account, queue] : p.state.queues) {
        const auto first = first_non_urgent(queue);
        if (first == queue.end()) {
            continue;
        }
        const client_account* configured = find_named(p.state.config.client_accounts, account);
        cursors.push_back({account, first, queue.end(), 0,
                           configured == nullptr ? 1 : configured->weight,
                           guaranteed_accelerators(p.state, account)});
    }
    return cursors;
}

} // namespace

bool exceeds_urgent_share(const ledger_state& s, std::string_view account) {
    const auto used = s.usage.find(std::string(account));
    const client_account* configured = find_named(s.config.client_accounts, account);
    if (used == s.usage.end() || configured == nullptr) {
        return false;
    }
    double weights = 0;
    for (const auto& a : s.config.client_accounts) {
        weights += a.weight;
    }
    const double share = s.urgent_accelerators * configured->weight / weights;
    return used->second.urgent_accelerators >
           share * share_tolerance + share_allowance_accelerators;
}

int guaranteed_accelerators(const ledger_state& s, std::string_view account) {
    int total = 0;
    for (const auto& g : s.config.guarantees) {
        if (g.client_account == account) {
            total += g.hosts * g.accelerators_per_host * g.count;
        }
    }
    return total;
}

void for_each_urgent(planning_step& p, const std::function<visit_result(job&)>& visitor) {
    const auto entries = merge_queues(p, true);
    std::vector<queue_entry> within_share;
    std::vector<queue_entry> above_share;
    std::map<std::string, bool> exceeds_share;
    for (const auto& entry : entries) {
        const std::string& account = p.state.jobs.at(entry.job).request.client_account;
        const auto [cached, is_new] = exceeds_share.try_emplace(account);
        if (is_new) {
            cached->second = p.options.fair_share && exceeds_urgent_share(p.state, account);
        }
        (cached->second ? above_share : within_share).push_back(entry);
    }
    std::sort(within_share.begin(), within_share.end());
    std::sort(above_share.begin(), above_share.end());
    within_share.insert(within_share.end(), above_share.begin(), above_share.end());
    visit_all(p, within_share, visitor);
}

void for_each_by_arrival(planning_step& p, const std::function<visit_result(job&)>& visitor) {
    auto entries = merge_queues(p, false);
    std::sort(entries.begin(), entries.end(), [](const queue_entry& a, const queue_entry& b) {
        return a.submit_offset < b.submit_offset;
    });
    visit_all(p, entries, visitor);
}

void for_each_by_share(planning_step& p, const std::function<visit_result(job&)>& visitor) {
    auto cursors = make_cursors(p);
    std::priority_queue<share_key, std::vector<share_key>, std::greater<>> order;
    for (std::size_t i = 0; i < cursors.size(); ++i) {
        order.push(make_share_key(p, cursors[i], i));
    }
    while (!order.empty()) {
        account_cursor& c = cursors[order.top().cursor];
        const std::size_t index = order.top().cursor;
        order.pop();
        job& j = p.state.jobs.at(c.next->job);
        ++c.next;
        if (is_due(p, j)) {
            ++c.visited;
            if (visitor(j) == visit_result::stop) {
                return;
            }
        }
        if (c.next != c.end && c.visited < max_visited_per_account) {
            order.push(make_share_key(p, c, index));
        }
    }
}

} // namespace fulmarworks
