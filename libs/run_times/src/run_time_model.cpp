#include "run_times/run_time_model.h"

#include "class_codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace fulmarworks::run_times {

namespace {

/** Number of classes of all levels. Bounds the memory to 0.4 MB, and the store's topic. */
constexpr std::size_t max_classes = 512;
/** Total weight from which the samples of a class are used instead of a coarser level. */
constexpr double min_weight = 8;
/** A class with less weight is removed when changes are collected. It could not be used without
 * min_weight new samples, and in the store it would outlive its relevance. */
constexpr double obsolete_weight = 0.05;

using class_table =
    std::unordered_map<class_key, class_statistics, class_key_hash, class_key_equal>;

/** Returns the classes of a run, from the most to the least specific one. */
std::array<class_key_view, 3> levels_of(const run_class& kind) {
    return {class_key_view{class_level::account, kind.queue, kind.account, kind.accelerators},
            class_key_view{class_level::accelerators, kind.queue, {}, kind.accelerators},
            class_key_view{class_level::queue, kind.queue, {}, 0}};
}

time_ms to_ms(double duration_ms) {
    constexpr double max_ms = 1e15;
    return std::llround(std::clamp(duration_ms, 0.0, max_ms));
}

} // namespace

struct run_time_model::impl {
    class_table classes;
    std::uint64_t samples_added = 0;
    std::uint64_t returns = 0;
    /** Store keys of classes that were removed and whose stored values are to be deleted. */
    std::vector<std::string> removed_keys;

    /** Distribution to predict from, in multiples of `unit_ms`; no class if there is no evidence.
     */
    struct evidence {
        const class_statistics* source = nullptr;
        const log_histogram* histogram = nullptr;
        const histogram_shape* shape = nullptr;
        double unit_ms = 0;
    };

    [[nodiscard]] evidence find_evidence(const run_class& kind, time_ms estimate_ms,
                                         time_ms now_ms) const {
        for (const auto& key : levels_of(kind)) {
            const auto found = classes.find(key);
            if (found == classes.end() || weight_at(found->second, now_ms) < min_weight) {
                continue;
            }
            const class_statistics& c = found->second;
            // At least half of the samples must have had an estimate, for a comparable spread.
            const bool ratio_known =
                estimate_ms > 0 && c.ratio_shape.total_weight >= c.duration_shape.total_weight / 2;
            if (ratio_known && c.ratio_shape.spread <= c.duration_shape.spread) {
                return {&c, &c.ratios, &c.ratio_shape,
                        static_cast<double>(estimate_ms) * ratio_origin};
            }
            return {&c, &c.durations, &c.duration_shape, duration_origin_ms};
        }
        return {};
    }

    void remove(class_table::iterator found) {
        if (found->second.in_store && removed_keys.size() < max_classes) {
            removed_keys.push_back(store_key(found->first));
        }
        classes.erase(found);
    }

    /** Evicts the classes above the limit: those that were updated least recently, and of several,
     * the most specific one. */
    void evict_excess() {
        const auto is_older = [](const auto& a, const auto& b) {
            return std::pair(a.second.last_sample_at_ms, -static_cast<int>(a.first.level)) <
                   std::pair(b.second.last_sample_at_ms, -static_cast<int>(b.first.level));
        };
        while (classes.size() > max_classes) {
            remove(std::min_element(classes.begin(), classes.end(), is_older));
        }
    }

    class_statistics& find_or_add(const class_key_view& key) {
        const auto found = classes.find(key);
        if (found != classes.end()) {
            return found->second;
        }
        std::erase(removed_keys, store_key(key));
        const class_key owned{key.level, std::string(key.queue), std::string(key.account),
                              key.accelerators};
        return classes.emplace(owned, class_statistics{}).first->second;
    }

    void remove_obsolete(time_ms now_ms) {
        for (auto c = classes.begin(); c != classes.end();) {
            const auto current = c++;
            if (weight_at(current->second, now_ms) < obsolete_weight) {
                remove(current);
            }
        }
    }
};

