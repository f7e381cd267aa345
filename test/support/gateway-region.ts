/** Gateways that share a store and exchange with each other, in virtual time: directory, exchange, feeds, load and usage. */
import * as capacity from '../../src/capacity/index.js'
import * as directory from '../../src/directory/index.js'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as exchange from '../../src/exchange/index.js'
import * as external from '../../src/external/index.js'
import * as fleet from '../../src/fleet/index.js'
import * as log from '../../src/log/index.js'
import * as metrics from '../../src/metrics/index.js'
import type * as peer from '../../src/peer/index.js'
import * as quarantine from '../../src/quarantine/index.js'
import * as quota from '../../src/quota/index.js'
import * as serving from '../../src/serving/index.js'
import * as standin from '../../src/standin/index.js'
import * as time from '../../src/time/index.js'
import * as build from './gateway-builders.js'

export const CONFIG_KEY = 'config/main'
export const TARGETS_PREFIX = 'servers/'
export const CONFIG_BOUND_MS = 4_000
export const LEAVE_BOUND_MS = 4_000
const TARGET_EXPIRY_MS = 2_400
const WINDOW_MS = 5_000

/** Time that a call between gateways takes in one direction unless a test sets another, in ms. */
const TRANSIT_MS = 2

/** The reply to a lost message. */
const NEVER = new Promise<never>(() => {})

/** Calls of one gateway. */
export interface Traffic {
  sent: number
  received: number
  bytes: number
  storeReads: number
  storeWrites: number
}

/** One gateway without its request path. */
export class RegionGateway {
  readonly handlers = new Map<string, peer.PeerHandler>()
  readonly traffic: Traffic = { sent: 0, received: 0, bytes: 0, storeReads: 0, storeWrites: 0 }
  readonly fleet: fleet.Fleet
  readonly roster: exchange.Roster
  readonly exchange: exchange.Exchange
  readonly directory: directory.Directory
  readonly feed: serving.ConfigFeed
  readonly fleetFeed: fleet.FleetFeed
  readonly quarantine: quarantine.SegmentQuarantine
  readonly quotas: quota.Quotas
  readonly metrics = new metrics.Metrics()
  readonly ledger: duties.UsageLedger
  readonly collector: duties.UsageCollector
  readonly meter: capacity.DemandMeter
  readonly demand: capacity.DemandTopic
  /** Whether the process runs, and whether it reaches the store. */
  running = true
  storeReachable = true
  ready = true
  private suspendedMs = 0
  private suspendedAt: number | undefined
  /** What the process does once it is resumed. */
  private readonly deferred: Array<() => void> = []
  private readonly virtual: time.VirtualTime

  constructor (region: Region, readonly name: string, incarnation: string, readonly domain: string) {
    const { virtual } = region
    this.virtual = virtual
    const clock: time.Clock = { now: () => (this.suspendedAt ?? virtual.now()) - this.suspendedMs, wallTimeMs: () => virtual.wallTimeMs() }
    const env: time.Env = { ...virtual.env(region.seed++), clock, timers: this.gatedTimers(virtual) }
    const elapsed = new serving.ElapsedClock(clock)
    const eras = new external.StoreEras()
    const store = this.gatedStore(region.store.client(eras))
    const peers: peer.Peers = { handle: (method, handler) => { this.handlers.set(method, handler) }, call: async (address, method, params, timeoutMs) => await region.call(this, address, method, params, timeoutMs) }
    const self = { name, incarnation, front: `${name}:1`, peer: `${name}:2`, domain }
    const silent = log.SILENT_LOGGER
    const { log: logger } = region
    const isRelay = (): boolean => this.exchange.isRelay
    this.fleet = new fleet.Fleet({ clock, log: silent, onRemoved: () => {} })
    this.roster = new exchange.Roster({ clock, log: logger, self })
    this.feed = new serving.ConfigFeed({ env, elapsed, store, eras, key: CONFIG_KEY, propagationMs: CONFIG_BOUND_MS, isReader: isRelay, decode: (text) => build.aConfig({ version: Number(text) }), log: silent, metrics: new metrics.Metrics() })
    this.fleetFeed = new fleet.FleetFeed({ env, elapsed, store, eras, prefix: TARGETS_PREFIX, leavePropagationMs: LEAVE_BOUND_MS, shortestExpiryMs: TARGET_EXPIRY_MS, isReader: isRelay, decode: (object) => JSON.parse(object.value) as serving.TargetRecord, fleet: this.fleet, log: silent })
    this.ledger = new duties.UsageLedger({ env, store, eras, name: `${name}.${incarnation}`, windowMs: WINDOW_MS, isRelay, log: silent })
    this.collector = new duties.UsageCollector({ peers, ledger: this.ledger, eras, relayAddresses: () => this.exchange.fellowAddresses(), log: silent })
    this.quarantine = new quarantine.SegmentQuarantine({ clock, selfName: name, gateways: () => this.directory.gatewayNames(), log: silent })
    const gateways = (): quota.Gateways => ({ known: 1 + this.roster.all().length, inContact: this.roster.inContact(), registered: this.directory.isRegistered, wasListed: this.directory.wasListed })
    this.quotas = new quota.Quotas({ env, elapsed, bounds: region.quotaBounds, peers, gateways, log: silent, metrics: this.metrics })
    this.meter = new capacity.DemandMeter(virtual, this.fleet.speeds)
    this.demand = new capacity.DemandTopic({ clock: virtual, gateway: name, incarnation, meter: this.meter, isRelay: () => this.exchange.isRelay })
    const topics = [this.roster, this.feed, this.fleetFeed, this.fleet.peerLoad, this.fleet.cacheUpdates, this.ledger, this.quarantine, this.demand, this.quotas.topic]
    this.exchange = new exchange.Exchange({ env, elapsed, peers, self, roster: this.roster, topics, ready: () => this.ready, log: silent })
    this.directory = new directory.Directory({ env, store, eras, self, roster: this.roster, isRelay, ready: () => this.ready, log: logger })
    for (const task of [this.feed, this.fleetFeed, this.directory, this.exchange, this.ledger, this.quotas]) task.start()
  }

