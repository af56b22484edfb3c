#ifndef SRC_BENCH_MEASURE_COMMAND_H_
#define SRC_BENCH_MEASURE_COMMAND_H_

namespace baobab {

/** Prints the slopes of control traffic, processor time and memory. */
void PrintCapacity();

}  // namespace baobab

#endif  // SRC_BENCH_MEASURE_COMMAND_H_
