#include <endivestage/ownership/permit_stamp.hpp>

#include <endivestage/ownership/owner.hpp>

namespace endivestage
{

std::error_code check_permit(const permit_stamp& permit, const view& newest,
                             time_point requested_at, time_point now, millis time_to_use)
{
    if (now - requested_at >= time_to_use)
    {
        return make_error_code(errc::deadline_exceeded);
    }
    if (newest.number > permit.view_number)
    {
        const member* owner = owner_of(newest, permit.endpoint);
        if (owner == nullptr || owner->id != permit.owner ||
            owner->incarnation != permit.owner_incarnation)
        {
            return make_error_code(errc::stale_view);
        }
    }
    return {};
}

} // namespace endivestage
