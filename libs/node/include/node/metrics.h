#pragma once

#include <memory>
#include <string>

namespace fulmarworks::node {

/** Counters and histograms of one process. Not thread safe. */
class metrics {
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /** Increments a counter. Precondition: `name` and `label_value` come from a small fixed set, as
     * each combination becomes a time series. */
    void count(const std::string& name, const std::string& label_name,
               const std::string& label_value);

    /** Adds a latency in milliseconds to a histogram. */
    void observe_ms(const std::string& name, double value_ms);

    /** Sets a gauge. */
    void set(const std::string& name, double value);

    /** Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string serialize() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace fulmarworks::node
