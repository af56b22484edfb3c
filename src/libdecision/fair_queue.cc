#include "libdecision/fair_queue.h"

#include <algorithm>

namespace baobab {
namespace {

/** Slot time charged before the first sample; corrected when a request ends. */
constexpr Duration kDefaultSlotTime = std::chrono::milliseconds(100);

/** Length of the moving average of the slot time, in samples. */
constexpr std::int64_t kMeanSamples = 32;

/** Window over which the peak of running requests is taken. */
constexpr Duration kPeakWindow = std::chrono::seconds(1);

/** Virtual time per microsecond of slot time at weight 1. Keeps weights of up
 * to 1000 distinguishable for slot times of 1 ms. */
constexpr std::int64_t kVirtualTimeScale = 256;

}  // namespace

Duration FairQueue::ExpectedSlotTime() const {
  return samples == 0 ? kDefaultSlotTime : mean_slot_time;
}

void FairQueue::AddSample(Duration slot_time) {
  samples = std::min(samples + 1, kMeanSamples);
  mean_slot_time += (slot_time - mean_slot_time) / samples;
}

void FairQueue::UpdatePeak(Time now) {
  if (now - window_start >= kPeakWindow) {
    last_peak = now - window_start < 2 * kPeakWindow ? peak : 0;
    peak = 0;
    window_start = now;
  }
  peak = std::max(peak, in_flight);
}

void FairQueue::Charge(Duration slot_time) {
  start_tag += VirtualTime(slot_time);
}

std::int64_t FairQueue::VirtualTime(Duration slot_time) const {
  return slot_time.count() * kVirtualTimeScale /
         std::max<std::int64_t>(row.weight.value(), 1);
}

}  // namespace baobab
