#include "evacuations.h"

#include "platform/documents.h"

namespace fulmarworks::node {

std::set<std::string> evacuated_domains_of(std::span<const platform::logged_record> records) {
    std::set<std::string> domains;
    for (const auto& record : records) {
        apply_evacuation(domains, record);
    }
    return domains;
}

bool apply_evacuation(std::set<std::string>& domains, const platform::logged_record& record) {
    const auto domain = platform::evacuated_domain_of(record.key);
    if (!domain) {
        return false;
    }
    if (record.value.empty()) {
        domains.erase(std::string(*domain));
    } else {
        domains.emplace(*domain);
    }
    return true;
}

} // namespace fulmarworks::node
