// The one translation unit that holds the definitions of Boost.JSON.
#include <boost/json/src.hpp>
