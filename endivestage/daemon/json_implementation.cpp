// The only translation unit with the implementation of Boost.JSON, which is used header-only.
#include <boost/json/src.hpp>
