set(REVIEW ${CMAKE_CURRENT_LIST_DIR}/..)
add_library(review_deployment STATIC
  ${REVIEW}/standins-2/tests/deployment.cpp
  ${CMAKE_SOURCE_DIR}/tests/soak/soak_store.cpp
  ${CMAKE_SOURCE_DIR}/tests/harness/child_process.cpp
  ${CMAKE_SOURCE_DIR}/tests/harness/free_ports.cpp)
target_include_directories(review_deployment PUBLIC
  ${REVIEW}/standins-2/tests ${CMAKE_SOURCE_DIR}/tests/soak ${CMAKE_SOURCE_DIR}/tests/harness)
target_link_libraries(review_deployment PUBLIC http)
add_custom_target(review_cases)
foreach(NUMBER 6 7 8 9 10)
  if(EXISTS ${REVIEW}/${NUMBER}/tests/case.cpp)
    add_executable(review_case_${NUMBER} ${REVIEW}/${NUMBER}/tests/case.cpp)
    target_link_libraries(review_case_${NUMBER} PRIVATE review_deployment)
    add_dependencies(review_cases review_case_${NUMBER})
  endif()
endforeach()
