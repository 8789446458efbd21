#include "node/metrics.h"

#include <map>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fulmarworks::node {

namespace {

const prometheus::Histogram::BucketBoundaries& latency_buckets_ms() {
    static const prometheus::Histogram::BucketBoundaries buckets = {
        5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000};
    return buckets;
}

std::string full_name(const std::string& name) {
    return "fulmarworks_" + name;
}

} // namespace

struct metrics::impl {
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
    std::map<std::string, prometheus::Histogram*> histograms;
    std::map<std::string, prometheus::Gauge*> gauges;
};

metrics::metrics() : impl_(std::make_unique<impl>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, const std::string& label_name,
                    const std::string& label_value) {
    auto*& family = impl_->counters[name];
    if (family == nullptr) {
        family = &prometheus::BuildCounter().Name(full_name(name)).Register(impl_->registry);
    }
    family->Add({{label_name, label_value}}).Increment();
}

void metrics::observe_ms(const std::string& name, double value_ms) {
    auto*& histogram = impl_->histograms[name];
    if (histogram == nullptr) {
        histogram = &prometheus::BuildHistogram()
                         .Name(full_name(name))
                         .Register(impl_->registry)
                         .Add({}, latency_buckets_ms());
    }
    histogram->Observe(value_ms);
}

void metrics::set(const std::string& name, double value) {
    auto*& gauge = impl_->gauges[name];
    if (gauge == nullptr) {
        gauge = &prometheus::BuildGauge().Name(full_name(name)).Register(impl_->registry).Add({});
    }
    gauge->Set(value);
}

std::string metrics::serialize() const {
    return prometheus::TextSerializer().Serialize(impl_->registry.Collect());
}

} // namespace fulmarworks::node
