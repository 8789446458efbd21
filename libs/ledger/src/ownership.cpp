#include "ownership.h"

#include "base/digest.h"

namespace fulmarworks {

namespace {

std::string region_of(const configuration& config, std::string_view domain) {
    const failure_domain* found = find_named(config.failure_domains, domain);
    return found == nullptr ? std::string() : found->region;
}

struct candidate {
    std::string name;
    std::uint64_t hash = 0;
    std::string region;
};

std::vector<candidate> live_candidates(const ledger_state& s) {
    std::vector<candidate> candidates;
    for (const auto& [name, info] : s.instances) {
        candidates.push_back({name, hash64(name), region_of(s.config, info.failure_domain)});
    }
    return candidates;
}

std::string choose_owner(std::span<const candidate> candidates, std::uint64_t rack_hash,
                         const std::string& region) {
    const candidate* best = nullptr;
    std::uint64_t best_score = 0;
    bool best_is_local = false;
    for (const auto& c : candidates) {
        const bool is_local = c.region == region;
        const std::uint64_t score = combine_hashes(c.hash, rack_hash);
        if (best == nullptr || (is_local && !best_is_local) ||
            (is_local == best_is_local && score > best_score)) {
            best = &c;
            best_score = score;
            best_is_local = is_local;
        }
    }
    return best == nullptr ? std::string() : best->name;
}

} // namespace

void assign_rack_owners(apply_context& ctx) {
    ledger_state& s = ctx.state;
    s.rack_owners.resize(s.hosts.racks().size());
    const auto candidates = live_candidates(s);
    for (std::size_t r = 0; r < s.rack_owners.size(); ++r) {
        const rack& owned = s.hosts.racks()[r];
        const std::string region = region_of(s.config, s.hosts.pools()[owned.pool].failure_domain);
        std::string owner = choose_owner(candidates, hash64(owned.name), region);
        if (owner != s.rack_owners[r].instance) {
            s.rack_owners[r] = {std::move(owner), s.rack_owners[r].epoch + 1};
        }
    }
    ctx.effects.membership_changed = true;
}

} // namespace fulmarworks
