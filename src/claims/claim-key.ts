/** Idempotency keys contain the time at which the caller created them, which selects a page of claims. */
import { Err, Ok, Refusal, type RefusalReason, type Result } from '../errors/index.js'
import { hash32 } from '../hash/index.js'
import type { ClaimReq } from './types.js'

/** Time for which claims are stored after the creation time of the key, in ms; older keys are refused. */
export const RETENTION_MS = 60 * 60_000

/** Largest time by which a key's creation time may be ahead of the entry's wall clock, in ms. */
export const MAX_AHEAD_MS = 60_000

/** Number of pages for each minute. All entries must use the same number, or one key would belong to two pages. */
export const SHARDS_PER_MINUTE = 64

const MINUTE_MS = 60_000

/** UUIDv7; its first 48 bits are the Unix time in ms. */
const UUID_V7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/** `<unix ms>-<text>`; 13 digits suffice until the year 2286. */
const TIMESTAMPED_KEY_PATTERN = /^([0-9]{13})-[\x21-\x7e]{1,128}$/

/** Where the claim of a key is stored. */
export interface ClaimLocation {
  /** Object key of the page. */
  readonly page: string
  /** Key of the row in the page. */
  readonly row: string
  /** Wall-clock time after which the key is refused, in ms since the Unix epoch. */
  readonly expiresAt: number
}

/** Returns the page and row of a claim; refuses keys that are malformed, expired or ahead of the wall clock. */
export function locateClaim (req: ClaimReq, wallTimeMs: number): Result<ClaimLocation, Refusal> {
  const key = UUID_V7_PATTERN.test(req.key.toLowerCase()) ? req.key.toLowerCase() : req.key
  const createdAt = creationTimeOf(key)
  if (createdAt === undefined) return Err(refuse('idempotency_key_invalid', 'expected a UUIDv7 or <unix ms>-<text>'))
  if (createdAt > wallTimeMs + MAX_AHEAD_MS) return Err(refuse('idempotency_key_invalid', 'the time in the key is ahead of the clock'))
  if (createdAt < wallTimeMs - RETENTION_MS) return Err(refuse('idempotency_key_expired', 'the time in the key is older than claims are kept'))
  const row = `${req.service}/${req.account}/${key}`
  const page = pageKey(Math.floor(createdAt / MINUTE_MS), hash32(row) % SHARDS_PER_MINUTE)
  return Ok({ page, row, expiresAt: createdAt + RETENTION_MS })
}

/** Object key of a page. */
export function pageKey (minute: number, shard: number): string {
  return `claims/${minute}/${shard}`
}

function creationTimeOf (key: string): number | undefined {
  const uuidMatch = UUID_V7_PATTERN.exec(key)
  if (uuidMatch !== null) return Number.parseInt(`${uuidMatch[1]}${uuidMatch[2]}`, 16)
  const timestampMatch = TIMESTAMPED_KEY_PATTERN.exec(key)
  return timestampMatch === null ? undefined : Number(timestampMatch[1])
}

function refuse (reason: RefusalReason, message: string): Refusal {
  return new Refusal(reason, { step: 'claim', ran: 'no', message })
}
