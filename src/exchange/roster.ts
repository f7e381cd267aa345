/** The known gateways: which are up, and which serve callers. */
import * as z from 'zod'
import type * as log from '../log/index.js'
import type * as time from '../time/index.js'
import * as validation from '../validation/index.js'
import * as types from './types.js'

/** Time for which a gateway that was just listed counts as up although nothing was heard of it, in ms. */
const LISTED_GRACE_MS = 3_000

/** Time for which a gateway stays up after the link that told of it has ended, in ms: another relay may tell of it. */
const UNTOLD_GRACE_MS = 1_500

/** First and longest time for which a gateway that did not respond is not called, in ms; each in a row doubles. */
const FIRST_SUSPICION_MS = 500
const MAX_SUSPICION_MS = 4_000

/** Time between two probes of a gateway that is not up, in ms. */
const PROBE_INTERVAL_MS = 2_000

/** State of a gateway as told; `beat` orders what is told of one incarnation. */
const Told = z.object({ record: types.GatewayRecord, beat: z.int(), up: z.boolean(), ready: z.boolean() })
type Told = z.infer<typeof Told>
const ToldList = validation.list(Told)

/** Link of what this gateway has seen itself. */
const OWN = ''

interface Entry {
  told: Told
  /** Gateway whose link told this; {@link OWN} when this gateway is in contact itself. */
  source: string
  /** Whether it came from a fellow relay or from the relay: those are told to members only. */
  fromAbove: boolean
  /** Position of the last change. */
  position: number
  /** When the gateway is no longer up, unless it is told of again; undefined while a link tells of it. */
  expiresAt: number | undefined
  /** When it was last up, on the monotonic clock. */
  upAt: number
  suspectedUntil: number
  suspicions: number
  /** When it is probed if it is not up. */
  probeAt: number
  /** Earlier incarnations that were told of, newest last. */
  past: string[]
}

/** Dependencies of a roster. */
export interface RosterDeps {
  readonly clock: time.Clock
  readonly log: log.Logger
  readonly self: types.GatewayRecord
}

/** Number of earlier incarnations of a gateway that are remembered. */
const REMEMBERED_INCARNATIONS = 4

/** Knows the other gateways; a topic of the exchange. */
export class Roster implements types.Topic {
  readonly name = 'gateways'
  private readonly entries = new Map<string, Entry>()
  private position = 0

  constructor (private readonly deps: RosterDeps) {}

  /** Adds gateways that the store lists. */
  addListed (records: readonly types.GatewayRecord[]): void {
    for (const record of records) {
      if (record.name === this.deps.self.name) continue
      const known = this.entries.get(record.name)
      // A list may be stale: it does not replace an incarnation that is up.
      if (known !== undefined && (this.isUp(known) || known.told.record.incarnation === record.incarnation)) continue
      if (known?.past.includes(record.incarnation) === true) continue
      const entry = this.replace({ record, beat: -1, up: true, ready: false }, OWN, false)
      entry.expiresAt = this.now() + LISTED_GRACE_MS
      this.deps.log.info({ gateway: record.name, front: record.front }, 'gateway_listed')
    }
  }

  /** Removes gateways that are neither listed nor up. */
  keepListed (names: ReadonlySet<string>): void {
    for (const [name, entry] of this.entries) {
      if (!names.has(name) && !this.isUp(entry)) this.entries.delete(name)
    }
  }

  /** Notes a message from a gateway itself; `isFellow` when it is a relay. */
  hear (record: types.GatewayRecord, beat: number, ready: boolean, isFellow: boolean): void {
    this.note({ record, beat, up: true, ready }, OWN, isFellow)
    const entry = this.entries.get(record.name)
    if (entry === undefined) return
    entry.suspicions = 0
    entry.suspectedUntil = -Infinity
  }

  /** Notes that a gateway did not respond: it is not called for a while. */
  suspect (name: string): void {
    const entry = this.entries.get(name)
    if (entry === undefined) return
    entry.suspectedUntil = this.now() + Math.min(MAX_SUSPICION_MS, FIRST_SUSPICION_MS * 2 ** entry.suspicions)
    entry.suspicions++
  }

  /** Notes that the link to a gateway has ended: what it last said of itself no longer holds. */
  lose ({ gateway, incarnation }: types.Link, beat: number): void {
    const entry = this.entries.get(gateway)
    if (entry !== undefined && entry.told.record.incarnation === incarnation && entry.source === OWN && entry.told.beat <= beat) this.note({ ...entry.told, up: false, ready: false }, OWN, entry.fromAbove)
  }

  /** Gateways that may be called as relays. */
  usable (): types.GatewayRecord[] {
    const now = this.now()
    return [...this.entries.values()].filter((entry) => this.isUp(entry) && now >= entry.suspectedUntil).map((entry) => entry.told.record)
  }

