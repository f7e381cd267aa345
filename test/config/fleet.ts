/** Processes that propagate a configuration in virtual time. */
import * as fs from 'node:fs'
import { checkConfig, ConfigPropagator, publishConfig, readConfig, withKeyWithdrawn, type ConfigMember } from '../../src/config/index.js'
import { Err, Ok, type Result } from '../../src/errors/index.js'
import type { StoreError } from '../../src/external/index.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { PeerClient, PeerError, PeerHandler, PeerServer } from '../../src/peer/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import { MemoryStore } from '../../src/standin/index.js'
import { delay, VirtualTime } from '../../src/time/index.js'

/** One-way latency between processes, in ms. */
const LATENCY_MS = 1.5

/** Timeout of the store clients, in ms. */
const STORE_TIMEOUT_MS = 2_000

/** The example configuration with one key for each account. */
export function exampleSet (): ConfigSet {
  const set = checkConfig(JSON.parse(fs.readFileSync('examples/consortium.json', 'utf8'))).unwrap()
  return { ...set, keys: set.accounts.map((account, index) => ({ id: `key${index}`, account: account.name, digest: 'a'.repeat(64), withdrawn: false })) }
}

/** One process. */
export class FleetProcess {
  readonly metrics = new Metrics()
  readonly handlers = new Map<string, PeerHandler>()
  propagator: ConfigPropagator
  /** The process reaches neither peers nor the store, and nobody reaches it. */
  isolated = false
  /** Calls to peers fail, but the failure detector does not notice. */
  peerCallsFail = false
  running = true
  bytes = 0
  calls = 0
  incarnation = 1
  private detectedAt = -Infinity

  constructor (readonly name: string, readonly region: string, private readonly fleet: Fleet) {
    this.propagator = this.newPropagator()
  }

  restart (): void {
    this.propagator[Symbol.asyncDispose]().catch(() => {})
    this.handlers.clear()
    this.incarnation++
    this.propagator = this.newPropagator()
    this.propagator.start()
  }

  /** Ends the process; the failure detectors of the others notice it after `detectMs`. */
  kill (detectMs = 0): void {
    this.running = false
    this.detectedAt = this.fleet.time.now() + detectMs
    this.propagator[Symbol.asyncDispose]().catch(() => {})
  }

  get isWatcher (): boolean {
    return this.propagator.isWatcher
  }

  /** Whether `other` estimates that this process is alive. */
  looksAlive (other: FleetProcess): boolean {
    return this.reaches(other) || (!this.running && !this.isolated && !other.isolated && this.fleet.time.now() < this.detectedAt)
  }

  reaches (other: FleetProcess): boolean {
    return !this.isolated && !other.isolated && this.running && other.running
  }

  private newPropagator (): ConfigPropagator {
    const { fleet } = this
    const peers: PeerClient & PeerServer = {
      handle: (method, handler) => { this.handlers.set(method, handler) },
      call: async <T>(address: string, method: string, params: unknown, timeoutMs: number) => await fleet.call<T>(this, address, method, params, timeoutMs)
    }
    const members = { name: this.name, region: this.region, others: () => fleet.membersFor(this) }
    const env = fleet.time.env(fleet.processes.length + 1)
    const propagator = new ConfigPropagator({ env, store: fleet.storeFor(this), peers, members, metrics: this.metrics, log: SILENT_LOGGER })
    propagator.serve(peers)
    return propagator
  }
}

/** The processes, the network between them and the store. */
export class Fleet {
  readonly time = new VirtualTime()
  readonly store = new MemoryStore(this.time)
  readonly processes: FleetProcess[] = []
  /** The store receives calls but responds to none in time. */
  storeTimesOut = false
  private readonly byName = new Map<string, FleetProcess>()

  constructor (count: number, regions: number) {
    for (let index = 0; index < count; index++) {
      const process = new FleetProcess(`p${index}`, `r${index % regions}`, this)
      this.processes.push(process)
      this.byName.set(process.name, process)
    }
  }

  async start (set: ConfigSet): Promise<void> {
    await this.settle(this.publish(() => set))
    for (const process of this.processes) process.propagator.start()
    await this.time.advance(3_000)
  }

  async publish (edit: (set: ConfigSet | undefined) => ConfigSet): Promise<number> {
    const base = (await readConfig(this.store)).unwrap()
    return (await publishConfig(this.store, edit(base?.set), base)).unwrap().generation
  }

  /** Withdraws a key in the store only, without notifying any entry. */
  async withdrawInStore (id: string): Promise<void> {
    await this.settle(this.publish((set) => withKeyWithdrawn(set!, id).unwrap()))
  }

  /** The same while reads come from an old copy; only the operator's read is current. */
  async withdrawInStoreWhileStale (id: string): Promise<void> {
    this.store.setReadsStale(false)
    const base = (await this.settle(readConfig(this.store))).unwrap()!
    this.store.setReadsStale(true)
    await this.settle(publishConfig(this.store, withKeyWithdrawn(base.set, id).unwrap(), base))
  }

  generations (): number[] {
    return this.processes.map((process) => process.propagator.current()?.generation ?? 0)
  }

  async settle<T> (work: Promise<T>): Promise<T> {
    let done = false
    work.finally(() => { done = true }).catch(() => {})
    await this.time.advanceUntil(() => done, 120_000)
    return await work
  }

  /** Membership by an ideal failure detector. */
  membersFor (self: FleetProcess): ConfigMember[] {
    return this.processes.filter((other) => other !== self).map((other) => ({
      name: other.name,
      incarnation: `${other.name}-${other.incarnation}`,
      region: other.region,
      address: other.name,
      alive: other.looksAlive(self),
      terminated: !other.running && !other.looksAlive(self),
      lastContact: self.reaches(other) ? this.time.now() : -Infinity
    }))
  }

  async call<T> (from: FleetProcess, address: string, method: string, params: unknown, timeoutMs: number): Promise<Result<T, PeerError>> {
    const to = this.byName.get(address)
    const handler = to?.handlers.get(method)
    if (to === undefined || handler === undefined || !from.reaches(to) || from.peerCallsFail) {
      await delay(this.time, timeoutMs)
      return Err({ kind: 'timeout', message: 'no reply' })
    }
    await delay(this.time, LATENCY_MS)
    const reply = JSON.stringify(await handler(JSON.parse(JSON.stringify(params))))
    await delay(this.time, LATENCY_MS)
    for (const endpoint of [from, to]) {
      endpoint.bytes += reply.length + JSON.stringify(params).length + method.length
      endpoint.calls++
    }
    return Ok(JSON.parse(reply) as T)
  }

  storeFor (process: FleetProcess): MemoryStore {
    const unreachable = async (): Promise<never> => await new Promise<never>(() => {})
    const timesOut = async (): Promise<Result<never, StoreError>> => {
      await delay(this.time, STORE_TIMEOUT_MS)
      return Err({ kind: 'unknown', message: 'no response in time' })
    }
    return new Proxy(this.store, {
      get: (target, key) => {
        const member: unknown = Reflect.get(target, key)
        if (typeof member !== 'function') return member
        if (process.isolated) return unreachable
        return this.storeTimesOut ? timesOut : member.bind(target)
      }
    })
  }
}
