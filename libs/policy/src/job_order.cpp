#include "job_order.h"

#include <algorithm>
#include <queue>

namespace fulmarworks {

namespace {

/** Jobs of one account that a step looks at behind the first one that doesn't fit. */
constexpr int max_depth_per_account = 32;
/** An account may hold this multiple of its share of urgent work, and a few accelerators more. */
constexpr double share_tolerance = 2;
constexpr int free_allowance = 8;

using queue_position = std::set<queue_entry>::const_iterator;

struct account_cursor {
    std::string account;
    queue_position next;
    queue_position end;
    int visited = 0;
    double weight = 1;
    int guaranteed = 0;
};

bool is_due(const planning& p, const job& j) {
    return j.not_before <= p.now;
}

queue_position first_not_urgent(const std::set<queue_entry>& queue) {
    return queue.lower_bound({urgency::standard, 0, 0, ""});
}

std::vector<queue_entry> merged(const planning& p, bool urgent_only) {
    std::vector<queue_entry> entries;
    for (const auto& [account, queue] : p.state.queues) {
        const auto end = urgent_only ? first_not_urgent(queue) : queue.end();
        int taken = 0;
        for (auto entry = queue.begin(); entry != end; ++entry) {
            entries.push_back(*entry);
            if (++taken >= static_cast<int>(max_placements_per_step)) {
                break;
            }
        }
    }
    return entries;
}

void visit_all(planning& p, std::span<const queue_entry> entries,
               const std::function<visit(job&)>& visitor) {
    for (const auto& entry : entries) {
        job& j = p.state.jobs.at(entry.job);
        if (is_due(p, j) && visitor(j) == visit::stop) {
            return;
        }
    }
}

/** Below guarantee first, then least use over weight; ties by name. */
struct share_key {
    bool borrowing = false;
    double use = 0;
    std::size_t cursor = 0;

    auto operator<=>(const share_key&) const = default;
};

share_key key_of(const planning& p, const account_cursor& c, std::size_t index) {
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

std::vector<account_cursor> open_cursors(const planning& p) {
    std::vector<account_cursor> cursors;
    for (const auto& [account, queue] : p.state.queues) {
        const auto first = first_not_urgent(queue);
        if (first == queue.end()) {
            continue;
        }
        const client_account* known = find_named(p.state.config.client_accounts, account);
        cursors.push_back({account, first, queue.end(), 0, known == nullptr ? 1 : known->weight,
                           guaranteed_accelerators(p.state, account)});
    }
    return cursors;
}

} // namespace

bool is_over_share(const ledger_state& s, std::string_view account) {
    const auto used = s.usage.find(std::string(account));
    const client_account* known = find_named(s.config.client_accounts, account);
    if (used == s.usage.end() || known == nullptr) {
        return false;
    }
    double weights = 0;
    for (const auto& a : s.config.client_accounts) {
        weights += a.weight;
    }
    const double share = s.urgent_accelerators * known->weight / weights;
    return used->second.urgent_accelerators > share * share_tolerance + free_allowance;
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

void for_each_urgent(planning& p, const std::function<visit(job&)>& visitor) {
    const auto entries = merged(p, true);
    std::vector<queue_entry> within;
    std::vector<queue_entry> over;
    std::map<std::string, bool> over_share;
    for (const auto& entry : entries) {
        const std::string& account = p.state.jobs.at(entry.job).request.client_account;
        const auto [known, is_new] = over_share.try_emplace(account);
        if (is_new) {
            known->second = p.options.fair_share && is_over_share(p.state, account);
        }
        (known->second ? over : within).push_back(entry);
    }
    std::sort(within.begin(), within.end());
    std::sort(over.begin(), over.end());
    within.insert(within.end(), over.begin(), over.end());
    visit_all(p, within, visitor);
}

void for_each_by_arrival(planning& p, const std::function<visit(job&)>& visitor) {
    auto entries = merged(p, false);
    std::sort(entries.begin(), entries.end(), [](const queue_entry& a, const queue_entry& b) {
        return a.submit_offset < b.submit_offset;
    });
    visit_all(p, entries, visitor);
}

void for_each_by_share(planning& p, const std::function<visit(job&)>& visitor) {
    auto cursors = open_cursors(p);
    std::priority_queue<share_key, std::vector<share_key>, std::greater<>> order;
    for (std::size_t i = 0; i < cursors.size(); ++i) {
        order.push(key_of(p, cursors[i], i));
    }
    while (!order.empty()) {
        account_cursor& c = cursors[order.top().cursor];
        const std::size_t index = order.top().cursor;
        order.pop();
        job& j = p.state.jobs.at(c.next->job);
        ++c.next;
        if (is_due(p, j)) {
            ++c.visited;
            if (visitor(j) == visit::stop) {
                return;
            }
        }
        if (c.next != c.end && c.visited < max_depth_per_account) {
            order.push(key_of(p, c, index));
        }
    }
}

} // namespace fulmarworks
