#include "cases.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <string_view>

using namespace fulmarworks;
using namespace fulmarworks::review;

/** Usage: review-3 CASE RECORD DIRECTORY. TROUBLE=0 leaves the disruption out. Exits with 1 if the
 * rule was broken, 0 if it held, and 2 if the case couldn't run. */
int main(int argc, char** argv) {
    const std::map<std::string_view, int (*)(case_context&)> cases = {
        {"headroom", run_headroom},
        {"worker-losses", run_worker_losses},
        {"earlier-born", run_earlier_born},
        {"late-duplicate", run_late_duplicate},
        {"foreign-entry", run_foreign_entry},
        {"early-cancel", run_early_cancel},
        {"gang-checkpoint", run_gang_checkpoint},
    };
    if (argc != 4 || !cases.contains(argv[1])) {
        std::cerr << "usage: review-3 CASE RECORD DIRECTORY\n";
        return 2;
    }
    record log(argv[2]);
    const char* trouble = std::getenv("TROUBLE");
    case_context context{log, argv[3], trouble == nullptr || std::string_view(trouble) != "0"};
    try {
        const int result = cases.at(argv[1])(context);
        log.note(result == 0   ? "the rule held"
                 : result == 1 ? "the rule was broken"
                               : "the case couldn't run");
        return result;
    } catch (const std::exception& e) {
        log.note(std::string("the case couldn't run: ") + e.what());
        return 2;
    }
}
