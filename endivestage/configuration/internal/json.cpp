// The only unit of the library that defines Boost.JSON's functions; all others use its headers.
#include <boost/json/src.hpp>
