#include "rule_book.h"

#include <catch2/catch.hpp>

using namespace fulmarworks;
using namespace fulmarworks::soak;

namespace {

constexpr scheduler::resources capacity{128000, 262144, 8};
constexpr scheduler::resources one{1000, 1024, 1};
constexpr scheduler::resources too_much{1000, 1024, 9};

/** A book with one accepted job: step 0 has two tasks, step 1 one task that depends on it. */
struct book_fixture {
    rule_book book;
    task_name first = parse_task_name("a.0.0.0");
    task_name second = parse_task_name("a.0.0.1");
    task_name later = parse_task_name("a.0.1.0");

    book_fixture() {
        caller_view view;
        view.shape.steps = {{2, one, 100, false, {}}, {1, one, 100, false, {0}}};
        view.accepted = true;
        view.accepted_at = monotonic_now();
        book.jobs["a"] = view;
    }

    void run(const task_name& task, const std::string& how) {
        book.started(task, 1, "w1", one, capacity);
        book.ended(task, how);
        book.observed(task, how);
    }

    void run_all() {
        run(first, "done");
        run(second, "done");
        run(later, "done");
    }

    [[nodiscard]] std::string broken() const {
        return book.broken().empty() ? "" : book.broken().front().substr(0, 5);
    }
};

} // namespace

TEST_CASE("a job that runs and ends as it should breaks no rule") {
    book_fixture f;
    f.run_all();
    f.book.shown("a", "completed");
    f.book.check_end();
    CHECK(f.broken().empty());
}

TEST_CASE("two runs of a task at one time break TWICE") {
    book_fixture f;
    f.book.started(f.first, 1, "w1", one, capacity);
    f.book.started(f.first, 2, "w2", one, capacity);
    CHECK(f.broken() == "TWICE");
}

TEST_CASE("a run after a confirmed end breaks TWICE") {
    book_fixture f;
    f.run(f.first, "done");
    f.book.started(f.first, 2, "w2", one, capacity);
    CHECK(f.broken() == "TWICE");
}

TEST_CASE("a start beyond the capacity breaks LIMIT") {
    book_fixture f;
    f.book.started(f.first, 1, "w1", too_much, capacity);
    CHECK(f.broken() == "LIMIT");
}

TEST_CASE("a start before the steps that it depends on breaks ORDER") {
    book_fixture f;
    f.run(f.first, "done");
    f.book.started(f.later, 1, "w1", one, capacity);
    CHECK(f.broken() == "ORDER");
}

TEST_CASE("a start after the last attempt breaks BUDGET") {
    book_fixture f;
    for (int i = 0; i < 4; ++i) {
        f.run(f.first, "failed");
    }
    CHECK(f.broken().empty());
    f.book.started(f.first, 5, "w1", one, capacity);
    CHECK(f.broken() == "BUDGE");
}

TEST_CASE("a start that nobody asked for, or long after the cancellation, breaks UNASKED") {
    book_fixture f;
    f.book.started(parse_task_name("b.0.0.0"), 1, "w1", one, capacity);
    CHECK(f.broken() == "UNASK");
    book_fixture cancelled;
    constexpr time_ms long_ago_ms = 10000;
    cancelled.book.jobs["a"].cancelled_at = monotonic_now() - long_ago_ms;
    cancelled.book.started(cancelled.first, 1, "w1", one, capacity);
    CHECK(cancelled.broken() == "UNASK");
}

TEST_CASE("a job that was refused every time and runs breaks REFUSED") {
    book_fixture f;
    f.book.jobs["a"].accepted = false;
    f.run(f.first, "done");
    f.book.check_end();
    CHECK(f.broken() == "REFUS");
}

TEST_CASE("a job that is shown as completed too soon breaks MIXED") {
    book_fixture f;
    f.run(f.first, "done");
    f.book.shown("a", "completed");
    CHECK(f.broken() == "MIXED");
}

TEST_CASE("an accepted job that is denied, failed without cause or left over breaks LOST") {
    constexpr time_ms long_ago_ms = 10000;
    book_fixture denied;
    denied.book.jobs["a"].accepted_at -= long_ago_ms;
    denied.book.denied("a");
    CHECK(denied.broken() == "LOST:");
    book_fixture failed;
    failed.book.shown("a", "failed");
    CHECK(failed.broken() == "LOST:");
    book_fixture cancelled;
    cancelled.book.shown("a", "cancelled");
    CHECK(cancelled.broken() == "LOST:");
    book_fixture left_over;
    left_over.book.check_end();
    CHECK(left_over.broken() == "LOST:");
}
