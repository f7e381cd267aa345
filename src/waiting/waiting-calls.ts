/**
 * The calls that wait at this gateway for the targets of one pool, and which of them is sent next. Decides from its
 * arguments alone: it has no clock, timers or random source.
 */
import * as roomRate from './room-rate.js'
import type * as types from './types.js'
import * as urgency from './urgency.js'

/** Margin of the latest start: a fixed part in ms, and a share of the call's own time, which is often underestimated. */
const MARGIN_MS = 100
const MARGIN_SHARE = 0.25

/**
 * Share of the capacity of the targets that waiting calls may take without room, at their latest start. A late answer is
 * worth more than none, but each delays calls that could be on time.
 */
const LATE_WORK_SHARE = 0.1

/**
 * Share of the capacity of the targets that counts where waiting calls have to start one after another; calls that can meet
 * their objective are sent meanwhile.
 */
const START_CAPACITY_SHARE = 0.8

/** Longest time for which room is left to calls of other gateways, in ms: some exchanges, after which it shows whether they take it. */
const MAX_YIELD_MS = 300

/** Time for which the urgency of a call is not determined again, in ms. */
const LEVEL_LIFE_MS = 50

/** What the queue knows besides its calls. */
export interface QueueDeps {
  readonly bounds: types.QueueBounds
  /** By how many doublings an account exceeds its share of recent work. */
  readonly excessOf: (account: string) => number
}

/** A call in the queue. */
export interface Entry<C extends types.WaitingCall> extends types.Estimate {
  readonly call: C
  readonly offeredAt: number
  /** Latest start at a target without backlog. */
  readonly startBy: number
  /** Urgency, and when it was determined. */
  level: number
  levelAt: number
}

/** The next call to send, and why. */
export interface Next<C extends types.WaitingCall> {
  readonly entry: Entry<C>
  readonly cause: types.SendCause
}

/** State of the world at one decision. */
export interface Outlook {
  readonly room: types.Room
  readonly others: types.OthersWaiting
  /** Random number in [0, 1), so that gateways that see the same room do not all use it. */
  readonly random: number
}

/** Queue of one pool. */
export class WaitingCalls<C extends types.WaitingCall> {
  /** By latest start. */
  private entries: Entry<C>[] = []
  private bytes = 0
  private work = 0
  private readonly rate = new roomRate.RoomRate()
  /** Since when there has been room for calls here, and the random number drawn then; undefined without room. */
  private yielding: { readonly since: number, readonly random: number } | undefined

  constructor (private readonly deps: QueueDeps) {}

  /** Number of waiting calls. */
  get size (): number {
    return this.entries.length
  }

  /** Decides on a call that would be late; when it waits it has joined the queue. */
  offer (call: C, estimate: types.Estimate, outlook: Outlook, now: number): types.Decision {
    const { room, others } = outlook
    if (now + room.backlogMs + estimate.ownMs > call.limitAt) return { kind: 'refuse', cause: 'late', workAhead: 0 }
    const startBy = call.limitAt - estimate.ownMs * (1 + MARGIN_SHARE) - MARGIN_MS
    const entry: Entry<C> = { call, ...estimate, offeredAt: now, startBy: Math.min(startBy, now + this.deps.bounds.waitMs), level: 0, levelAt: -Infinity }
    if (this.size === 0 && room.free && !this.mayYield(entry, others, now)) return { kind: 'send' }
    const untilMs = entry.startBy - room.backlogMs
    if (untilMs <= now) return { kind: 'send' }
    const workAhead = this.workAhead(entry, now)
    const cause = this.exceededBound(entry) ?? (this.exceedsCapacity(entry, workAhead, outlook, untilMs - now, now) ? 'queue' : undefined)
    if (cause !== undefined) return { kind: 'refuse', cause, workAhead }
    this.insert(entry, now, room)
    return { kind: 'wait', untilMs, workAhead }
  }

  /** Removes and returns the call that is to be sent now; undefined when all wait on. */
  next (now: number, outlook: Outlook): Next<C> | undefined {
    this.rate.observe(now, this.size > 0, outlook.room.backlogWork)
    if (this.isDue(outlook, now)) return this.take(this.entries[0]!, 'latest_start')
    if (!outlook.room.free) this.yielding = undefined
    const first = outlook.room.free ? this.first(now) : undefined
    if (first === undefined || this.yields(first, outlook, now)) return undefined
    return this.take(first, 'room')
  }

  /** Removes a call that no longer waits. */
  remove (call: C): void {
    const entry = this.entries.find((other) => other.call === call)
    if (entry !== undefined) this.drop(entry)
  }

  /** Removes all calls: they are to be refused. */
  refuse (): C[] {
    const refused = this.entries.map((entry) => entry.call)
    this.entries = []
    this.bytes = 0
    this.work = 0
    return refused
  }

  /** Calls and work by urgency. */
  totals (now: number): types.LevelTotals[] {
    const totals = new Map<number, types.LevelTotals>()
    for (const entry of this.entries) {
      const level = this.levelOf(entry, now)
      const sum = totals.get(level) ?? { level, calls: 0, work: 0 }
      totals.set(level, { level, calls: sum.calls + 1, work: sum.work + entry.work })
    }
    return [...totals.values()].sort((a, b) => a.level - b.level)
  }

