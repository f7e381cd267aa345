/** Usage counters, windows and reports. */
export { UsageCounters, type UsageDelta } from './usage-counters.js'
