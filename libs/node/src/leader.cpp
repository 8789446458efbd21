#include "leader.h"

#include "base/log_line.h"
#include "callback_owner.h"
#include "job_loader.h"
#include "progress_writer.h"
#include "registry_view.h"
#include "run_time_store.h"
#include "scheduler/coordinator.h"
#include "start_sender.h"
#include "submission_deletion.h"

#include <unordered_map>

namespace fulmarworks::node {

namespace {

/** Interval of the coordinator's periodic maintenance. */
constexpr time_ms tick_ms = 25;
/** Time that the handling of one event takes from which a line is logged. */
constexpr time_ms logged_event_ms = 100;

scheduler::job_state reported_state(const scheduler::job& j) {
    if (scheduler::is_final(j.visible_state)) {
        return j.visible_state;
    }
    return j.started ? scheduler::job_state::running : scheduler::job_state::queued;
}

} // namespace

struct leader::impl : callback_owner<impl> {
    leader_context context;
    platform::worker_client workers;
    std::uint64_t epoch = 0;
    time_ms earlier_orders_until_ms = 0;
    operator_requests requests;
    std::function<void()> on_deposed;

    bool deposed = false;
    time_ms started_at = 0;
    /** Monotonic time at which the next tick is due. */
    time_ms tick_due_at = 0;

    std::optional<loaded_jobs> loaded;
    std::vector<scheduler::job_spec> early_submissions;
    std::optional<scheduler::coordinator_state> state;
    std::unique_ptr<progress_writer> writer;
    std::unique_ptr<start_sender> starts;
    /** Null unless run times are learned. */
    std::unique_ptr<run_time_store> learned_run_times;

    std::uint64_t next_request = 1;
    std::unordered_map<std::uint64_t, std::function<void(const job_answer&)>> pending_cancels;

    std::shared_ptr<read_limiter> page_reads;
    std::unique_ptr<job_loader> loader;
    std::unique_ptr<registry_view> registry;

    explicit impl(const leader_context& c)
        : context(c), workers(c.http),
          page_reads(std::make_shared<read_limiter>(max_page_reads(c.link_mbps))) {}

    void start() {
        started_at = boottime_now();
        workers.set_fencing_token(epoch);
        context.log.write("leader_started", "epoch=" + std::to_string(epoch));
        starts = std::make_unique<start_sender>(
            start_sender_context{context.http, workers, context.peer_hosts, context.counters, epoch,
                                 make_start_routing(context.link_mbps, started_at)});
        load_jobs();
        writer = std::make_unique<progress_writer>(progress_writer_context{
            context.loop, context.store, context.log, context.counters, epoch,
            [this] { loader->load_progress(); }, [this] { handle(scheduler::records_stored{}); },
            [this] { depose("store_fenced"); }});
        registry = std::make_unique<registry_view>(registry_view_context{
            context.loop, context.store, context.log, page_reads, [this] { try_recover(); },
            [this](const scheduler::workers_reported& read) { handle(read); }});
        schedule_tick();
    }

    void schedule_tick() {
        tick_due_at = boottime_now() + tick_ms;
        run_after(context.loop, tick_ms, [](impl& i) { i.tick(); });
    }

    /** Returns the time with the delay of the tick that is due. */
    [[nodiscard]] scheduler::instant now() const {
        const time_ms at = boottime_now();
        return {at, wall_now(), std::max<time_ms>(0, at - tick_due_at)};
    }

    void depose(const char* reason) {
        if (deposed) {
            return;
        }
        deposed = true;
        context.log.write("leader_deposed", "epoch=" + std::to_string(epoch) + " reason=" + reason);
        run_after(context.loop, 0, [](impl& i) { i.on_deposed(); });
    }

    void load_jobs() {
        loader = std::make_unique<job_loader>(job_loader_context{
            context.loop, context.store, context.log, page_reads,
            [this](loaded_jobs found) {
                loaded = std::move(found);
                try_recover();
            },
            [this](scheduler::job_spec spec) { submission_read(std::move(spec)); }});
    }

