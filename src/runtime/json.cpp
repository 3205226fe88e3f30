// Compiles Boost.JSON from its headers, because Debian has no compiled package of it for this Boost version.
#include <boost/json/src.hpp>
