set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE}")
endif()

find_package(Threads REQUIRED)
find_package(fmt REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(nng REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(SODIUM_LIBRARY sodium REQUIRED)
find_package(tomlplusplus REQUIRED)

option(POPLAR_TESTS "Build tests, stand-ins and benchmarks" ON)
if(POPLAR_TESTS)
  find_package(GTest REQUIRED)
  find_package(benchmark REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

# Assertions stay on in tests and in the program: a broken invariant must end the process
# before it acts, since a replacement replays the log and reaches the last good state.
string(REPLACE "-DNDEBUG" "" CMAKE_CXX_FLAGS_RELEASE "${CMAKE_CXX_FLAGS_RELEASE}")

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
# A designated initializer that leaves a field out means its default member initializer.
add_compile_options(-Wno-missing-field-initializers)
# GCC 12 reports false positives for these inside Boost and std::variant at -O2 and above.
add_compile_options(-Wno-maybe-uninitialized -Wno-restrict -Wno-array-bounds
                    -Wno-stringop-overflow -Wno-stringop-overread -Wno-dangling-pointer)
add_compile_definitions(BOOST_ERROR_CODE_HEADER_ONLY BOOST_ASIO_NO_DEPRECATED)

set(POPLAR_SANITIZE "" CACHE STRING "address or thread")
if(POPLAR_SANITIZE STREQUAL "address")
  add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all -g -O1)
  add_link_options(-fsanitize=address,undefined)
elseif(POPLAR_SANITIZE STREQUAL "thread")
  add_compile_options(-fsanitize=thread -g -O1)
  add_link_options(-fsanitize=thread)
endif()