    void submission_read(scheduler::job_spec spec) {
        if (!state) {
            early_submissions.push_back(std::move(spec)); // kept until the registry is loaded
        } else if (!state->jobs.contains(spec.id)) {
            handle(scheduler::job_submitted{std::move(spec)});
        }
    }

    void try_recover() {
        if (state || !loaded || !registry || !registry->loaded()) {
            return;
        }
        state = scheduler::recover(context.limits, std::move(loaded->jobs), now(),
                                   earlier_orders_until_ms);
        state->deleted_jobs = std::move(loaded->orphaned_progress);
        loaded.reset();
        for (const auto& id : state->unreadable_jobs) {
            context.log.write("progress_unreadable", "request=" + log_text(id));
        }
        context.log.write("leader_ready",
                          "epoch=" + std::to_string(epoch) +
                              " jobs=" + std::to_string(state->jobs.size()) +
                              " took_ms=" + std::to_string(boottime_now() - started_at));
        apply_requests();
        const scheduler::workers_reported workers_read = registry->take_loaded();
        handle(workers_read);
        for (auto& spec : std::exchange(early_submissions, {})) {
            submission_read(std::move(spec));
        }
        handle(scheduler::tick{});
        context.log.write("leader_loaded",
                          "phase=applied records=" + std::to_string(workers_read.changes.size()) +
                              " took_ms=" + std::to_string(boottime_now() - started_at));
        if (context.limits.learned_run_times) {
            learned_run_times = std::make_unique<run_time_store>(
                run_time_store_context{context.loop, context.store, context.log, context.counters,
                                       epoch, state->run_times});
        }
    }

    void apply_requests() {
        if (state && state->queues.version < requests.queues.version) {
            handle(scheduler::queues_changed{requests.queues});
        }
        if (state && state->account_guarantees != requests.guarantees) {
            handle(scheduler::guarantees_changed{requests.guarantees});
        }
        if (state && state->evacuated_domains != requests.evacuated_domains) {
            handle(scheduler::evacuations_changed{requests.evacuated_domains});
        }
    }

    void tick() {
        if (state) {
            registry->log_age();
            handle(scheduler::tick{});
        }
        schedule_tick();
    }

    void handle(const scheduler::event& e) {
        if (!state || deposed) {
            return;
        }
        // One reading of the clock for the check and for all deadlines: a process that is suspended
        // in between gives orders that expire as if it had not been.
        const scheduler::instant at = now();
        if (!context.may_act(at.monotonic_ms)) {
            depose("lease_over");
            return;
        }
        scheduler::effects out;
        scheduler::reduce(*state, at, e, out);
        for (auto& effect : out) {
            std::visit([this](auto& value) { execute(value); }, effect);
        }
        starts->flush();
        const time_ms took_ms = boottime_now() - at.monotonic_ms;
        context.counters.observe_ms("leader_event_ms", static_cast<double>(took_ms));
        if (took_ms >= logged_event_ms) {
            context.log.write("leader_event_slow",
                              "kind=" + std::to_string(e.index()) +
                                  " took_ms=" + std::to_string(took_ms) +
                                  " effects=" + std::to_string(out.size()) +
                                  " waiting_jobs=" + std::to_string(state->waiting_jobs.size()) +
                                  " workers=" + std::to_string(state->workers.size()));
        }
    }

    void execute(scheduler::store_records& records) {
        std::vector<platform::keyed_record> batch;
        for (auto& r : records.records) {
            batch.push_back({std::move(r.job), std::move(r.value)});
        }
        writer->write(std::move(batch));
    }

    void execute(const scheduler::delete_submissions& ended) {
        delete_submissions(context.store, ended.jobs,
                           guarded([](impl& i, const std::vector<std::string>& ids) {
                               i.handle(scheduler::submissions_deleted{ids});
                           }));
    }

    void execute(scheduler::send_start& order) {
        const auto owner = state->jobs.find(order.task.job);
        const std::string accepted_by =
            owner == state->jobs.end() ? "" : owner->second->spec.accepted_by;
        starts->send(
            std::move(order), accepted_by,
            guarded([](impl& i, const scheduler::start_answered& answer) { i.handle(answer); }));
    }

