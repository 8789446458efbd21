#include "service/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace fulmarworks {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

MetricFamily make_family(std::string name, std::string help, MetricType type) {
    MetricFamily f;
    f.name = "fulmarworks_" + std::move(name);
    f.help = std::move(help);
    f.type = type;
    return f;
}

void add_gauge(std::vector<MetricFamily>& families, std::string name, std::string help,
               double value) {
    MetricFamily f = make_family(std::move(name), std::move(help), MetricType::Gauge);
    ClientMetric metric;
    metric.gauge.value = value;
    f.metric.push_back(metric);
    families.push_back(std::move(f));
}

/** Adds a counter family whose `reason` label holds kind and reason, as in
 * "refused.queue_full". */
void add_counters(std::vector<MetricFamily>& families, std::string name, std::string help,
                  const std::map<std::string, std::uint64_t>& counters) {
    MetricFamily f = make_family(std::move(name), std::move(help), MetricType::Counter);
    for (const auto& [reason, value] : counters) {
        ClientMetric metric;
        metric.label.push_back({"reason", reason});
        metric.counter.value = static_cast<double>(value);
        f.metric.push_back(metric);
    }
    families.push_back(std::move(f));
}

std::size_t queued_jobs(const ledger_state& s) {
    std::size_t total = 0;
    for (const auto& [account, queue] : s.queues) {
        total += queue.size();
    }
    return total;
}

std::size_t cells_at_risk(const ledger_state& s) {
    return static_cast<std::size_t>(std::count_if(
        s.cells.begin(), s.cells.end(), [](const auto& cell) { return cell.blocks.empty(); }));
}

std::size_t hosts_with_status(const ledger_state& s, host_status status) {
    const auto hosts = s.hosts.hosts();
    return static_cast<std::size_t>(std::count_if(
        hosts.begin(), hosts.end(), [&](const host& h) { return h.status == status; }));
}

void add_gauges(std::vector<MetricFamily>& families, const instance_state& s,
                const process_counts& counts) {
    const ledger_state& l = s.ledger;
    add_gauge(families, "ready", "1 if the instance takes requests", is_ready(s) ? 1 : 0);
    add_gauge(families, "log_available", "1 if the log service answers",
              is_log_available(s) ? 1 : 0);
    add_gauge(families, "next_offset", "Offset of the next record to fold",
              static_cast<double>(l.next_offset));
    add_gauge(families, "config_version", "Version of the configuration in force",
              static_cast<double>(l.config_version));
    add_gauge(families, "queued_jobs", "Jobs that wait", static_cast<double>(queued_jobs(l)));
    add_gauge(families, "known_jobs", "Jobs held, finished ones included",
              static_cast<double>(l.jobs.size()));
    add_gauge(families, "hosts_up", "Hosts that are up",
              static_cast<double>(hosts_with_status(l, host_status::up)));
    add_gauge(families, "hosts_suspect", "Hosts that do not answer",
              static_cast<double>(hosts_with_status(l, host_status::suspect)));
    add_gauge(families, "hosts_lost", "Hosts given up",
              static_cast<double>(hosts_with_status(l, host_status::lost)));
    add_gauge(families, "guarantee_at_risk", "Guaranteed blocks without accelerators",
              static_cast<double>(cells_at_risk(l)));
    add_gauge(families, "fragmentation",
              "Share of free accelerators useless to the largest guarantee", fragmentation_of(l));
    add_gauge(families, "instances", "Live instances", static_cast<double>(l.instances.size()));
    add_gauge(families, "owned_workers", "Workers of owned racks",
              static_cast<double>(s.workers.size()));
    add_gauge(families, "waiting_callers", "Callers that wait for an answer", s.waiting_callers);
    add_gauge(families, "client_bytes", "Bytes exchanged with platform and workers",
              static_cast<double>(counts.bytes_transferred));
    add_gauge(families, "client_memory_bytes", "Memory held for clients",
              static_cast<double>(counts.client_memory_bytes));
    add_gauge(families, "client_connections", "Connections of callers and operators",
              static_cast<double>(counts.client_connections));
}

} // namespace

double fragmentation_of(const ledger_state& s) {
    const promised_shape shape = largest_promised(s.config);
    return shape.total() == 0 ? 0
                              : fragmentation(s.hosts, shape.hosts, shape.accelerators_per_host);
}

std::string render_metrics(const instance_state& s, const process_counts& counts) {
    std::vector<MetricFamily> families;
    add_gauges(families, s, counts);
    add_counters(families, "decisions_total", "Decisions in the log by kind and reason",
                 s.ledger.counters);
    add_counters(families, "instance_total", "Refusals and retries of this instance by reason",
                 s.counters);
    add_counters(families, "client_limits_total", "Limits applied to clients by name",
                 counts.client_limits);
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace fulmarworks
