# poplar_module(<name> [USES <module>...] [LIBRARIES <library>...])
#
# Defines the library poplar_<name> from src/poplarstream/<name>/*.cpp and, when there are
# *_test.cpp files beside them, the test program poplar_<name>_test.
function(poplar_module name)
  cmake_parse_arguments(ARG "" "" "USES;LIBRARIES" ${ARGN})
  set(dir "${CMAKE_SOURCE_DIR}/src/poplarstream/${name}")
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS "${dir}/*.cpp")
  if(NOT sources)
    return()
  endif()
  set(tests ${sources})
  list(FILTER sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER tests INCLUDE REGEX "_test\\.cpp$")

  set(target poplar_${name})
  set(used "")
  foreach(module IN LISTS ARG_USES)
    if(TARGET poplar_${module})
      list(APPEND used poplar_${module})
    endif()
  endforeach()
  add_library(${target} STATIC ${sources})
  target_include_directories(${target} PUBLIC "${CMAKE_SOURCE_DIR}/include"
                             PRIVATE "${CMAKE_SOURCE_DIR}/src")
  target_link_libraries(${target} PUBLIC ${used} ${ARG_LIBRARIES} fmt::fmt
                        nlohmann_json::nlohmann_json Threads::Threads ${XXHASH_LIBRARY})

  target_compile_definitions(${target} PRIVATE POPLAR_VERSION="${PROJECT_VERSION}")

  if(tests AND POPLAR_TESTS)
    add_executable(${target}_test ${tests})
    target_include_directories(${target}_test PRIVATE "${CMAKE_SOURCE_DIR}/src")
    target_compile_definitions(${target}_test PRIVATE
                               POPLAR_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    # The history checker may be defined after the module whose tests use it.
    target_link_libraries(${target}_test PRIVATE ${target} ${RAPIDCHECK_LIBRARY}
                          $<TARGET_NAME_IF_EXISTS:poplar_history>
                          GTest::gtest_main)
    add_test(NAME ${name} COMMAND ${target}_test)
  endif()
endfunction()
