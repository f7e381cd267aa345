/** Counters, such as those of each refusal and retry reason, and histograms of durations. */
export { Metrics } from './metrics.js'
