#include "model/configuration_document.h"

#include <catch2/catch.hpp>
#include <random>

using namespace fulmarworks;

namespace {

const std::string valid_document = R"(
failure_domains: [{name: d1}]
host_pools:
  - name: p1
    failure_domain: d1
    racks: [{name: r1, hosts: 2}]
    accelerators: 8
    cores: 16
    memory: 64GB
client_accounts: [{name: a1}]
guarantees: [{name: g1, client_account: a1, host_pool: p1, hosts: 2, accelerators_per_host: 8}]
retry_policies: [{name: once, max_attempts: 1}]
job_classes: [{name: c1, retry_policy: once}]
)";

std::vector<configuration_fault> faults_of(const std::string& yaml,
                                           const configuration& base = {}) {
    std::vector<configuration_fault> faults;
    (void)evaluate_document(base, yaml, faults);
    return faults;
}

bool has_message_with_remedy(const std::vector<configuration_fault>& faults,
                             const std::string& text) {
    for (const auto& fault : faults) {
        if (fault.message.find(text) != std::string::npos) {
            return !fault.remedy.empty();
        }
    }
    return false;
}

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a valid configuration has no errors") {
    CHECK(faults_of(valid_document).empty());
}

TEST_CASE("each kind of error is reported with a remedy") {
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "client_account: a1", "client_account: zz")),
        "zz"));
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "memory: 64GB", "memory: 64")), "wrong unit"));
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "cores: 16", "coars: 16")), "unknown field"));
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "{name: a1}", "{name: a1}, {name: a1}")), "twice"));
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "{name: d1}", "{name: d1}, {name: d2}")),
        "unused"));
    CHECK(has_message_with_remedy(
        faults_of(replace_first(valid_document, "hosts: 2, acc", "hosts: 3, acc")), "packed"));
    CHECK(has_message_with_remedy(faults_of("a: [unclosed"), "not valid YAML"));
}

TEST_CASE("an error reports its line") {
    const auto faults = faults_of(replace_first(valid_document, "memory: 64GB", "memory: much"));
    REQUIRE(faults.size() == 1);
    CHECK(faults.front().line == 9);
}

TEST_CASE("edits put and delete objects by name") {
    std::vector<configuration_fault> faults;
    const configuration base = evaluate_document({}, valid_document, faults);
    const auto edited = evaluate_document(
        base, "based_on: 1\nedits:\n  - put: {client_account: {name: a1, weight: 5}}\n", faults);
    REQUIRE(faults.empty());
    CHECK(find_named(edited.client_accounts, "a1")->weight == 5);
    CHECK(has_message_with_remedy(faults_of("edits: [{delete: {client_account: a1}}]", base),
                                  "unknown"));
    CHECK(has_message_with_remedy(faults_of("edits: [{delete: {client_account: a9}}]", base),
                                  "no such object"));
}

TEST_CASE("mutated documents do not crash the parser or the checks") {
    std::mt19937 random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string mutated = valid_document;
        for (int edits = 0; edits < 3; ++edits) {
            mutated[random() % mutated.size()] = static_cast<char>(random() % 128);
        }
        (void)faults_of(mutated);
    }
    SUCCEED();
}
