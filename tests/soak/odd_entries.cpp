#include "odd_entries.h"

#include <array>

namespace fulmarworks::soak {

namespace {

constexpr std::size_t depth = 100'000;
constexpr std::size_t record_limit_bytes = 262'144;
constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t longest_key_bytes = 255;
constexpr std::size_t many_labels = 10'000;

std::string repeat(const std::string& text, std::size_t count) {
    std::string all;
    all.reserve(text.size() * count);
    for (std::size_t i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

std::string quoted(const std::string& text) {
    return '"' + text + '"';
}

/** An address at which nothing listens. */
const std::string unused_address = "127.0.0.1:1";

void add_numbers(std::vector<registry_entry>& entries) {
    const std::array<std::string, 10> numbers{"1e400",
                                              "-1e400",
                                              "18446744073709551616",
                                              "9223372036854775808",
                                              "9223372036854775807",
                                              "-9223372036854775808",
                                              "1e308",
                                              "-1e308",
                                              "9007199254740993.5",
                                              "-1"};
    for (const std::string member : {"born", "clockMs", "remainingMs", "cpu", "memMb", "gpu"}) {
        for (const auto& number : numbers) {
            entries.emplace_back("number-" + member + "-" + number,
                                 entry_with(unused_address, member, number));
        }
    }
}

void add_addresses(std::vector<registry_entry>& entries, const std::string& taken_address) {
    const std::array<std::string, 16> addresses{"127.0.0.1:0",
                                                "127.0.0.1:65536",
                                                "127.0.0.1:99999999999",
                                                "127.0.0.1:-1",
                                                "127.0.0.1:http",
                                                "127.0.0.1:",
                                                "127.0.0.1",
                                                "[::1]:80",
                                                "::1:80",
                                                "",
                                                ":80",
                                                "odd host:80",
                                                "127.0.0.1\\r\\nX-Forged: 1:80",
                                                "odd-host.invalid:80",
                                                "255.255.255.255:9",
                                                "127.0.0.1\\u0000:80"};
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        entries.emplace_back("address-" + std::to_string(i),
                             entry_with(addresses[i], "sequence", "1"));
    }
    entries.emplace_back("same-address", entry_with(taken_address, "sequence", "1"));
}

void add_shapes(std::vector<registry_entry>& entries) {
    entries.emplace_back("deep-array", repeat("[", depth));
    entries.emplace_back("deep-closed-array", repeat("[", depth) + repeat("]", depth));
    entries.emplace_back("deep-object", repeat(R"({"a":)", record_limit_bytes / 5));
    entries.emplace_back("deep-member", entry_with(unused_address, "labels",
                                                   repeat("[", depth) + repeat("]", depth)));
    entries.emplace_back("deep-capacity", entry_with(unused_address, "capacity",
                                                     repeat(R"({"a":)", depth / 10) + "1" +
                                                         repeat("}", depth / 10)));
    entries.emplace_back("no-json", "?");
    entries.emplace_back("bytes", std::string("\0\xff\xfe\x80\n\r\"\\", 8));
    entries.emplace_back("array", "[1,2,3]");
    entries.emplace_back("text", quoted("text"));
    entries.emplace_back("null", "null");
    entries.emplace_back("nothing", "{}");
    entries.emplace_back("duplicates",
                         R"({"born":1,"born":{},"address":"127.0.0.1:1","address":7})");
    for (const std::string member : {"service", "zone", "state", "labels", "capacity", "address"}) {
        for (const std::string value : {"null", "7", "{}", "[]", R"([7,"a"])", "true"}) {
            entries.emplace_back("type-" + member + "-" + value,
                                 entry_with(unused_address, member, value));
        }
    }
}

void add_texts(std::vector<registry_entry>& entries) {
    const std::string forged = R"(\nts=1 node=entry event=forged )";
    for (const std::string member : {"service", "zone", "state"}) {
        entries.emplace_back("huge-" + member, entry_with(unused_address, member,
                                                          quoted(std::string(megabyte, 'x'))));
        entries.emplace_back("invalid-utf8-" + member,
                             entry_with(unused_address, member, "\"\xff\xc0\x80\""));
        entries.emplace_back("nul-" + member, entry_with(unused_address, member, R"("a\u0000b")"));
        entries.emplace_back("forged-" + member,
                             entry_with(unused_address, member, quoted(forged)));
    }
    std::string padded = entry_with(unused_address, "zone", quoted(""));
    padded.insert(padded.find(R"("zone":")") + 8,
                  std::string(record_limit_bytes - padded.size(), 'x'));
    entries.emplace_back("record-limit", padded);
    entries.emplace_back(
        "many-labels",
        entry_with(unused_address, "labels", "[" + repeat(R"("a",)", many_labels) + R"("r0"])"));
    entries.emplace_back("unknown-service", entry_with(unused_address, "service", R"("no-pool")"));
}

void add_keys(std::vector<registry_entry>& entries, const std::string& taken_address) {
    const std::vector<std::string> keys{
        "",
        std::string(longest_key_bytes, 'k'),
        std::string(longest_key_bytes, '\xff'),
        "w1 ",
        "w1&dependsOn=a",
        "w1%00",
        "w1+",
        "w1#",
        "w1?x=y",
        "w1\r\nX-Forged: 1",
        "w1\nts=1 node=entry event=forged",
        std::string("w1\0x", 4),
        "w1\xc0\x80",
        "w1\xf0\x9f",
        "\xf8\x88",
        "z\xff",
    };
    for (const auto& key : keys) {
        // Such an entry may even name a worker that answers.
        entries.emplace_back(key, entry_with(taken_address, "sequence", "1"));
        entries.emplace_back("x" + key.substr(0, longest_key_bytes - 1), "?");
    }
}

} // namespace

std::string entry_with(const std::string& address, const std::string& member,
                       const std::string& value) {
    const auto text = [&](const std::string& name, const std::string& usual) {
        return quoted(name) + ":" + (member == name ? value : usual);
    };
    return "{" + text("service", R"("pool")") + "," + text("address", quoted(address)) + "," +
           text("zone", R"("z1")") + "," + text("state", R"("ready")") + "," +
           text("labels", R"(["a","r0"])") + "," + text("born", "1700000000000") + "," +
           text("clockMs", "5000") + "," + text("remainingMs", "0") + "," + text("sequence", "1") +
           "," +
           text("capacity", "{" + text("cpu", "128000") + "," + text("memMb", "262144") + "," +
                                text("gpu", "8") + "}") +
           "}";
}

std::vector<registry_entry> make_odd_entries(const std::string& taken_address) {
    std::vector<registry_entry> entries;
    add_numbers(entries);
    add_addresses(entries, taken_address);
    add_shapes(entries);
    add_texts(entries);
    add_keys(entries, taken_address);
    return entries;
}

} // namespace fulmarworks::soak
