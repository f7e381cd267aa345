/** What a quota allows under the operators' bounds. */
import type * as serving from '../serving/index.js'

/**
 * Part of overage and slack that is held back: for repeated sends, and for the moments in which gateways start or count
 * each other differently.
 */
const HELD_BACK_PART = 0.15

/** Smallest depth of a bucket, as a part of the burst and in ms of the rate; the larger one applies. */
const MIN_DEPTH_BURSTS = 0.5
const MIN_DEPTH_MS = 500

/** Units that a bucket holds at least, so that a request fits. */
const MIN_DEPTH_UNITS = 1

/** Bounds on what an account may execute in a window, over all gateways. */
export interface QuotaBounds {
  /** Length of a window, in ms. */
  readonly windowMs: number
  /** Part of the configured amount by which it may be exceeded. */
  readonly overage: number
  /** Tokens by which it may be exceeded besides; quotas in requests get none. */
  readonly slackTokens: number
}

/** Rate and depth of a token bucket. */
export interface Limit {
  /** Units per ms. */
  readonly ratePerMs: number
  /** Units. */
  readonly depth: number
}

/** No credit at all. */
export const NO_CREDIT: Limit = { ratePerMs: 0, depth: 0 }

/** Units that a window may contain at most. */
export function windowLimit (quota: serving.AccountQuota, bounds: QuotaBounds): number {
  return quota.ratePerMs * bounds.windowMs + quota.burst + marginOf(quota, bounds)
}

/** The bucket that keeps every window within its limit. The rate is lowered where the depth would otherwise be too small. */
export function bucketLimit (quota: serving.AccountQuota, bounds: QuotaBounds): Limit {
  const total = windowLimit(quota, bounds) - HELD_BACK_PART * marginOf(quota, bounds)
  const { ratePerMs, burst } = quota
  const minDepth = Math.min(total, Math.max(MIN_DEPTH_BURSTS * burst, MIN_DEPTH_MS * ratePerMs, MIN_DEPTH_UNITS))
  const depth = Math.max(minDepth, total - ratePerMs * bounds.windowMs)
  return { ratePerMs: Math.min(ratePerMs, (total - depth) / bounds.windowMs), depth }
}

/** The part of a limit that one of `count` gateways owns. */
export function shareOf ({ ratePerMs, depth }: Limit, count: number): Limit {
  return { ratePerMs: ratePerMs / count, depth: depth / count }
}

/** Units that a call counts as; `tokens` is undefined for a call without declared counts. */
export function costOf ({ unit, plainTokens }: serving.AccountQuota, tokens: number | undefined): number {
  return unit === 'requests' ? 1 : Math.max(0, tokens ?? plainTokens)
}

/** Overage and slack, in units. */
function marginOf ({ unit, ratePerMs, burst }: serving.AccountQuota, { windowMs, overage, slackTokens }: QuotaBounds): number {
  return overage * (ratePerMs * windowMs + burst) + (unit === 'tokens' ? slackTokens : 0)
}
