#pragma once

#include "base/enum_names.h"
#include "http/http_server.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace fulmarworks {

/** Fault mode of the log service. */
enum class log_mode { up, down, slow, lose_answers };

template <>
struct enum_names<log_mode> {
    static constexpr enum_name<log_mode> names[] = {{log_mode::up, "up"},
                                                    {log_mode::down, "down"},
                                                    {log_mode::slow, "slow"},
                                                    {log_mode::lose_answers, "lose_answers"}};
};

/**
 * In-memory log service with the interface of docs/PLATFORM.md and an endpoint that injects faults.
 * Not thread safe.
 */
class log_standin {
public:
    log_standin(event_loop& loop, std::size_t max_records, time_ms max_age_ms);

    /** Starts listening. The error message contains the address. */
    [[nodiscard]] result<bool> listen(const std::string& address);

private:
    struct stored_record {
        std::string text;
        time_ms appended_at = 0;
    };

    struct stream {
        std::uint64_t first = 0;
        std::deque<stored_record> records;

        [[nodiscard]] std::uint64_t tail() const { return first + records.size(); }
    };

    struct pending_read {
        std::string stream;
        std::uint64_t from = 0;
        std::size_t limit = 0;
        time_ms answer_by = 0;
    };

    void handle(const http_request& r, std::uint64_t token);
    void control(const http_request& r, std::uint64_t token);
    void append(stream& s, const http_request& r, std::uint64_t token);
    void read(const std::string& name, const http_request& r, std::uint64_t token);
    void answer_read(std::uint64_t token, const pending_read& reader);
    void answer_readers(bool changed_only);
    void trim();

    event_loop& loop_;
    std::size_t max_records_;
    time_ms max_age_ms_;
    log_mode mode_ = log_mode::up;
    time_ms delay_ms_ = 0;
    std::uint64_t appends_ = 0;
    std::map<std::string, stream> streams_;
    std::map<std::uint64_t, pending_read> readers_;
    std::unique_ptr<http_server> server_;
};

} // namespace fulmarworks