  /** A known gateway that is not up and is due to be probed: its process may run, and only its links have been cut. */
  nextToProbe (): types.GatewayRecord | undefined {
    const now = this.now()
    const due = [...this.entries.values()].find((entry) => !this.isUp(entry) && now >= entry.probeAt)
    if (due !== undefined) due.probeAt = now + PROBE_INTERVAL_MS
    return due?.told.record
  }

  /** Notes that a gateway that was not up replied to a probe: it may be called, like one that was just listed. */
  noteReachable ({ name, incarnation }: types.GatewayRecord): void {
    const entry = this.entries.get(name)
    if (entry === undefined || this.isUp(entry) || entry.told.record.incarnation !== incarnation) return
    this.replace({ record: entry.told.record, beat: -1, up: true, ready: false }, OWN, false).expiresAt = this.now() + LISTED_GRACE_MS
  }

  /** The record of a gateway; undefined when it is not known. */
  record (name: string): types.GatewayRecord | undefined {
    return this.entries.get(name)?.told.record
  }

  /** All gateways, whether up or not. */
  all (): types.GatewayRecord[] {
    return [...this.entries.values()].map((entry) => entry.told.record)
  }

  /** Gateways that serve callers. */
  ready (): types.GatewayRecord[] {
    return [...this.entries.values()].filter((entry) => entry.told.ready && this.isUp(entry)).map((entry) => entry.told.record)
  }

  /** Gateways that are up, and that this one or its relay has heard of. */
  inContact (): types.GatewayRecord[] {
    return [...this.entries.values()].filter((entry) => entry.told.beat >= 0 && this.isUp(entry)).map((entry) => entry.told.record)
  }

  /** Gateways that are up, or were until `ms` ago. */
  upWithin (ms: number): types.GatewayRecord[] {
    const now = this.now()
    return [...this.entries.values()].filter((entry) => this.isUp(entry) || now - entry.upAt < ms).map((entry) => entry.told.record)
  }

  // Members are told to the relay and to fellow relays; members are told everything.
  changesSince (link: types.Link, position: number | undefined): types.Changes | undefined {
    if (position === this.position) return undefined
    const since = position ?? 0
    const told = [...this.entries.values()]
      .filter((entry) => entry.position > since && entry.source !== link.gateway && entry.told.record.name !== link.gateway && (link.kind === 'member' || !entry.fromAbove))
      .filter((entry) => entry.told.beat >= 0)
      .map((entry) => entry.told)
    return { next: this.position, payload: told }
  }

  apply (link: types.Link, payload: unknown): boolean {
    for (const told of ToldList.parse(payload)) {
      if (told.record.name !== this.deps.self.name) this.note(told, link.gateway, link.kind !== 'member')
    }
    return true
  }

  linkEnded (link: types.Link): void {
    const expiresAt = this.now() + UNTOLD_GRACE_MS
    for (const entry of this.entries.values()) {
      if (entry.source === link.gateway) entry.expiresAt ??= expiresAt
    }
  }

  private note (told: Told, source: string, fromAbove: boolean): void {
    const { name, incarnation } = told.record
    const known = this.entries.get(name)
    if (known === undefined || known.told.record.incarnation !== incarnation) {
      // What is told of an earlier incarnation, or of the end of one that was never known, changes nothing. A list may show an
      // incarnation that is older than the one told of: it counts only until something is told of the gateway.
      if (!told.up || (known !== undefined && known.told.beat >= 0 && known.past.includes(incarnation))) return
      this.replace(told, source, fromAbove)
      return
    }
    if (told.beat < known.told.beat || (told.beat === known.told.beat && told.up && !known.told.up)) return
    const changed = told.up !== known.told.up || told.ready !== known.told.ready || source !== known.source || fromAbove !== known.fromAbove || known.told.beat < 0
    if (told.up !== known.told.up || told.ready !== known.told.ready) this.deps.log.info({ gateway: name, up: told.up, ready: told.ready }, 'gateway_state')
    known.told = told
    known.source = source
    known.fromAbove = fromAbove
    known.expiresAt = undefined
    if (told.up) known.upAt = this.now()
    if (changed) known.position = ++this.position
  }

  private replace (told: Told, source: string, fromAbove: boolean): Entry {
    const known = this.entries.get(told.record.name)
    const replaced = known === undefined || known.told.beat < 0 ? [] : [known.told.record.incarnation]
    const past = [...known?.past ?? [], ...replaced].filter((incarnation) => incarnation !== told.record.incarnation).slice(-REMEMBERED_INCARNATIONS)
    const entry: Entry = { told, source, fromAbove, position: ++this.position, expiresAt: undefined, upAt: this.now(), suspectedUntil: -Infinity, suspicions: 0, probeAt: this.now() + PROBE_INTERVAL_MS, past }
    this.entries.set(told.record.name, entry)
    if (told.beat >= 0) this.deps.log.info({ gateway: told.record.name, up: true, ready: told.ready }, 'gateway_state')
    return entry
  }

  private isUp (entry: Entry): boolean {
    return entry.told.up && (entry.expiresAt === undefined || this.now() < entry.expiresAt)
  }

  private now (): number {
    return this.deps.clock.now()
  }
}
