/// \file
/// \brief Faults of the fault matrix.
#pragma once

#include <endivestage/core.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace matrix
{

enum class fault
{
    kill,
    freeze,
    cut,
    silent,
    lost_answer,
    delay,
    store_down,
    lost_effect, ///< The store's answer is lost after the write took effect.
    race,
    lapse,
    flap,
    cold,
};

inline constexpr std::array<const char*, 12> fault_names{
    "kill",          "freeze",         "cut",        "silent_connection",
    "lost_answer",   "delay",          "store_down", "store_answer_lost",
    "operator_race", "lapse_of_lease", "flap",       "cold_again"};

/// Faults of one run and the window in which each is active.
class fault_plan
{
public:
    fault_plan(std::vector<fault> faults, endivestage::random_source& random)
        : faults_(std::move(faults)),
          random_(random)
    {
    }

    /// \returns Faults that begin now; each lasts until its window ends.
    std::vector<fault> advance(std::int64_t now)
    {
        std::vector<fault> begun;
        for (const fault it : faults_)
        {
            std::int64_t& until = until_.at(static_cast<std::size_t>(it));
            if (!healed_ && now >= until && random_.below(25) == 0)
            {
                until = now + 300 + static_cast<std::int64_t>(random_.below(3000));
                begun.push_back(it);
            }
        }
        return begun;
    }

    bool active(fault it, std::int64_t now) const
    {
        return !healed_ && until_.at(static_cast<std::size_t>(it)) > now;
    }

    bool planned(fault it) const
    {
        return std::find(faults_.begin(), faults_.end(), it) != faults_.end();
    }

    void heal() { healed_ = true; }

private:
    std::vector<fault> faults_;
    endivestage::random_source& random_;
    std::array<std::int64_t, 12> until_{};
    bool healed_ = false;
};

} // namespace matrix
