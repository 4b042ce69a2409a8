# One folder per package. `lapishatch_package(src/routing DEPS http)` makes the library
# `lapishatch_routing` from every .cc of the folder; with PROGRAM NAME, the folder's main.cc becomes
# that program. NAME replaces the folder's name. Files are found by pattern, so adding one needs no change here.

set(LAPISHATCH_PACKAGES "" CACHE INTERNAL "")

function(lapishatch_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror -Wshadow -Wno-maybe-uninitialized
                         -Wno-stringop-overflow -Wno-stringop-overread -Wno-restrict -Wno-array-bounds)
  if(LAPISHATCH_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${LAPISHATCH_SANITIZE} -fno-omit-frame-pointer -g1)
    if(LAPISHATCH_SANITIZE MATCHES "thread")
      # Asio's fences, which the sanitizer does not see; what they order is under a lock as well.
      target_compile_options(${target} PRIVATE -Wno-tsan)
    endif()
    target_link_options(${target} PRIVATE -fsanitize=${LAPISHATCH_SANITIZE})
  endif()
  target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/standins
                             ${CMAKE_SOURCE_DIR}/testing ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${target} PRIVATE BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED
                             BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS BOOST_MPL_LIMIT_LIST_SIZE=50
                             BOOST_MPL_LIMIT_VECTOR_SIZE=50 FUSION_MAX_VECTOR_SIZE=50)
  if(LAPISHATCH_PCH)
    if(NOT TARGET lapishatch_pch)
      file(WRITE ${CMAKE_BINARY_DIR}/pch/pch.cc "")
      add_library(lapishatch_pch OBJECT ${CMAKE_BINARY_DIR}/pch/pch.cc)
      lapishatch_pch_target(lapishatch_pch)
    endif()
    target_precompile_headers(${target} REUSE_FROM lapishatch_pch)
  endif()
endfunction()

function(lapishatch_pch_target target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Werror -Wshadow -Wno-maybe-uninitialized
                         -Wno-stringop-overflow -Wno-stringop-overread -Wno-restrict -Wno-array-bounds)
  if(LAPISHATCH_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${LAPISHATCH_SANITIZE} -fno-omit-frame-pointer -g1)
    if(LAPISHATCH_SANITIZE MATCHES "thread")
      # Asio's fences, which the sanitizer does not see; what they order is under a lock as well.
      target_compile_options(${target} PRIVATE -Wno-tsan)
    endif()
  endif()
  target_compile_definitions(${target} PRIVATE BOOST_LOG_DYN_LINK BOOST_ASIO_NO_DEPRECATED
                             BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS BOOST_MPL_LIMIT_LIST_SIZE=50
                             BOOST_MPL_LIMIT_VECTOR_SIZE=50 FUSION_MAX_VECTOR_SIZE=50)
  target_precompile_headers(${target} PRIVATE <algorithm> <chrono> <cstdint> <deque> <functional> <map>
    <memory> <mutex> <optional> <set> <span> <string> <string_view> <unordered_map> <variant> <vector>
    <boost/leaf.hpp> <boost/asio.hpp> <boost/json.hpp>)
endfunction()

