#include "entry_host.h"
#include "free_ports.h"
#include "soak_client.h"
#include "soak_store.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <unistd.h>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr time_ms startup_ms = 2500;
constexpr time_ms call_interval_ms = 20;
constexpr time_ms caller_timeout_ms = 3000;
/** A process is killed this long after SIGTERM. */
constexpr time_ms grace_ms = 6000;
/** A request may stay unanswered if it was sent this long before its connection ended, or later. */
constexpr time_ms loss_slack_ms = 200;

/** An entry host as a process, and callers that use a new connection for each call. */
class stopping_host {
public:
    /** The store refuses calls for `refused_topic`; for none if it is empty. */
    explicit stopping_host(const std::string& refused_topic = "") {
        directory_ = std::filesystem::temp_directory_path().string() + "/fulmarworks-stop-" +
                     std::to_string(getpid());
        std::filesystem::create_directories(directory_);
        const int port = find_free_ports(1 + ports_per_host);
        REQUIRE(store.listen(loopback(port)));
        store.put("keyed.op", "config", soak_configuration());
        store.refuse_topic(refused_topic);
        host_ = make_entry_host(loop_, "entry", directory_, port + 1, loopback(port), 1);
        start_process(host_);
        run_for(startup_ms);
    }
    ~stopping_host() {
        end_process(host_);
        std::filesystem::remove_all(directory_);
    }
    stopping_host(const stopping_host&) = delete;
    stopping_host& operator=(const stopping_host&) = delete;

    void run_for(time_ms duration_ms) {
        loop_.run_until([] { return false; }, duration_ms);
    }

    /** Stops the host under calls of `method`, until its process has ended. */
    void stop_under_calls(const std::string& method) {
        loop_.every(call_interval_ms, [this, method] { call(method); });
        constexpr time_ms warm_up_ms = 500;
        run_for(warm_up_ms);
        host_.process->signal(SIGTERM);
        stopped_at_ = 0;
        const time_ms signal_at = monotonic_now();
        REQUIRE(loop_.run_until([this] { return has_ended(); }, grace_ms));
        stopped_at_ = monotonic_now();
        CHECK(stopped_at_ - signal_at < grace_ms);
        run_for(caller_timeout_ms);
    }

    /** Returns the number of answers with a status, of the calls that must get one. */
    [[nodiscard]] std::map<int, int> answers() const {
        std::map<int, int> counts;
        for (const auto& c : calls_) {
            if (c.sent_at < stopped_at_ - loss_slack_ms) {
                ++counts[c.status];
            }
        }
        return counts;
    }

    /** Returns how many calls were answered in the last moments before the process ended. */
    [[nodiscard]] std::ptrdiff_t last_answers() const {
        constexpr time_ms last_ms = 500;
        return std::count_if(calls_.begin(), calls_.end(), [this](const observed_call& c) {
            return c.status != 0 && c.sent_at > stopped_at_ - last_ms;
        });
    }

private:
    struct observed_call {
        time_ms sent_at = 0;
        /** 0 without an answer. */
        int status = 0;
    };

    event_loop loop_;

public:
    soak_store store{loop_};

private:
    [[nodiscard]] bool has_ended() { return host_.process->wait(0).has_value(); }

    void call(const std::string& method) {
        const std::size_t number = calls_.size();
        calls_.push_back({monotonic_now(), 0});
        std::string id = std::to_string(number);
        id.insert(0, 16 - id.size(), '0');
        http_call c;
        c.method = method;
        c.address = host_.caller_address;
        c.target = "/normal/" + id;
        c.body = method == "POST" ? R"({"spec":"","steps":[{"count":1,"cpu":1000,"gpu":1}]})" : "";
        c.timeout_ms = 2 * caller_timeout_ms;
        c.headers = {{"Host", "soak.example"},
                     {"X-Api-Key", "soak-key"},
                     {"X-Fulmarworks-Deadline-Ms", std::to_string(caller_timeout_ms)}};
        clients_.push_back(std::make_unique<http_client>(loop_));
        clients_.back()->send(c, [this, number](const http_answer& answer) {
            calls_[number].status = answer.status;
        });
    }

    std::string directory_;
    entry_host host_;
    std::vector<std::unique_ptr<http_client>> clients_;
    std::vector<observed_call> calls_;
    time_ms stopped_at_ = 0;
};

} // namespace

// Guards against requests that a stopping host takes and never answers (rule LOST): calls without a
// leader were tried again until their callers' deadlines, which came after the end of the process.
TEST_CASE("a host that stops answers all calls that it has taken, also without a leader") {
    const std::string method = GENERATE("GET", "DELETE");
    stopping_host h("keyed.leadership");
    h.stop_under_calls(method);
    const auto answers = h.answers();
    CHECK_FALSE(answers.contains(0));
    CHECK(answers.at(503) > 0);
    CHECK(h.last_answers() > 0);
}

// An append whose answer is lost may have been carried out: the caller must not be told otherwise.
TEST_CASE("a host that stops says of open submissions that their outcome is unknown") {
    stopping_host h;
    h.store.set_mode(store_mode::lose_answers, 0);
    h.stop_under_calls("POST");
    const auto answers = h.answers();
    CHECK_FALSE(answers.contains(0));
    CHECK(answers.at(504) > 0);
    // Those that come too late for an attempt are refused.
    CHECK(answers.at(503) > 0);
}
