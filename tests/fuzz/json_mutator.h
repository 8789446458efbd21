#pragma once

#include "base/json.h"

#include <random>
#include <string>

namespace fulmarworks::fuzz {

/** Mutates JSON documents and texts at random, reproducibly for a seed. Not thread safe. */
class json_mutator {
public:
    explicit json_mutator(unsigned seed) : random_(seed) {}

    /** Returns `document` with one to four of its values replaced, removed, repeated or copied. */
    [[nodiscard]] json mutate(json document);

    /** Returns `text` with one to four edits: bytes replaced, cut off, repeated or erased. */
    [[nodiscard]] std::string corrupt(std::string text);

    /** Returns true with a probability of `percent`. */
    [[nodiscard]] bool chance(unsigned percent) { return random_() % 100 < percent; }

private:
    [[nodiscard]] std::size_t below(std::size_t limit) { return random_() % limit; }
    /** Returns a random value at any depth of the document. */
    [[nodiscard]] json& pick_value(json& document);
    [[nodiscard]] json edge_case_value();
    void mutate_once(json& document);

    std::mt19937 random_;
};

} // namespace fulmarworks::fuzz
