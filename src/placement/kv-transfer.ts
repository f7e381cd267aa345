/** Time of transfers of KV cache between engines. */
import type * as serving from '../serving/index.js'

/** Time of a transfer besides that of its bytes, in ms. */
const TRANSFER_OVERHEAD_MS = 4

/** Time of a transfer when the sizes or the rate of the links are not known, in ms. */
const UNKNOWN_TRANSFER_MS = 10

/** A transfer between failure domains takes this many times as long. */
const OTHER_DOMAIN_FACTOR = 2

/** Whether the time of a transfer can be calculated. */
export function isRateKnown (limits: serving.EngineLimits | undefined): boolean {
  return limits?.kvTokenBytes !== undefined && limits.kvLinkBytesPerMs !== undefined
}

/** Expected time of a transfer of the KV cache of `tokens` between two engines, in ms. */
export function transferMs (limits: serving.EngineLimits | undefined, tokens: number, source: serving.TargetRecord, destination: serving.TargetRecord): number {
  const { kvTokenBytes, kvLinkBytesPerMs } = limits ?? {}
  const bytesMs = kvTokenBytes === undefined || kvLinkBytesPerMs === undefined ? UNKNOWN_TRANSFER_MS : tokens * kvTokenBytes / kvLinkBytesPerMs
  return TRANSFER_OVERHEAD_MS + bytesMs * (source.domain === destination.domain ? 1 : OTHER_DOMAIN_FACTOR)
}
