// Entry point of every test executable.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
