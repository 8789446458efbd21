#include "crowd_checks.h"

#include "soak_client.h"

#include <catch2/catch.hpp>

namespace fulmarworks::crowd {

std::string head_with(const std::string& address_path, const std::string& fields) {
    return ordinary_head("POST", address_path) + fields + "\r\n";
}

void check_usage(crowded_host& host) {
    CHECK(host.is_alive());
    CHECK(host.peak_memory_mb() > 0);
    CHECK(host.peak_memory_mb() <= memory_limit_mb);
    CHECK(host.peak_descriptors() > 0);
    CHECK(host.peak_descriptors() <= descriptor_limit);
}

void check_survives(crowded_host& host, const crowd_plan& plan) {
    {
        hostile_crowd crowd(plan);
        host.run(crowd);
        INFO(crowd.bytes_sent() << " bytes over " << crowd.connections_opened() << " connections, "
                                << crowd.connections_open() << " still open");
        CHECK(host.serves_a_submission());
        CHECK(host.is_ready());
        check_usage(host);
    }
    CHECK(host.serves_a_submission());
    CHECK(host.is_ready());
    check_usage(host);
}

void check_survives(const std::function<crowd_plan(const crowded_host&)>& make_plan) {
    crowded_host host(soak::soak_configuration());
    check_survives(host, make_plan(host));
}

void check_survives_silent_store(crowded_host& host, const crowd_plan& plan) {
    host.store().set_mode(soak::store_mode::lose_answers, 0);
    {
        hostile_crowd crowd(plan);
        host.run(crowd);
        INFO(crowd.bytes_sent() << " bytes over " << crowd.connections_opened() << " connections");
        CHECK(host.is_ready());
        check_usage(host);
        host.store().set_mode(soak::store_mode::up, 0);
        CHECK(host.serves_a_submission());
    }
    CHECK(host.serves_a_submission());
    check_usage(host);
}

} // namespace fulmarworks::crowd