    void execute(const scheduler::send_stop& order) {
        context.counters.count("orders_total", "kind", "stop");
        workers.stop(order, guarded([](impl& i, const scheduler::stop_answered& answer) {
                         i.handle(answer);
                     }));
    }

    void execute(const scheduler::send_poll& order) {
        const time_ms sent_at = boottime_now();
        workers.poll(order, guarded([sent_at](impl& i, const scheduler::event& answer) {
                         i.poll_done(answer, sent_at);
                     }));
    }

    void poll_done(scheduler::event answer, time_ms sent_at) {
        if (auto* answered = std::get_if<scheduler::poll_answered>(&answer)) {
            answered->sent_at_ms = sent_at;
        }
        handle(answer);
    }

    void execute(const scheduler::answer_cancel& answer) {
        const auto found = pending_cancels.find(answer.request);
        if (found == pending_cancels.end()) {
            return;
        }
        const auto done = std::move(found->second);
        pending_cancels.erase(found);
        done({true, answer.known, ""});
    }

    void execute(const scheduler::leadership_lost&) { depose("worker_fenced"); }

    void execute(const scheduler::decision& d) {
        context.counters.count("decisions_total", "event", d.name);
        context.log.write(d.name, d.fields);
    }

    [[nodiscard]] job_answer look_up(const std::string& id) const {
        const auto found = state->jobs.find(id);
        if (found == state->jobs.end()) {
            return {true, false, ""};
        }
        return {true, true, std::string(name_of(reported_state(*found->second)))};
    }
};

leader::leader(const leader_context& context, std::uint64_t epoch, time_ms earlier_orders_until_ms,
               operator_requests requests, std::function<void()> on_deposed)
    : impl_(std::make_shared<impl>(context)) {
    impl_->epoch = epoch;
    impl_->earlier_orders_until_ms = earlier_orders_until_ms;
    impl_->requests = std::move(requests);
    impl_->on_deposed = std::move(on_deposed);
    impl_->start();
}

leader::~leader() {
    impl_->disable_callbacks();
    for (auto& [request, done] : impl_->pending_cancels) {
        done({});
    }
}

bool leader::ready() const {
    return impl_->state.has_value() && !impl_->deposed;
}

void leader::set_requests(const operator_requests& requests) {
    impl_->requests = requests;
    impl_->apply_requests();
}

void leader::query(const std::string& job, std::function<void(const job_answer&)> done) {
    if (!ready()) {
        done({});
        return;
    }
    const job_answer answer = impl_->look_up(job);
    if (answer.known) {
        done(answer);
        return;
    }
    // The submission may be stored but not read yet.
    impl_->loader->catch_up(job, [weak_self = std::weak_ptr<impl>(impl_), job, done](bool ok) {
        const auto self = weak_self.lock();
        if (!self || self->callbacks_disabled() || !ok) {
            done({});
            return;
        }
        const job_answer newest = self->look_up(job);
        if (!newest.known) {
            self->context.log.write("job_unknown", "request=" + job + " known_jobs=" +
                                                       std::to_string(self->state->jobs.size()));
        }
        done(newest);
    });
}

void leader::cancel(const std::string& job, std::function<void(const job_answer&)> done) {
    query(job, [weak_self = std::weak_ptr<impl>(impl_), job, done](const job_answer& answer) {
        const auto self = weak_self.lock();
        if (!self || self->callbacks_disabled() || !answer.known) {
            done(answer);
            return;
        }
        const std::uint64_t request = self->next_request++;
        self->pending_cancels[request] = done;
        self->handle(scheduler::cancel_requested{job, request});
    });
}

std::size_t leader::pending(const std::string& queue) const {
    return ready() ? scheduler::pending_jobs(*impl_->state, queue) : 0;
}

const scheduler::coordinator_state* leader::state() const {
    return ready() ? &*impl_->state : nullptr;
}

} // namespace fulmarworks::node
