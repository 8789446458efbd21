#pragma once

#include "base/json.h"

#include <random>
#include <string>

namespace fulmarworks::fuzz {

/** Changes documents at random. The same seed gives the same documents. Not thread safe. */
class json_mutator {
public:
    explicit json_mutator(unsigned seed) : random_(seed) {}

    /** Returns `document` with one to four of its values replaced, dropped, repeated or moved. */
    [[nodiscard]] json change(json document);

    /** Returns `text` with some bytes flipped, cut off or repeated. */
    [[nodiscard]] std::string damage(std::string text);

    /** Returns whether something that happens in `percent` of all cases happens. */
    [[nodiscard]] bool chance(unsigned percent) { return random_() % 100 < percent; }

private:
    [[nodiscard]] std::size_t below(std::size_t limit) { return random_() % limit; }
    /** Walks down to a random value. */
    [[nodiscard]] json& pick(json& document);
    [[nodiscard]] json strange_value();
    void change_once(json& document);

    std::mt19937 random_;
};

} // namespace fulmarworks::fuzz
