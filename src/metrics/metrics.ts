/** Counters and histograms of a process. */
import * as hdr from 'hdr-histogram-js'
import type { RefusalReason, RetryReason, Step } from '../errors/index.js'

/** Largest recorded duration, in microseconds: 10 minutes. Longer ones are recorded as this. */
const MAX_DURATION_US = 600_000_000

/** Significant decimal digits of recorded durations. */
const SIGNIFICANT_DIGITS = 2

/** Percentiles printed for each histogram. */
const PERCENTILES = [50, 95, 99] as const

/** Maximum number of counter series; values of further label combinations are counted under `other`. */
const MAX_SERIES = 4_096

/** Maximum number of histograms, each of which takes some tens of KB; durations of further ones are not recorded. */
const MAX_HISTOGRAMS = 128

/** Counters and duration histograms by name and labels. */
export class Metrics {
  private readonly counters = new Map<string, number>()
  private readonly histograms = new Map<string, hdr.Histogram>()

  /** Adds `by` to the counter `name` with an optional `label` such as `reason="x"`. */
  count (name: string, label = '', by = 1): void {
    const series = this.boundedSeriesName(name, label)
    this.counters.set(series, (this.counters.get(series) ?? 0) + by)
  }

  /** Sets the gauge `name` with an optional `label`. */
  set (name: string, label: string, value: number): void {
    this.counters.set(this.boundedSeriesName(name, label), value)
  }

  /** Counts a refusal by reason and step. */
  countRefusal (reason: RefusalReason, step: Step): void {
    this.count('godwitpoint_refusals_total', `reason="${reason}",step="${step}"`)
  }

  /** Counts a retry by reason. */
  countRetry (reason: RetryReason): void {
    this.count('godwitpoint_retries_total', `reason="${reason}"`)
  }

  /** Records a duration in ms, with an optional `label` such as `service="x"`. */
  recordDuration (name: string, ms: number, label = ''): void {
    const series = seriesName(name, label)
    let histogram = this.histograms.get(series)
    if (histogram === undefined) {
      if (this.histograms.size >= MAX_HISTOGRAMS) return
      histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_DURATION_US, numberOfSignificantValueDigits: SIGNIFICANT_DIGITS })
      this.histograms.set(series, histogram)
    }
    histogram.recordValue(Math.min(MAX_DURATION_US, Math.max(1, Math.round(ms * 1_000))))
  }

  /** Value of a counter; 0 before the first count. */
  counter (name: string, label = ''): number {
    return this.counters.get(seriesName(name, label)) ?? 0
  }

  /** A percentile (0 to 100) of a histogram, in ms; `undefined` before the first value. */
  percentileMs (name: string, percentile: number, label = ''): number | undefined {
    const histogram = this.histograms.get(seriesName(name, label))
    return histogram === undefined ? undefined : histogram.getValueAtPercentile(percentile) / 1_000
  }

  /** All metrics in the Prometheus text format, with durations in seconds. */
  render (): string {
    const lines = [...this.counters].map(([series, value]) => `${series} ${value}`)
    for (const [series, histogram] of this.histograms) {
      const [name = '', label = ''] = series.replace('}', '').split('{')
      for (const percentile of PERCENTILES) {
        lines.push(`${seriesName(`${name}_seconds`, [label, `quantile="${percentile / 100}"`].filter(Boolean).join(','))} ${histogram.getValueAtPercentile(percentile) / 1e6}`)
      }
      lines.push(`${seriesName(`${name}_seconds_count`, label)} ${histogram.totalCount}`)
    }
    return lines.sort().join('\n') + '\n'
  }

  private boundedSeriesName (name: string, label: string): string {
    const series = seriesName(name, label)
    return this.counters.has(series) || this.counters.size < MAX_SERIES ? series : seriesName(name, 'label="other"')
  }
}

function seriesName (name: string, label: string): string {
  return label === '' ? name : `${name}{${label}}`
}
