// Compiles Boost.JSON here, because Debian packages no compiled Boost.JSON for this Boost version.
#include <boost/json/src.hpp>