run_time_model::run_time_model() : impl_(std::make_unique<impl>()) {}
run_time_model::~run_time_model() = default;
run_time_model::run_time_model(const run_time_model& other)
    : impl_(std::make_unique<impl>(*other.impl_)) {}
run_time_model& run_time_model::operator=(const run_time_model& other) {
    if (this != &other) {
        impl_ = std::make_unique<impl>(*other.impl_);
    }
    return *this;
}
run_time_model::run_time_model(run_time_model&&) noexcept = default;
run_time_model& run_time_model::operator=(run_time_model&&) noexcept = default;

void run_time_model::add(const run_sample& s, time_ms now_ms) {
    if (s.duration_ms < 0 || !(s.worker_speed > 0) || !std::isfinite(s.worker_speed)) {
        return;
    }
    const double at_speed_1_ms = static_cast<double>(s.duration_ms) * s.worker_speed;
    for (const auto& key : levels_of(s.kind)) {
        class_statistics& c = impl_->find_or_add(key);
        add_run(c, at_speed_1_ms, s.estimate_ms, now_ms);
        c.changed = true;
    }
    impl_->evict_excess();
    ++impl_->samples_added;
}

prediction run_time_model::predict(const run_class& kind, time_ms estimate_ms,
                                   time_ms now_ms) const {
    const auto found = impl_->find_evidence(kind, estimate_ms, now_ms);
    if (found.source == nullptr) {
        return {estimate_ms, estimate_ms, 0};
    }
    return {to_ms(found.shape->body_mean * found.unit_ms),
            to_ms(found.shape->long_value * found.unit_ms), weight_at(*found.source, now_ms)};
}

time_ms run_time_model::expected_remaining_ms(const run_class& kind, time_ms estimate_ms,
                                              time_ms elapsed_ms, time_ms now_ms) const {
    elapsed_ms = std::max<time_ms>(elapsed_ms, 0);
    const auto found = impl_->find_evidence(kind, estimate_ms, now_ms);
    if (found.source == nullptr) {
        return std::max<time_ms>(estimate_ms - elapsed_ms, 0);
    }
    const double elapsed = static_cast<double>(elapsed_ms) / found.unit_ms;
    return to_ms(mean_excess(*found.histogram, elapsed) * found.unit_ms);
}

std::vector<encoded_class> run_time_model::take_changed(std::size_t max, time_ms now_ms) {
    impl_->remove_obsolete(now_ms);
    std::vector<encoded_class> taken;
    while (!impl_->removed_keys.empty() && taken.size() < max) {
        taken.push_back({std::move(impl_->removed_keys.back()), ""});
        impl_->removed_keys.pop_back();
    }
    std::vector<class_table::value_type*> changed;
    for (auto& entry : impl_->classes) {
        if (entry.second.changed) {
            changed.push_back(&entry);
        }
    }
    const std::size_t count = std::min(max - taken.size(), changed.size());
    std::partial_sort(
        changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(count), changed.end(),
        [](const auto* a, const auto* b) { return a->second.returned_at < b->second.returned_at; });
    changed.resize(count);
    for (auto* entry : changed) {
        taken.push_back(encode_class(entry->first, entry->second, now_ms));
        entry->second.changed = false;
        entry->second.in_store = true;
        entry->second.returned_at = ++impl_->returns;
    }
    return taken;
}

bool run_time_model::restore(std::string_view key, std::string_view value, time_ms now_ms) {
    const auto decoded = decode_class(key, value, now_ms);
    if (!decoded) {
        return false;
    }
    class_statistics& c = impl_->find_or_add(decoded->first);
    if (!c.in_store) {
        merge(c, decoded->second, now_ms);
        c.in_store = true;
    }
    impl_->evict_excess();
    return true;
}

std::size_t run_time_model::size() const {
    return impl_->classes.size();
}

std::uint64_t run_time_model::samples_added() const {
    return impl_->samples_added;
}

} // namespace fulmarworks::run_times
