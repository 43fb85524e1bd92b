#define BOOST_TEST_MODULE heathergate
#include <boost/test/unit_test.hpp>
