/** State machine of the lease of one scope: an immutable state and the steps that change it. */
import type { ExpectedVersion } from '../external/index.js'
import type { ScopeRecord } from '../schema/index.js'

/** Time for which a lease is valid after the write that granted or renewed it, in ms. */
export const LEASE_TTL_MS = 10_000

/** Interval between renewals, in ms; three renewals fit into a TTL, so one may fail. */
export const RENEW_INTERVAL_MS = 3_000

/** Largest relative error of a monotonic clock that the lease tolerates, as a fraction. */
export const CLOCK_DRIFT = 0.01

/** Time before the end of a lease from which its holder no longer acts, in ms. */
export const ACT_MARGIN_MS = 1_000

/** Latest version of the scope's object that this process observed. */
export interface ObservedRecord {
  readonly version: ExpectedVersion
  readonly record: ScopeRecord | undefined
  /**
   * Monotonic time since which this version is known to be unchanged: its first read, or the start of this process's
   * write, in ms.
   */
  readonly unchangedSince: number
}

/** One lease term of this process: its right to act under one fencing token. */
export interface LeaseTerm {
  readonly fence: number
  /** Monotonic time from which the holder must not act, in ms. */
  readonly actUntil: number
}

/** State of a scope's lease as one process knows it. */
export interface LeaseState {
  /** Incarnation of this process. */
  readonly self: string
  readonly observed: ObservedRecord | undefined
  readonly term: LeaseTerm | undefined
}

/** An event that changes a {@link LeaseState}. */
export type LeaseStep =
  /** The result of a read, which may be stale, or the authoritative current object that a rejected update returned. */
  | { readonly kind: 'observed', readonly version: ExpectedVersion, readonly record: ScopeRecord | undefined, readonly observedAt: number, readonly authoritative: boolean }
  /** An update of this process took effect; it was sent at the monotonic time `startedAt`. */
  | { readonly kind: 'written', readonly version: number, readonly record: ScopeRecord, readonly startedAt: number }
  /** A peer announced a higher fencing token. */
  | { readonly kind: 'deposed', readonly fence: number }

/** State before the first read of the scope. */
export function newLease (self: string): LeaseState {
  return { self, observed: undefined, term: undefined }
}

/** Returns the state after a step. */
export function applyLease (state: LeaseState, step: LeaseStep): LeaseState {
  switch (step.kind) {
    case 'observed': return applyObservation(state, step.version, step.record, step.observedAt, step.authoritative)
    case 'written': return applyWrite(state, step.version, step.record, step.startedAt)
    case 'deposed': return state.term !== undefined && state.term.fence < step.fence ? { ...state, term: undefined } : state
  }
}

/** Whether the process may act at monotonic time `now`. */
export function mayActAt (state: LeaseState, now: number): boolean {
  return state.term !== undefined && now < state.term.actUntil
}

/**
 * Monotonic time from which the scope may be acquired, in ms; `undefined` before the first read. The record of a
 * holder must have been unchanged for its whole TTL even on the slowest tolerated clock; a released or absent record
 * may be replaced at once.
 */
export function acquirableAt (state: LeaseState): number | undefined {
  if (state.observed === undefined) return undefined
  const { record, unchangedSince } = state.observed
  return record === undefined || record.holder === '' ? unchangedSince : unchangedSince + record.ttl_ms * (1 + CLOCK_DRIFT)
}

/** Record that makes `self` the holder. Former holders stay listed while they may be senders of open intents. */
export function acquiredRecord (record: ScopeRecord | undefined, self: string, address: string, ttlMs: number, nonce: string): ScopeRecord {
  const intents = (record?.intents ?? []).map((intent) => ({ ...intent, senders: [...new Set([...intent.senders, self])] }))
  const senders = new Set([self, ...intents.flatMap((intent) => intent.senders)])
  const formerHolders = (record?.holders ?? []).filter((holder) => senders.has(holder.incarnation) && holder.incarnation !== self)
  return { holder: self, fence: (record?.fence ?? 0) + 1, nonce, ttl_ms: ttlMs, intents, holders: [...formerHolders, { incarnation: self, address }] }
}

/** Record after its holder released the lease with no send in flight. */
export function releasedRecord (record: ScopeRecord, nonce: string): ScopeRecord {
  const holders = (record.holders ?? []).map((holder) => holder.incarnation === record.holder ? { ...holder, retired: true } : holder)
  return { ...record, holder: '', nonce, holders }
}

function applyObservation (state: LeaseState, version: ExpectedVersion, record: ScopeRecord | undefined, observedAt: number, authoritative: boolean): LeaseState {
  if (state.observed?.version === version) return state
  if (!authoritative && isOlder(version, state.observed?.version)) return state
  const stillHeld = record?.holder === state.self && record.fence === state.term?.fence
  return { ...state, observed: { version, record, unchangedSince: observedAt }, term: stillHeld ? state.term : undefined }
}

function isOlder (version: ExpectedVersion, knownVersion: ExpectedVersion | undefined): boolean {
  if (knownVersion === undefined || knownVersion === 'absent') return false
  return version === 'absent' || version < knownVersion
}

function applyWrite (state: LeaseState, version: number, record: ScopeRecord, startedAt: number): LeaseState {
  const observed = { version, record, unchangedSince: startedAt }
  if (record.holder !== state.self) return { ...state, observed, term: undefined }
  const actUntil = startedAt + record.ttl_ms * (1 - CLOCK_DRIFT) - ACT_MARGIN_MS
  return { ...state, observed, term: { fence: record.fence, actUntil } }
}
