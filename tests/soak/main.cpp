#include "base/time.h"
#include "soak_run.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

/** Runs one seed and prints the report. Returns whether no invariant was violated. */
bool run_and_print(const soak_options& options, bool verbose) {
    const soak_report report = run_seed(options);
    std::cout << report.summary << (report.violations.empty() ? "" : "  FAILED") << std::endl;
    if (verbose || !report.violations.empty()) {
        for (const auto& line : report.faults) {
            std::cout << "  " << line << "\n";
        }
    }
    for (const auto& line : report.evidence) {
        std::cout << "  " << line << "\n";
    }
    for (const auto& line : report.violations) {
        std::cout << "  violation: " << line << "\n";
    }
    return report.violations.empty();
}

} // namespace

/** Runs consecutive seeds for the given number of seeds or, without one, for the given minutes. */
int main(int argc, char** argv) {
    TCLAP::CmdLine command(
        "Injects random faults into real entry hosts on stand-ins of the platform.", ' ', "test");
    TCLAP::ValueArg<unsigned> seed("s", "seed", "First seed", false, 1, "N", command);
    TCLAP::ValueArg<unsigned> seeds("n", "seeds", "Number of seeds; 0 runs for --minutes", false, 0,
                                    "N", command);
    TCLAP::ValueArg<double> minutes("m", "minutes", "Run time if --seeds is 0", false, 1, "M",
                                    command);
    TCLAP::ValueArg<std::string> logs("l", "logs", "Directory to keep logs in", false, "", "DIR",
                                      command);
    TCLAP::ValueArg<std::string> binary("b", "binary", "Program of the entry hosts", false, "",
                                        "FILE", command);
    TCLAP::ValueArg<int> hosts("e", "entry-hosts", "Number of entry hosts", false, 4, "N", command);
    TCLAP::ValueArg<int> workers("w", "workers", "Number of workers", false, 12, "N", command);
    TCLAP::ValueArg<int> interval("i", "job-interval", "Milliseconds between submissions", false,
                                  120, "MS", command);
    TCLAP::ValueArg<double> share("", "cpu-share",
                                  "Share of a core to which each host is held; 0: unlimited", false,
                                  0, "SHARE", command);
    TCLAP::ValueArg<int> large("", "large-hosts", "Hosts that have half a core instead", false, 0,
                               "N", command);
    TCLAP::SwitchArg calm("", "no-faults", "Inject no faults", command);
    TCLAP::SwitchArg series("", "series", "Inject the fixed series of changes, losses and restarts",
                            command);
    TCLAP::SwitchArg crashes("c", "worker-crashes",
                             "Let some tasks crash their workers, and capacities shrink", command);
    TCLAP::SwitchArg verbose("v", "verbose", "Print the faults of every seed", command);
    command.parse(argc, argv);
    const time_ms end =
        monotonic_now() + static_cast<time_ms>(minutes.getValue() * milliseconds_per_minute);
    unsigned seeds_run = 0;
    unsigned failed = 0;
    const auto has_next = [&] {
        return seeds.getValue() > 0 ? seeds_run < seeds.getValue() : monotonic_now() < end;
    };
    for (; has_next(); ++seeds_run) {
        soak_options options;
        options.seed = seed.getValue() + seeds_run;
        options.entry_hosts = hosts.getValue();
        options.workers = workers.getValue();
        options.job_interval_ms = interval.getValue();
        options.cpu_share = share.getValue();
        options.large_hosts = large.getValue();
        options.faults = !calm.getValue();
        options.series = series.getValue();
        options.worker_crashes = crashes.getValue();
        options.binary = binary.getValue();
        options.keep_logs_in = logs.getValue();
        failed += run_and_print(options, verbose.getValue()) ? 0 : 1;
    }
    std::cout << seeds_run << " seeds, " << failed << " with violations\n";
    return failed == 0 ? 0 : 1;
}
