/** A simulated deployment in virtual time: shared stand-ins, and processes behind gates. */
import { publishConfig, readConfig, type ConfigMember, type PublishedConfig } from '../../src/config/index.js'
import { MembershipChild } from '../../src/daemon/membership-child.js'
import { SILENT_LOGGER } from '../../src/log/index.js'
import { Metrics } from '../../src/metrics/index.js'
import type { Peers } from '../../src/peer/index.js'
import type { Platform } from '../../src/external/index.js'
import type { ConfigSet } from '../../src/schema/index.js'
import {
  Connection, DEFAULT_ENGINE, ProcessGate, gatedEnv, linkPlatform, MemoryPeers, MemoryPlatform, StandinEngine, StandinPlain,
  type LinkedProcess, type LocatedTarget, type PlatformCall, type RecordedCall
} from '../../src/standin/index.js'
import { delay, VirtualTime, type Env } from '../../src/time/index.js'
import { DOMAINS, MODEL, PLAIN, REGION, smallConfig } from './build.js'
import type { SentRequest, CallerTry } from './evidence.js'
import type { Variant } from './variant.js'

/** A point at which a fault can be injected: the step, the process that reaches it, and the target. */
export interface InjectionPoint {
  readonly step: string
  readonly proc: TestProcess
  readonly target?: string
  readonly connection?: Connection
  readonly payload?: string
}

export const ACCOUNTS = ['alder', 'birch', 'cedar', 'withdrawn'] as const

/** Time in which the processes discover each other, in ms. */
const DISCOVERY_MS = 3_000

/** Lag of the VM list, in ms. */
const VM_LAG_MS = 5_000

export class World<P extends TestProcess = TestProcess> {
  readonly time = new VirtualTime()
  readonly env: Env
  readonly platform: MemoryPlatform
  readonly peers: MemoryPeers
  readonly records: RecordedCall[] = []
  readonly engines: Array<LocatedTarget<StandinEngine>>
  readonly plains: Array<LocatedTarget<StandinPlain>>
  readonly procs: P[] = []
  readonly sentRequests: SentRequest[] = []
  readonly tries: CallerTry[] = []
  readonly acceptedGenerations: Array<{ readonly generation: number, readonly at: number }> = []
  readonly withdrawals: Array<{ readonly account: string, readonly at: number }> = []
  readonly leavingTargets: Array<{ readonly target: string, readonly at: number }> = []
  loadReports: 'fresh' | 'lagging' | 'missing' = 'fresh'
  /** Number of next streams that are broken, so that they are resumed. */
  streamsToBreak = 0
  onStep: (point: InjectionPoint) => void = () => {}
  /** Whether processes that start from now on join the membership. */
  joinOnStart = true
  /** Starts a role change at an engine; replaced in runs whose own orders change engines. */
  startEngineChange = (engine: StandinEngine): void => { engine.order(`change-${this.time.now()}`, 1, { kind: 'role', role: 'mixed' }).catch(() => {}) }

  constructor (readonly seed: number, readonly variant: Variant = {}) {
    this.env = this.time.env(seed)
    this.platform = new MemoryPlatform(this.env)
    this.peers = new MemoryPeers(this.time)
    variant.store?.(this.platform.store)
    this.engines = DOMAINS.map((domain, index) => {
      const name = `${MODEL}-${domain}`
      return { name, domain, inner: new StandinEngine({ ...DEFAULT_ENGINE, name, models: [MODEL], checksFence: index === 0 }, this.time, this.time) }
    })
    this.plains = DOMAINS.map((domain) => {
      const name = `${PLAIN}-${domain}`
      return { name, domain, inner: new StandinPlain(name, this.records, this.time) }
    })
  }

  /** Publishes the first configuration, then starts `count` processes and waits until they have discovered each other. */
  async start (count: number, createProc: (name: string, domain: string) => P & { start (): void }): Promise<void> {
    publishConfig(this.platform.store, smallConfig(ACCOUNTS), undefined).then((outcome) => this.noteAccepted(outcome.unwrap()), () => {})
    await this.time.advance(1_000)
    for (let index = 0; index < count; index++) this.add(createProc)
    await this.time.advance(DISCOVERY_MS)
  }