  /** The state of a target, as this gateway knows it. */
  target (id: string): fleet.TargetState | undefined {
    return [...this.fleet.all()].find((state) => state.record.id === id)
  }

  /** Stops the process and its monotonic clock, without it noticing. */
  suspend (): void {
    this.suspendedAt ??= this.virtual.now()
  }

  resume (): void {
    if (this.suspendedAt === undefined) return
    this.suspendedMs += this.virtual.now() - this.suspendedAt
    this.suspendedAt = undefined
    for (const fn of this.deferred.splice(0)) this.do(fn)
  }

  /** Runs `fn` in this process: not after its end, and after a suspension. */
  do (fn: () => void): void {
    if (this.running && this.suspendedAt === undefined) fn()
    else if (this.running) this.deferred.push(fn)
  }

  private gatedTimers (virtual: time.VirtualTime): time.Timers {
    return {
      after: (ms, fn) => virtual.after(ms, () => this.do(fn)),
      every: (ms, fn) => virtual.every(ms, () => this.do(fn))
    }
  }

  private gatedStore (store: external.ObjectStore): external.ObjectStore {
    const read = async <T> (work: () => Promise<errors.Result<T, external.StoreError>>): Promise<errors.Result<T, external.StoreError>> => {
      this.traffic.storeReads++
      return this.storeReachable ? await work() : errors.Err({ kind: 'unavailable', message: 'cut off' })
    }
    const write = async <T> (work: () => Promise<errors.Result<T, external.StoreError>>): Promise<errors.Result<T, external.StoreError>> => {
      this.traffic.storeWrites++
      return this.storeReachable ? await work() : errors.Err({ kind: 'unavailable', message: 'cut off' })
    }
    return {
      get: async (key, mode) => await read(async () => await store.get(key, mode)),
      list: async (prefix, mode) => await read(async () => await store.list(prefix, mode)),
      put: async (key, value, expected) => await write(async () => await store.put(key, value, expected)),
      delete: async (key, expected) => await write(async () => await store.delete(key, expected)),
      watch: async (prefix, version, waitMs) => await store.watch(prefix, version, waitMs)
    }
  }
}

/** A store and the gateways that use it. */
export class Region {
  readonly virtual = new time.VirtualTime()
  readonly random = new time.SeededRandom(7)
  readonly store = new standin.MemoryStore(this.virtual)
  readonly gateways = new Map<string, RegionGateway>()
  /** Pairs of names, in order, between which messages get lost. */
  readonly cuts = new Set<string>()
  seed = 1
  /** Time that a message takes, in ms, and the share of messages that get lost. */
  transitMs = (): number => TRANSIT_MS
  lossRate = 0
  quotaBounds: quota.QuotaBounds = { windowMs: 8_000, overage: 0, slackTokens: 0 }
  /** Log of the directories and rosters of gateways that are started later. */
  log: log.Logger = log.SILENT_LOGGER

  /** Starts a gateway; one that runs under the name already is replaced. */
  start (name: string, incarnation = `${name}-1`, domain = `d${this.gateways.size % 5}`): RegionGateway {
    const gateway = new RegionGateway(this, name, incarnation, domain)
    this.gateways.set(name, gateway)
    return gateway
  }

  /** Starts `count` gateways over five failure domains. */
  startMany (count: number): RegionGateway[] {
    return Array.from({ length: count }, (_, index) => this.start(`g${index}`))
  }

  /** Ends a process: nothing more is sent, received or written. */
  kill (name: string): void {
    this.gateways.get(name)!.running = false
  }

  /** Writes an object, replacing what is there. */
  async write (key: string, value: string): Promise<void> {
    await Promise.all([this.store.put(key, value, this.store.peek(key)?.version ?? 'absent'), this.virtual.advance(this.store.faults.delayMs + 1)])
  }

  async call<T> (from: RegionGateway, address: string, method: string, params: unknown, timeoutMs: number): Promise<errors.Result<T, peer.PeerError>> {
    const result = await time.withTimeout<errors.Result<T, peer.PeerError>>(this.virtual, timeoutMs, this.exchange<T>(from, address, method, params), () => errors.Err({ kind: 'timeout', message: 'no reply' }))
    await new Promise<void>((resolve) => from.do(resolve))
    return result
  }

  private async exchange<T> (from: RegionGateway, address: string, method: string, params: unknown): Promise<errors.Result<T, peer.PeerError>> {
    const name = address.split(':')[0]!
    const lost = (a: string, b: string): boolean => this.cuts.has(`${a}>${b}`) || this.random.next() < this.lossRate
    const reqText = JSON.stringify(params)
    from.traffic.sent++
    from.traffic.bytes += reqText.length
    await time.delay(this.virtual, this.transitMs())
    const to = this.gateways.get(name)
    if (to?.running !== true) return errors.Err({ kind: 'refused', message: 'nothing listens there' })
    if (lost(from.name, name)) return await NEVER
    await new Promise<void>((resolve) => to.do(resolve))
    to.traffic.received++
    const res = await to.handlers.get(method)!(JSON.parse(reqText)).then((reply) => JSON.stringify(reply), () => undefined)
    if (res === undefined) return errors.Err({ kind: 'failed', message: 'handler failed' })
    to.traffic.bytes += res.length
    await time.delay(this.virtual, this.transitMs())
    return lost(name, from.name) ? await NEVER : errors.Ok(JSON.parse(res) as T)
  }
}
