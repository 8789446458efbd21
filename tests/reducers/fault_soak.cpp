#include "base/time.h"
#include "random_run.h"

#include <cstdlib>
#include <iostream>
#include <string>

using namespace fulmarworks;

/** Runs consecutive seeds for the given minutes; stops at the first seed with a violation. */
int main(int argc, char** argv) {
    std::uint32_t seed = 1;
    double minutes = 1;
    for (int i = 1; i + 1 < argc; i += 2) {
        const std::string option = argv[i];
        if (option == "--seed") {
            seed = static_cast<std::uint32_t>(std::atol(argv[i + 1]));
        } else if (option == "--minutes") {
            minutes = std::atof(argv[i + 1]);
        }
    }
    const time_ms end = monotonic_now() + static_cast<time_ms>(minutes * milliseconds_per_minute);
    int runs = 0;
    for (; monotonic_now() < end; ++seed, ++runs) {
        const auto faults = choose_faults(seed, 1 + static_cast<int>(seed % 8));
        const auto report = run_randomly(seed, faults);
        if (!report.violations.empty()) {
            std::cout << "seed " << seed << " violated:\n";
            for (const auto& line : report.violations) {
                std::cout << "  " << line << "\n";
            }
            return 1;
        }
    }
    std::cout << runs << " runs without a violation\n";
    return 0;
}
