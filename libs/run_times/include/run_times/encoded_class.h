#pragma once

#include <string>

namespace fulmarworks::run_times {

/** Statistics of one class as a record for the store. */
struct encoded_class {
    std::string key;
    /** MessagePack with a layout version. */
    std::string value;
};

} // namespace fulmarworks::run_times
