#include "base/time.h"
#include "soak_run.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

/** Plays one seed and prints what came of it; returns whether every promise was kept. */
bool play_and_print(const soak_options& options, bool verbose) {
    const soak_report report = play_seed(options);
    std::cout << report.summary << (report.broken.empty() ? "" : "  BROKEN") << std::endl;
    if (verbose || !report.broken.empty()) {
        for (const auto& line : report.faults) {
            std::cout << "  " << line << "\n";
        }
    }
    for (const auto& line : report.broken) {
        std::cout << "  broken: " << line << "\n";
    }
    return report.broken.empty();
}

} // namespace

/** Plays seeds from the given one on, for the given minutes or the given number of seeds. */
int main(int argc, char** argv) {
    TCLAP::CmdLine command("Random faults against real entry hosts on stand-ins.", ' ', "test");
    TCLAP::ValueArg<unsigned> seed("s", "seed", "First seed", false, 1, "N", command);
    TCLAP::ValueArg<unsigned> seeds("n", "seeds", "Number of seeds", false, 0, "N", command);
    TCLAP::ValueArg<double> minutes("m", "minutes", "Time to play", false, 1, "M", command);
    TCLAP::ValueArg<std::string> logs("l", "logs", "Keep logs here", false, "", "DIR", command);
    TCLAP::ValueArg<int> hosts("e", "entry-hosts", "Entry hosts", false, 4, "N", command);
    TCLAP::ValueArg<int> workers("w", "workers", "Workers", false, 12, "N", command);
    TCLAP::SwitchArg verbose("v", "verbose", "Print the faults of every seed", command);
    command.parse(argc, argv);
    const time_ms end =
        monotonic_now() + static_cast<time_ms>(minutes.getValue() * milliseconds_per_minute);
    unsigned played = 0;
    unsigned broken = 0;
    const auto goes_on = [&] {
        return seeds.getValue() > 0 ? played < seeds.getValue() : monotonic_now() < end;
    };
    for (; goes_on(); ++played) {
        soak_options options;
        options.seed = seed.getValue() + played;
        options.entry_hosts = hosts.getValue();
        options.workers = workers.getValue();
        options.keep_logs_in = logs.getValue();
        broken += play_and_print(options, verbose.getValue()) ? 0 : 1;
    }
    std::cout << played << " seeds, " << broken << " broke a promise\n";
    return broken == 0 ? 0 : 1;
}
