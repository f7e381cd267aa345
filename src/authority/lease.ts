/** The lease of one scope as a value that changes by described steps. */
import type { ExpectedVersion } from '../external/index.js'
import type { ScopeRecord } from '../schema/index.js'

/** Time a lease lasts after the write that granted or renewed it, in ms. */
export const LEASE_TTL_MS = 10_000

/** Interval between renewals, in ms; three renewals fit in a TTL, so one may fail. */
export const RENEW_MS = 3_000

/** Largest relative error of a monotonic clock that the lease tolerates. */
export const CLOCK_DRIFT = 0.01

/** Time before the end of a lease at which its holder stops acting, in ms. */
export const ACT_MARGIN_MS = 1_000

/** The scope's object as last learnt, and since when it is known to be unchanged. */
export interface SeenRecord {
  readonly version: ExpectedVersion
  readonly record: ScopeRecord | undefined
  /** Monotonic time at which this version was first seen. */
  readonly since: number
}

/** The right of this process to act, under one fencing number. */
export interface Tenure {
  readonly fence: number
  /** Monotonic time from which the holder must not act. */
  readonly actUntil: number
}

/** What one process knows of a scope. */
export interface LeaseState {
  /** Incarnation of this process. */
  readonly self: string
  readonly seen: SeenRecord | undefined
  readonly tenure: Tenure | undefined
}

/** A change of {@link LeaseState}. */
export type LeaseStep =
  /** A read, which may come from an old copy, or the authoritative answer to a refused update. */
  | { readonly kind: 'observed', readonly version: ExpectedVersion, readonly record: ScopeRecord | undefined, readonly at: number, readonly authoritative: boolean }
  /** An update of this process took effect; it was sent at `startedAt`. */
  | { readonly kind: 'written', readonly version: number, readonly record: ScopeRecord, readonly startedAt: number }
  /** A peer announced a higher fencing number. */
  | { readonly kind: 'deposed', readonly fence: number }

/** A process that knows nothing of the scope yet. */
export function newLease (self: string): LeaseState {
  return { self, seen: undefined, tenure: undefined }
}

/** The state after a step. */
export function applyLease (state: LeaseState, step: LeaseStep): LeaseState {
  switch (step.kind) {
    case 'observed': return observe(state, step.version, step.record, step.at, step.authoritative)
    case 'written': return grant(state, step.version, step.record, step.startedAt)
    case 'deposed': return state.tenure !== undefined && state.tenure.fence < step.fence ? { ...state, tenure: undefined } : state
  }
}

/** Whether the process may act at monotonic time `now`. */
export function mayActAt (state: LeaseState, now: number): boolean {
  return state.tenure !== undefined && now < state.tenure.actUntil
}

/**
 * Monotonic time from which the scope may be acquired. A holder's record must have been seen unchanged for its
 * whole TTL by the slower clock; a released or absent one is free at once. `undefined` before the first read.
 */
export function acquirableAt (state: LeaseState): number | undefined {
  if (state.seen === undefined) return undefined
  const { record, since } = state.seen
  return record === undefined || record.holder === '' ? since : since + record.ttl_ms * (1 + CLOCK_DRIFT)
}

/** The record that makes `self` the holder. Former holders stay named as possible senders of open intents. */
export function acquiredRecord (record: ScopeRecord | undefined, self: string, address: string, ttlMs: number, nonce: string): ScopeRecord {
  const intents = (record?.intents ?? []).map((intent) => ({ ...intent, senders: [...new Set([...intent.senders, self])] }))
  const named = new Set([self, ...intents.flatMap((intent) => intent.senders)])
  const others = (record?.holders ?? []).filter((holder) => named.has(holder.incarnation) && holder.incarnation !== self)
  return { holder: self, fence: (record?.fence ?? 0) + 1, nonce, ttl_ms: ttlMs, intents, holders: [...others, { incarnation: self, address }] }
}

/** The record after its holder gave the lease up with no send in flight. */
export function releasedRecord (record: ScopeRecord, nonce: string): ScopeRecord {
  const holders = (record.holders ?? []).map((holder) => holder.incarnation === record.holder ? { ...holder, retired: true } : holder)
  return { ...record, holder: '', nonce, holders }
}

function observe (state: LeaseState, version: ExpectedVersion, record: ScopeRecord | undefined, at: number, authoritative: boolean): LeaseState {
  if (state.seen?.version === version) return state
  if (!authoritative && isOlder(version, state.seen?.version)) return state
  const kept = record?.holder === state.self && record.fence === state.tenure?.fence
  return { ...state, seen: { version, record, since: at }, tenure: kept ? state.tenure : undefined }
}

function isOlder (version: ExpectedVersion, known: ExpectedVersion | undefined): boolean {
  if (known === undefined || known === 'absent') return false
  return version === 'absent' || version < known
}

function grant (state: LeaseState, version: number, record: ScopeRecord, startedAt: number): LeaseState {
  const seen = { version, record, since: startedAt }
  if (record.holder !== state.self) return { ...state, seen, tenure: undefined }
  const actUntil = startedAt + record.ttl_ms * (1 - CLOCK_DRIFT) - ACT_MARGIN_MS
  return { ...state, seen, tenure: { fence: record.fence, actUntil } }
}