  /** Work per ms that the targets take from this queue: as measured, at most this gateway's share of their capacity. */
  workPerMs (outlook: Outlook, now: number, addedWork = 0): number {
    this.rate.observe(now, this.size > 0, outlook.room.backlogWork)
    return this.rate.workPerMs(this.capacity(outlook, addedWork))
  }

  // Work per ms that the targets can do for this queue at most: they are shared with what waits elsewhere.
  private capacity ({ room, others }: Outlook, addedWork: number): number {
    const own = this.work + addedWork
    const elsewhere = others.workAbove(urgency.LEVELS)
    return room.workPerMs * (own + elsewhere > 0 ? own / (own + elsewhere) : 1)
  }

  // Whether some call can only be answered in time if the first one is sent now: calls start one after another. One that
  // cannot be answered any more behind those before it moves none of them forward.
  private isDue ({ room }: Outlook, now: number): boolean {
    const workPerMs = room.workPerMs * START_CAPACITY_SHARE
    let workBefore = 0
    for (const entry of this.entries) {
      const startAt = now + room.backlogMs + (workBefore > 0 ? workBefore / workPerMs : 0)
      if (workBefore > 0 && startAt + entry.ownMs > entry.call.limitAt) continue
      if (startAt >= entry.startBy) return true
      workBefore += entry.work
    }
    return false
  }

  // Whether room does not come back before the latest start, and too much work would be sent without room before.
  private exceedsCapacity (entry: Entry<C>, workAhead: number, outlook: Outlook, leftMs: number, now: number): boolean {
    if (workAhead + outlook.room.excessWork <= this.workPerMs(outlook, now, entry.work) * leftMs) return false
    return workAhead > this.capacity(outlook, entry.work) * LATE_WORK_SHARE * leftMs
  }

  private first (now: number): Entry<C> | undefined {
    let first: Entry<C> | undefined
    for (const entry of this.entries) if (first === undefined || this.goesBefore(entry, first, now)) first = entry
    return first
  }

  private goesBefore (a: Entry<C>, b: Entry<C>, now: number): boolean {
    const levels = this.levelOf(a, now) - this.levelOf(b, now)
    if (levels !== 0) return levels < 0
    return a.startBy === b.startBy ? a.work < b.work : a.startBy < b.startBy
  }

  private levelOf (entry: Entry<C>, now: number): number {
    if (now - entry.levelAt >= LEVEL_LIFE_MS) {
      entry.level = urgency.urgencyLevel(entry.call, entry.ownMs, this.deps.excessOf(entry.call.account), now)
      entry.levelAt = now
    }
    return entry.level
  }

  private mayYield (entry: Entry<C>, others: types.OthersWaiting, now: number): boolean {
    const level = this.levelOf(entry, now)
    return others.workAbove(level) + others.workAt(level) > 0
  }

  private yields (entry: Entry<C>, { others, random }: Outlook, now: number): boolean {
    const level = this.levelOf(entry, now)
    const equal = others.workAt(level)
    this.yielding ??= { since: now, random }
    const equalMs = this.yielding.random * MAX_YIELD_MS * equal / (equal + this.work)
    return now - this.yielding.since < (others.workAbove(level) > 0 ? MAX_YIELD_MS : equalMs)
  }

  private workAhead (entry: Entry<C>, now: number): number {
    let work = 0
    for (const other of this.entries) if (!this.goesBefore(entry, other, now)) work += other.work
    return work
  }

  private exceededBound ({ call }: Entry<C>): types.RefusalCause | undefined {
    const { calls, bytes, accountShare } = this.deps.bounds
    if (this.size >= calls) return 'calls'
    if (this.bytes + call.bytes > bytes) return 'bytes'
    if (call.account === '') return undefined
    const own = this.entries.filter((other) => other.call.account === call.account)
    const ownBytes = own.reduce((sum, other) => sum + other.call.bytes, call.bytes)
    return own.length >= calls * accountShare || ownBytes > bytes * accountShare ? 'account' : undefined
  }

  private insert (entry: Entry<C>, now: number, { backlogWork }: types.Room): void {
    if (this.size === 0) this.rate.observe(now, true, backlogWork)
    const index = this.entries.findIndex((other) => other.startBy > entry.startBy)
    this.entries.splice(index < 0 ? this.size : index, 0, entry)
    this.bytes += entry.call.bytes
    this.work += entry.work
  }

  private take (entry: Entry<C>, cause: types.SendCause): Next<C> {
    this.rate.addSent(entry.work)
    this.drop(entry)
    return { entry, cause }
  }

  private drop (entry: Entry<C>): void {
    this.entries.splice(this.entries.indexOf(entry), 1)
    this.bytes -= entry.call.bytes
    this.work = this.size === 0 ? 0 : this.work - entry.work
    if (this.size === 0) this.yielding = undefined
  }
}