function(lapishatch_package folder)
  cmake_parse_arguments(ARG "" "PROGRAM;NAME" "DEPS" ${ARGN})
  get_filename_component(name ${folder} NAME)
  if(ARG_NAME)
    set(name ${ARG_NAME})
  endif()
  set(target lapishatch_${name})
  if(folder MATCHES "^standins/")
    set(target standin_${name}_lib)
  endif()
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*.cc ${CMAKE_SOURCE_DIR}/${folder}/gen/*.cpp)
  set(main ${CMAKE_SOURCE_DIR}/${folder}/main.cc)
  list(REMOVE_ITEM sources ${main})
  set(deps "")
  foreach(dep ${ARG_DEPS})
    list(APPEND deps lapishatch_${dep})
  endforeach()
  set(libraries ${deps} Threads::Threads Boost::headers Boost::log Boost::log_setup Boost::json
      Boost::thread absl::flags absl::flags_parse absl::flags_usage absl::strings
      tomlplusplus::tomlplusplus PkgConfig::THRIFT PkgConfig::XXHASH)
  if(sources)
    add_library(${target} STATIC ${sources})
    lapishatch_options(${target})
    target_link_libraries(${target} PUBLIC ${libraries})
  else()
    add_library(${target} INTERFACE)
    target_link_libraries(${target} INTERFACE ${libraries})
  endif()
  if(NOT target STREQUAL "lapishatch_${name}")
    add_library(lapishatch_${name} ALIAS ${target})
  endif()
  set(gen_files ${sources})
  list(FILTER gen_files INCLUDE REGEX "/gen/")
  if(gen_files)
    set_source_files_properties(${gen_files} PROPERTIES COMPILE_OPTIONS "-Wno-all;-Wno-extra;-Wno-shadow")
  endif()
  if(ARG_PROGRAM AND EXISTS ${main})
    add_executable(${ARG_PROGRAM} ${main})
    lapishatch_options(${ARG_PROGRAM})
    target_compile_definitions(${ARG_PROGRAM} PRIVATE LAPISHATCH_VERSION="${PROJECT_VERSION}")
    target_link_libraries(${ARG_PROGRAM} PRIVATE ${target})
    set_target_properties(${ARG_PROGRAM} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  endif()
  set(LAPISHATCH_PACKAGES ${LAPISHATCH_PACKAGES} ${target} CACHE INTERNAL "")
endfunction()

# Seconds after which a test program counts as hung. The sanitizers slow the largest down more than tenfold.
set(LAPISHATCH_TEST_LIMIT_S 300)
if(LAPISHATCH_SANITIZE)
  set(LAPISHATCH_TEST_LIMIT_S 1800)
endif()

# Reads KNOWN-RED.txt, lines of `folder: test case | cause | issue`, and gives in `cases` the test cases of
# `folder`, as Catch2 patterns.
function(lapishatch_known_red folder cases)
  set(found "")
  set(file ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  if(EXISTS ${file})
    file(STRINGS ${file} lines REGEX "^${folder}: ")
    foreach(line ${lines})
      string(REGEX REPLACE "^${folder}: *([^|]*[^| ]) *\\|.*$" "\\1" case "${line}")
      string(REPLACE "," "\\," case "${case}")
      list(APPEND found "${case}")
    endforeach()
  endif()
  set(${cases} "${found}" PARENT_SCOPE)
endfunction()

# test/<package>/*.cc become one Catch2 program per package, run by ctest. Cases that KNOWN-RED.txt lists are
# left out of it and make a test of their own, with the label known-red. RapidCheck draws its histories, and the code
# under test its identifiers and jitter, from one seed, so that a run of ctest has the same verdict every time; a
# program run by itself draws anew and prints the seed of a failure, and so does scripts/test --seeds.
set(LAPISHATCH_SEED 20261202)
set(LAPISHATCH_SEED_ENVIRONMENT RC_PARAMS=seed=${LAPISHATCH_SEED} LAPISHATCH_TEST_SEED=${LAPISHATCH_SEED})

function(lapishatch_tests)
  add_library(lapishatch_catch_main OBJECT ${CMAKE_SOURCE_DIR}/test/catch_main.cc)
  target_include_directories(lapishatch_catch_main PRIVATE ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(lapishatch_catch_main PUBLIC Catch2::Catch2)
  if(LAPISHATCH_SANITIZE)
    target_compile_options(lapishatch_catch_main PRIVATE -fsanitize=${LAPISHATCH_SANITIZE})
  endif()
  file(GLOB folders CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/test/*)
  foreach(folder ${folders})
    if(NOT IS_DIRECTORY ${folder})
      continue()
    endif()
    get_filename_component(name ${folder} NAME)
    file(GLOB sources CONFIGURE_DEPENDS ${folder}/*.cc)
    if(NOT sources)
      continue()
    endif()
    set(target test_${name})
    add_executable(${target} ${sources})
    lapishatch_options(${target})
    target_compile_definitions(${target} PRIVATE LAPISHATCH_SOURCE_DIR="${CMAKE_SOURCE_DIR}"
                               LAPISHATCH_BINARY_DIR="${CMAKE_BINARY_DIR}")
    target_link_libraries(${target} PRIVATE lapishatch_catch_main ${LAPISHATCH_PACKAGES} rapidcheck)
    set_target_properties(${target} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/test)
    lapishatch_known_red(${name} red_cases)
    set(all_but_red "")
    foreach(case ${red_cases})
      list(APPEND all_but_red "~${case}")
    endforeach()
    add_test(NAME ${name} COMMAND ${target} ${all_but_red})
    set_tests_properties(${name} PROPERTIES TIMEOUT ${LAPISHATCH_TEST_LIMIT_S}
                         ENVIRONMENT "${LAPISHATCH_SEED_ENVIRONMENT}")
    # Tests that bound what a process holds run apart from other load.
    if(name STREQUAL "crowd")
      set_tests_properties(${name} PROPERTIES RUN_SERIAL ON)
    endif()
    foreach(case ${red_cases})
      add_test(NAME "${name}: ${case}" COMMAND ${target} ${case})
      set_tests_properties("${name}: ${case}" PROPERTIES TIMEOUT ${LAPISHATCH_TEST_LIMIT_S} LABELS known-red
                           ENVIRONMENT "${LAPISHATCH_SEED_ENVIRONMENT}")
    endforeach()
  endforeach()
endfunction()

# Plays scenarios/<name>.toml as ctest `scenario-<name>`, two at a time: their ports are disjoint, and more of them
# would only wait for the processors. KNOWN-RED.txt lists one as
# `scenarios: <name> | cause | issue`.
function(lapishatch_scenarios)
  lapishatch_known_red(scenarios red)
  set(lane 0)
  foreach(name ${ARGN})
    math(EXPR lane "1 - ${lane}")
    add_test(NAME scenario-${name}
             COMMAND lapishatch-scenario ${CMAKE_SOURCE_DIR}/scenarios/${name}.toml)
    set_tests_properties(scenario-${name} PROPERTIES TIMEOUT 180 RESOURCE_LOCK scenarios-${lane})
    if(name IN_LIST red)
      set_tests_properties(scenario-${name} PROPERTIES LABELS known-red)
    endif()
  endforeach()
endfunction()

# bench/<name>.cc becomes bench/<name>, which prints one `name value unit` a line.
function(lapishatch_benches)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/bench/*.cc)
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(bench_${name} ${source})
    lapishatch_options(bench_${name})
    target_link_libraries(bench_${name} PRIVATE ${LAPISHATCH_PACKAGES})
    set_target_properties(bench_${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bench)
  endforeach()
endfunction()
