#ifndef SRC_BENCH_MEASURE_COMMAND_H_
#define SRC_BENCH_MEASURE_COMMAND_H_

namespace baobab {

/** Measures how control traffic, CPU time and memory of the nodes grow with the
 * size of the fleet, and the cost of folding the log; prints tables. */
void PrintCapacity();

}  // namespace baobab

#endif  // SRC_BENCH_MEASURE_COMMAND_H_
