#include "node/decision_log.h"

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::node;

namespace {

/** Collects what is written to standard output during its lifetime. */
class captured_output {
public:
    captured_output() : saved_(dup(STDOUT_FILENO)) {
        REQUIRE(pipe(pipe_.data()) == 0);
        dup2(pipe_[1], STDOUT_FILENO);
    }
    ~captured_output() {
        dup2(saved_, STDOUT_FILENO);
        close(saved_);
        close(pipe_[0]);
        close(pipe_[1]);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    /** Returns what is available; at most what a pipe holds. */
    std::string read() const {
        std::string text(1 << 16, '\0');
        const ssize_t length = ::read(pipe_[0], text.data(), text.size());
        text.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
        return text;
    }

private:
    int saved_;
    std::array<int, 2> pipe_{};
};

std::size_t count(const std::string& text, const std::string& part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

std::string find_request(bool sampled) {
    int number = 0;
    while (is_sampled("job" + std::to_string(number)) != sampled) {
        ++number;
    }
    return "job" + std::to_string(number);
}

} // namespace

// Guards against a complaint about a job that can't be followed, as the bound on lines dropped most
// of them.
TEST_CASE("all lines of a sampled request are written while those of others are cut") {
    const std::string sampled = find_request(true);
    const std::string other = find_request(false);
    constexpr int lines_of_others = 400;
    constexpr std::size_t lines_of_sampled = 40;
    std::string text;
    {
        const captured_output output;
        decision_log log("h");
        for (int i = 0; i < lines_of_others; ++i) {
            log.write("task_placed", "request=" + other + " n=" + std::to_string(i));
        }
        for (std::size_t i = 0; i < lines_of_sampled; ++i) {
            log.write("task_placed", "request=" + sampled + " n=" + std::to_string(i));
        }
        log.flush();
        text = output.read();
    }
    CHECK(count(text, "request=" + sampled + " ") == lines_of_sampled);
    CHECK(count(text, "request=" + other + " ") < lines_of_others);
}

TEST_CASE("about one in sixteen requests is sampled") {
    constexpr int requests = 16'000;
    int sampled = 0;
    for (int i = 0; i < requests; ++i) {
        sampled += is_sampled("21d62217d1" + std::to_string(i)) ? 1 : 0;
    }
    CHECK(sampled > requests / 16 * 9 / 10);
    CHECK(sampled < requests / 16 * 11 / 10);
    CHECK_FALSE(is_sampled(""));
}
