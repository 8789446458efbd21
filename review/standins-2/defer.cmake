# Read by the project's own CMake file right after project(): adds the stand-ins of the review once
# the libraries are declared.
set(REVIEW_STANDINS ${CMAKE_CURRENT_LIST_DIR}/standins.cmake)
cmake_language(EVAL CODE "cmake_language(DEFER CALL include [[${REVIEW_STANDINS}]])")
