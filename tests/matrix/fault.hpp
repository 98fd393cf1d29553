/// \file
/// \brief Faults of the fault matrix and the plan of their occurrence.
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
    silent_connection,
    lost_answer,
    delay,
    store_down,
    store_answer_lost, ///< The store's answer is lost after the write took effect.
    operator_race,
    lapse_of_lease,
    flap,
    cold_again,
};

inline constexpr std::array<const char*, 12> fault_names{
    "kill",          "freeze",         "cut",        "silent_connection",
    "lost_answer",   "delay",          "store_down", "store_answer_lost",
    "operator_race", "lapse_of_lease", "flap",       "cold_again"};

/// Faults of one run, each of which is active in random time windows.
class fault_plan
{
public:
    fault_plan(std::vector<fault> faults, endivestage::random_source& random)
        : faults_(std::move(faults)),
          random_(random)
    {
    }

    /// \returns Faults that start now; each lasts until the end of its window.
    std::vector<fault> advance(std::int64_t now)
    {
        std::vector<fault> started;
        for (const fault it : faults_)
        {
            std::int64_t& until = until_.at(static_cast<std::size_t>(it));
            if (!healed_ && now >= until && random_.below(25) == 0)
            {
                until = now + 300 + static_cast<std::int64_t>(random_.below(3000));
                started.push_back(it);
            }
        }
        return started;
    }

    bool is_active(fault it, std::int64_t now) const
    {
        return !healed_ && until_.at(static_cast<std::size_t>(it)) > now;
    }

    bool contains(fault it) const
    {
        return std::find(faults_.begin(), faults_.end(), it) != faults_.end();
    }

    /// Ends all faults.
    void heal() { healed_ = true; }

private:
    std::vector<fault> faults_;
    endivestage::random_source& random_;
    std::array<std::int64_t, 12> until_{};
    bool healed_ = false;
};

} // namespace matrix
