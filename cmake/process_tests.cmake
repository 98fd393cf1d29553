# Tests of whole fleets on loopback. They share addresses and load the machine, so they run one at
# a time; the timeouts only end a hanging run.
set(PROCESS_TEST_NET 77 CACHE STRING "Second octet of the loopback addresses of process tests")
add_test(NAME demo COMMAND "${CMAKE_SOURCE_DIR}/scripts/demo" --no-build)
add_test(NAME faults_processes COMMAND "${CMAKE_SOURCE_DIR}/scripts/faults-processes")
set_tests_properties(demo faults_processes PROPERTIES
  ENVIRONMENT "BUILD=${CMAKE_BINARY_DIR};ENDIVESTAGE_NET=${PROCESS_TEST_NET}"
  RESOURCE_LOCK loopback_fleet RUN_SERIAL TRUE TIMEOUT 900)
