/** Measures the work that calls give to engines, and estimates how many engines it needs. */
export { addWork, NO_WORK, workSince, type Work } from './work.js'
export { DemandMeter, type EndedAttempt } from './demand-meter.js'
export { StageThroughput, type PrefillSample } from './engine-throughput.js'
export { DemandTopic, type DemandTopicDeps } from './demand-topic.js'
export { DemandHistory, type RecentDemand, type WorkRates } from './demand-history.js'
export { estimateTokens, mergeSamples, SegmentSample, type SegmentRow } from './segment-sample.js'
export { estimateNeed, nextPressure, type CapacityNeed, type NeedInput, type PresentEngines } from './capacity-need.js'
