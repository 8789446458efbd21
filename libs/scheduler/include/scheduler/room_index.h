#pragma once

#include "scheduler/worker.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace fulmarworks::scheduler {

/** Number of a room in the index; numbers of removed rooms are given out again. */
using room_number = std::size_t;

/** What one worker has left for tasks. */
struct worker_room {
    /** Id of the worker. */
    std::string id;
    /** Null while the number is unused. */
    const worker* host = nullptr;
    /** Not booked by anything. */
    resources free;
    /** `free` and what is being stopped. */
    resources soon;
    /** New tasks may be placed here. */
    bool open = false;
};

/** Rooms of one rack, with sums over the open ones that let hopeless searches end early. */
struct rack_rooms {
    std::vector<room_number> rooms;
    std::int64_t free_accelerators = 0;
    std::int64_t soon_accelerators = 0;
    std::int64_t all_accelerators = 0;
};

/** A change of one room, as far as a plan books it. */
struct room_change {
    room_number room = 0;
    resources free;
    resources soon;
};

/**
 * The rooms of all workers, ordered for best-fit searches.
 *
 * A decision costs a few steps of a tree instead of a pass over all workers. The index doesn't
 * watch the workers: whoever changes something that a room follows from calls `mark`, and the next
 * plan measures just the marked rooms again. Not thread safe.
 */
class room_index {
public:
    /** Free accelerators, free memory, room: the order in which a best fit is searched. */
    using search_key = std::tuple<std::int64_t, std::int64_t, room_number>;

    /** Notes that the room of a worker may have changed, that it is new or that it is gone. */
    void mark(const std::string& worker) { marked_.insert(worker); }

    /** Returns the marked workers and forgets the marks. */
    [[nodiscard]] std::set<std::string> take_marked();

    /** Takes over a room as measured. Precondition: `measured.host` stays where it is until the
     * room is removed. */
    void set(worker_room measured);
    void remove(const std::string& worker);

    /** Books a change that a plan proposes; the room is marked, so that it is measured again. */
    void adjust(const room_change& change);
    /** Takes an adjustment back. */
    void revert(const room_change& change);

    [[nodiscard]] const worker_room& at(room_number room) const { return rooms_[room]; }
    /** Returns the room of a worker; null if it has none. */
    [[nodiscard]] const room_number* find(const std::string& worker) const;
    /** Returns all rooms; unused ones have no host. */
    [[nodiscard]] std::span<const worker_room> all() const { return rooms_; }

    /** Returns the open rooms of a pool. */
    [[nodiscard]] const std::set<search_key>& open_in(const std::string& pool) const;
    /** Returns the rooms in which something is being stopped. */
    [[nodiscard]] const std::set<room_number>& with_stops() const { return with_stops_; }

    /** Returns the rack of a name; null without any worker there. */
    [[nodiscard]] const rack_rooms* rack(const std::string& name) const;
    /** Free accelerators and name of a rack. */
    using rack_key = std::pair<std::int64_t, std::string_view>;

    /** Returns all racks, the fullest first. */
    [[nodiscard]] const std::map<rack_key, const rack_rooms*>& racks() const {
        return racks_by_free_;
    }

    /** Accelerators of all open rooms. */
    [[nodiscard]] std::int64_t free_accelerators() const { return free_accelerators_; }
    [[nodiscard]] std::int64_t all_accelerators() const { return all_accelerators_; }

private:
    /** The worker's report as of the time when its room was entered. */
    struct entry_place {
        std::string pool;
        std::string rack;
        std::int64_t accelerators = 0;
    };

    void join_rack(room_number room);
    void leave_rack(room_number room);
    /** Adds the room to, or takes it out of, everything that is ordered or summed by its values. */
    void enter(room_number room);
    void withdraw(room_number room);

    std::vector<worker_room> rooms_;
    std::vector<entry_place> places_;
    std::vector<room_number> unused_;
    std::unordered_map<std::string, room_number> numbers_;
    std::map<std::string, std::set<search_key>> open_;
    std::set<room_number> with_stops_;
    std::map<std::string, rack_rooms> racks_;
    std::map<rack_key, const rack_rooms*> racks_by_free_;
    std::set<std::string> marked_;
    std::int64_t free_accelerators_ = 0;
    std::int64_t all_accelerators_ = 0;
};

} // namespace fulmarworks::scheduler