  /** Starts one more process. */
  add (createProc: (name: string, domain: string) => P & { start (): void }): void {
    const index = this.procs.length
    const proc = createProc(`entry-${index + 1}`, DOMAINS[index % DOMAINS.length]!)
    this.procs.push(proc)
    this.platform.vms.records.set(proc.address, { address: proc.address, domain: proc.domain, state: 'live' })
    proc.gate.onKill(() => {
      proc.lostContactAt = this.time.now()
      this.time.after(VM_LAG_MS, () => this.platform.vms.records.delete(proc.address))
    })
    if (this.joinOnStart) proc.join()
    proc.start()
  }

  /** Edits the configuration and retries after a conflict or an outage; returns the time of the accepted edit. */
  async edit (change: (set: ConfigSet) => ConfigSet): Promise<number> {
    for (let attempt = 0; attempt < 60; attempt++) {
      const outcome = await this.editOnce(change)
      if (outcome !== undefined) return this.time.now()
      await delay(this.time, 500)
    }
    throw new Error('the configuration could not be edited')
  }

  /** Edits the configuration once; `undefined` when the edit was not accepted. */
  async editOnce (change: (set: ConfigSet) => ConfigSet): Promise<PublishedConfig | undefined> {
    const base = await readConfig(this.platform.store)
    if (base.err || base.val === undefined) return undefined
    const outcome = await publishConfig(this.platform.store, change(base.val.set), base.val)
    if (outcome.err) return undefined
    this.noteAccepted(outcome.val)
    return outcome.val
  }

  engine (name: string | undefined): LocatedTarget<StandinEngine> {
    return this.engines.find((engine) => engine.name === name) ?? this.engines[0]!
  }

  private noteAccepted (config: PublishedConfig): void {
    this.acceptedGenerations.push({ generation: config.generation, at: this.time.now() })
  }
}

/** A simulated process: all its timers and calls go through its gate. */
export class TestProcess implements LinkedProcess {
  readonly gate = new ProcessGate()
  readonly connections = new Set<Connection>()
  readonly time: VirtualTime
  readonly env: Env
  readonly platform: Platform
  readonly peers: Peers
  readonly address: string
  /** Connections of callers, by id of the try. */
  readonly callerConnections = new Map<string, { stalled: boolean }>()
  stallNextPlatformCall = false
  stallNextTargetCall = false
  /** When it was killed, or when a pause began that was long enough for the others to continue without it. */
  lostContactAt: number | undefined
  readonly metrics = new Metrics()
  readonly membership: MembershipChild

  constructor (protected readonly world: World, readonly name: string, readonly domain: string) {
    this.time = world.time
    this.address = `${name}:1`
    this.env = gatedEnv(world.time.env(world.seed + world.procs.length + 1), this.gate)
    this.platform = linkPlatform(this, world.platform)
    this.peers = world.peers.join(this)
    const { env, metrics, peers, address, platform: { vms } } = this
    this.membership = new MembershipChild({
      env, metrics, peers, vms, log: SILENT_LOGGER, peerPort: 1, localStatus: () => ({ generation: 0, free: 1 }), onVmLeaving: () => {}
    }, { id: name, incarnation: name, epoch: world.time.wallTimeMs(), version: 0, state: 'alive', address, peer: address, domain, region: REGION })
  }

  /** Joins the membership of the entries. */
  join (): void {
    this.membership.start().catch(() => {})
  }

  /** The other entries, as the configuration propagator requires them. */
  others (): ConfigMember[] {
    const { membership } = this.membership
    return membership.members().filter((member) => member.id !== this.name).map((member) => ({
      name: member.id,
      incarnation: member.incarnation,
      region: member.region,
      address: member.peerAddress,
      alive: member.state === 'alive' || member.state === 'leaving',
      terminated: membership.terminationEvidence(member.incarnation) !== undefined,
      lastContact: member.lastContactMs
    }))
  }

  /** Called before each platform call with a side effect. */
  onPlatformCall (_call: PlatformCall): void {}

  protected reachStep (step: string, details: Partial<InjectionPoint> = {}): void {
    this.world.onStep({ ...details, step, proc: this })
  }
}
