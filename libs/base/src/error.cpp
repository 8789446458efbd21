#include "base/error.h"

namespace fulmarworks {

std::string describe(const error& e) {
    return e.remedy.empty() ? e.message : e.message + "; " + e.remedy;
}

} // namespace fulmarworks
