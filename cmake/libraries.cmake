# Declares libs/NAME as a static library with its public headers, and its tests as one program.
function(fulmarworks_library NAME)
  cmake_parse_arguments(ARG "" "" "PUBLIC;PRIVATE" ${ARGN})
  file(GLOB SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(${NAME} STATIC ${SOURCES})
  target_include_directories(${NAME} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                                     PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${NAME} PUBLIC ${ARG_PUBLIC} PRIVATE ${ARG_PRIVATE})
  file(GLOB TESTS CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(TESTS AND FULMARWORKS_TESTS)
    add_executable(test_${NAME} ${TESTS})
    target_include_directories(test_${NAME} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(test_${NAME} PRIVATE ${NAME} Catch2::Catch2WithMain rapidcheck)
    add_test(NAME ${NAME} COMMAND test_${NAME})
    set_tests_properties(${NAME} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203")
  endif()
endfunction()

# Lets tests of one library use the fixture of another.
function(fulmarworks_test_fixture NAME FIXTURE_DIRECTORY)
  if(FULMARWORKS_TESTS)
    target_include_directories(test_${NAME} PRIVATE ${FIXTURE_DIRECTORY})
  endif()
endfunction()
