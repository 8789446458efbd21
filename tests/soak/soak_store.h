#pragma once

#include "base/json.h"
#include "http/http_server.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fulmarworks::soak {

/** How the stand-in for the platform's store handles calls. */
enum class store_mode {
    up,
    refusing,     // refuses every call
    silent,       // ignores calls and doesn't answer
    slow,         // answers after a delay
    lose_answers, // executes appends but doesn't answer them
    late_appends, // executes appends after a delay and doesn't answer them
};

/**
 * An in-memory stand-in for the platform's log store that implements its protocol: keyed topics,
 * conditional and fenced appends, long-poll reads, and trimmed history. Not thread safe.
 */
class soak_store {
public:
    explicit soak_store(event_loop& loop);

    [[nodiscard]] result<bool> listen(const std::string& address);

    /** Writes a value as the operator or a worker, in any mode; an empty value deletes the key. */
    void put(const std::string& topic, const std::string& key, const std::string& value);

    /** `delay_ms` applies to `slow` and `late_appends`. */
    void set_mode(store_mode mode, time_ms delay_ms);

    /** Refuses all calls for one topic; an empty name ends this. */
    void refuse_topic(const std::string& topic) { refused_topic_ = topic; }

    /** Limits the pages of /log-newest. With 0 they are empty, and tell that more follow. */
    void set_page_items(std::size_t items) { max_page_items_ = items; }

    /** Returns the newest value of a key, or nullopt if the key was deleted or never written. */
    [[nodiscard]] std::optional<std::string> newest_of(const std::string& topic,
                                                       const std::string& key) const;

    /** Limits the bytes that all reads together get in a second; 0 for no limit. A read whose
     * caller has gone takes its share too. */
    void set_read_rate(std::size_t bytes_per_second) { read_bytes_per_second_ = bytes_per_second; }

    /** Trims all history; the newest record of each key remains readable through /log-newest. */
    void trim_history();

private:
    struct record {
        std::string key;
        std::string value;
    };

    /** Position of one producer, and its newest answers, which repeated appends receive again. */
    struct producer_state {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::map<std::uint64_t, std::string> answers;
    };

    struct topic_state {
        std::vector<record> records;
        std::uint64_t first_retained = 0;
        std::map<std::string, std::uint64_t> newest;
        std::map<std::string, producer_state> producers;
    };

    struct waiting_read {
        std::string topic;
        std::uint64_t from = 0;
        std::size_t max_bytes = 0;
        time_ms deadline = 0;
    };

    void handle(const http_request& request, std::uint64_t token);
    void answer(std::uint64_t token, const http_response& response);
    /** Answers a read, after those before it if the rate of reads is limited. */
    void answer_read(std::uint64_t token, const http_response& response);
    http_response append(const http_request& request);
    http_response newest(const http_request& request);
    void read(const http_request& request, std::uint64_t token);
    [[nodiscard]] http_response read_response(const std::string& topic, std::uint64_t from,
                                              std::size_t max_bytes);
    void add(topic_state& topic, std::string key, std::string value);
    void answer_waiting_reads();

    event_loop& loop_;
    store_mode mode_ = store_mode::up;
    time_ms delay_ms_ = 0;
    std::map<std::string, topic_state> topics_;
    std::map<std::uint64_t, waiting_read> waiting_reads_;
    std::string refused_topic_;
    std::size_t max_page_items_ = 500;
    std::size_t read_bytes_per_second_ = 0;
    /** Monotonic time at which the answers of all earlier reads are sent. */
    time_ms reads_busy_until_ = 0;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks::soak
