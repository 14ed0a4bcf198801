#include "poplarstream/base/boot_clock.hpp"

#include <ctime>  // for clock_gettime, CLOCK_BOOTTIME

namespace poplarstream {

TimePoint bootTime()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return timePoint(time.tv_sec * 1000 + time.tv_nsec / 1'000'000);
}

}  // namespace poplarstream
