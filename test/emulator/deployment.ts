/** A whole deployment on loopback: the store, servers, and gateways as processes of their own. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import type * as time from '../../src/time/index.js'
import * as portChoice from '../support/ports.js'
import * as engineServer from './engine-server.js'
import * as httpServer from './http-server.js'
import * as observations from './observations.js'
import * as plainServer from './plain-server.js'
import * as storeServer from './store-server.js'

/** The bundled program; `npm run bundle` makes it. */
const PROGRAM = 'target/godwitpoint.mjs'

/** Interval at which servers write their entries, in ms. */
const HEARTBEAT_MS = 600

/** Time within which a gateway must be ready after its start, in ms. */
const READY_TIMEOUT_MS = 20_000

const DOMAINS = ['zone-a', 'zone-b', 'zone-c']

/** Bounds in the settings of the gateways; times in ms unless the name ends with S. */
export const BOUNDS = {
  configApplyMs: 2_000,
  drainMs: 2_000,
  revokeMs: 5_000,
  retryBudget: 0.2,
  retrySlack: 50,
  budgetWindowS: 10,
  graceS: 8,
  leaseMs: 3_000,
  reportWindowS: 5,
  ttl_max_s: 5
}

/** Service names of the deployment. */
export const ENGINES = 'engines'
export const LEDGER = 'ledger'

/** Sizes of a deployment. */
export interface DeploymentOptions {
  readonly gateways: number
  readonly engines: number
  readonly plains: number
  readonly accounts: number
  /** Arguments of Node for gateways, by index. */
  readonly nodeArgs?: (index: number) => readonly string[]
  /** Limits of the VMs of the gateways; absent from their settings by default. */
  readonly limits?: VmLimits
}

/** What the process of a gateway may use. */
export interface VmLimits {
  readonly memoryMb: number
  readonly maxFds: number
}

/** A client account and its key. */
export interface Account {
  readonly name: string
  readonly key: string
}

/** One gateway and its process. */
export class GatewayChild {
  private child: childProcess.ChildProcess | undefined
  /** Last lines of its output. */
  readonly lines: string[] = []
  /** Exits that nobody asked for: the code or signal. */
  readonly unexpectedExits: string[] = []
  private stopping = false

  constructor (
    readonly name: string, readonly front: string, readonly ready: string, readonly directory: string,
    readonly settingsPath: string, private readonly metricsPort: number, private readonly nodeArgs: readonly string[]
  ) {}

  /** Starts the process. */
  start (): void {
    this.stopping = false
    const child = childProcess.spawn(process.execPath, [...this.nodeArgs, PROGRAM, '--metrics-port', String(this.metricsPort)], { env: { ...process.env, GODWITPOINT_NODE_FILE: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.child = child
    const keep = (data: Buffer): void => {
      this.lines.push(...data.toString().split('\n').filter((line) => line !== ''))
      if (this.lines.length > 20_000) this.lines.splice(0, 10_000)
    }
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      if (!this.stopping && this.child === child) this.unexpectedExits.push(String(signal ?? code))
      if (this.child === child) this.child = undefined
    })
  }

  /** Process id; undefined when it does not run. */
  get pid (): number | undefined {
    return this.child?.pid
  }

  get running (): boolean {
    return this.child !== undefined
  }

  /** Sends a signal to the process that this object started. */
  signal (signal: NodeJS.Signals): void {
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.stopping = true
    this.child?.kill(signal)
  }

  /** Resolves when the process has ended. */
  async ended (): Promise<void> {
    const { child } = this
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return
    await new Promise<void>((resolve) => child.once('exit', () => resolve()))
  }
}

/** A running deployment; disposing ends its processes. */
export class Deployment implements AsyncDisposable {
  readonly observations = new observations.Observations()
  readonly gateways: GatewayChild[] = []
  readonly engines: engineServer.EngineServer[] = []
  readonly plains: plainServer.PlainServer[] = []
  /** Servers that write their entries; others let them expire. */
  readonly beating = new Set<engineServer.EngineServer | plainServer.PlainServer>()
  readonly leaving = new Set<engineServer.EngineServer | plainServer.PlainServer>()
  accounts: Account[]
  configVersion = 1
  private readonly timers: Disposable[] = []

  private constructor (readonly env: time.Env, readonly store: storeServer.StoreServer, private readonly dir: string, options: DeploymentOptions) {
    this.accounts = Array.from({ length: options.accounts }, (_, index) => ({ name: `account-${index}`, key: `key-${index}` }))
  }

  static async start (env: time.Env, options: DeploymentOptions): Promise<Deployment> {
    const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'godwitpoint-'))
    const deployment = new Deployment(env, await storeServer.StoreServer.start(env.clock), dir, options)
    await deployment.startServers(options)
    await deployment.writeConfig()
    for (let index = 0; index < options.gateways; index++) await deployment.addGateway(index, options.nodeArgs?.(index) ?? [], options.limits)
    for (const gateway of deployment.gateways) gateway.start()
    return deployment
  }

  /** Resolves when all gateways are ready. */
  async ready (): Promise<void> {
    const deadline = this.env.clock.now() + READY_TIMEOUT_MS
    for (const gateway of this.gateways) {
      while (!await isReady(gateway.ready)) {
        if (this.env.clock.now() > deadline) throw new Error(`${gateway.name} is not ready:\n${gateway.lines.slice(-20).join('\n')}`)
        await new Promise<void>((resolve) => { this.env.timers.after(50, resolve) })
      }
    }
  }

  /** Writes the present configuration under a new version. */
  async writeConfig (): Promise<void> {
    const engine = { slots: 32, kvCapacity: 2_000_000, kvTokenBytes: 1_000, linkMbps: 100_000 }
    const route = (name: string, kind: string, service: string, extra: object): object => ({ name, host: 'svc.example', pathPrefix: `/${name}/`, kind, timeoutMs: 4_000, sloMs: 400, priority: 1, service, maxAttempts: 2, public: false, ...extra })
    await this.store.write('config/main', {
      version: this.configVersion++,
      routes: [
        route('chat', 'streaming', ENGINES, { resumable: true, gapTargetMs: 300 }),
        route('review', 'streaming', ENGINES, { resumable: false, maxAttempts: 1, gapTargetMs: 300 }),
        route('record', 'unsafe', LEDGER, { maxAttempts: 1 }),
        route('read', 'safe', LEDGER, {})
      ],
      services: [{ name: ENGINES, maxConns: 400, engine }, { name: LEDGER, maxConns: 400 }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
      tenants: this.accounts.map(({ name, key }) => ({ name, apiKeys: [key] }))
    })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    for (const timer of this.timers) timer[Symbol.dispose]()
    for (const gateway of this.gateways) gateway.signal('SIGKILL')
    await Promise.all(this.gateways.map(async (gateway) => await gateway.ended()))
    for (const server of [...this.engines, ...this.plains]) await server[Symbol.asyncDispose]()
    await this.store[Symbol.asyncDispose]()
    await fs.rm(this.dir, { recursive: true })
  }

  private async startServers ({ engines, plains }: DeploymentOptions): Promise<void> {
    const deps = { env: this.env, observations: this.observations }
    for (let index = 0; index < engines; index++) this.engines.push(await engineServer.EngineServer.start(`engine-${index}`, index % 3 === 0 ? 'prefill' : 'decode', 32, deps))
    for (let index = 0; index < plains; index++) this.plains.push(await plainServer.PlainServer.start(`plain-${index}`, 6, deps))
    for (const server of [...this.engines, ...this.plains]) this.beating.add(server)
    await this.writeEntries()
    this.timers.push(this.env.timers.every(HEARTBEAT_MS, () => { this.writeEntries().catch(() => {}) }))
  }

  private async writeEntries (): Promise<void> {
    for (const [index, server] of [...this.engines, ...this.plains].entries()) {
      const key = `servers/${server.id}`
      if (!this.beating.has(server)) { await this.store.remove(key); continue }
      const stage = server instanceof engineServer.EngineServer ? { stage: server.stage } : {}
      const entry = { service: 'stage' in stage ? ENGINES : LEDGER, address: server.address, zone: DOMAINS[index % DOMAINS.length], slots: server.slots, state: this.leaving.has(server) ? 'draining' : 'ready', ...stage }
      const text = JSON.stringify(entry)
      if (this.store.store.peek(key)?.value !== text) await this.store.write(key, entry)
    }
  }

  private async addGateway (index: number, nodeArgs: readonly string[], limits: VmLimits | undefined): Promise<void> {
    const ports: number[] = []
    for (let count = 0; count < 5; count++) ports.push(await portChoice.freePort())
    const [front, ready, directory, peer, metrics] = ports.map((port) => `${httpServer.HOST}:${port}`) as [string, string, string, string, string]
    const name = `gateway-${index}`
    const settingsPath = path.join(this.dir, `${name}.json`)
    const peerPort = Number(peer.split(':')[1])
    await fs.writeFile(settingsPath, JSON.stringify({
      node: name,
      zone: DOMAINS[index % DOMAINS.length],
      zones: Object.fromEntries(DOMAINS.map((domain) => [domain, 'region'])),
      listen: { front, ready, control: front, directory },
      portRange: [peerPort, peerPort],
      heartbeatMs: HEARTBEAT_MS,
      bounds: BOUNDS,
      limits,
      provider: { address: this.store.address },
      cloud: { address: this.store.address }
    }))
    this.gateways.push(new GatewayChild(name, front, ready, directory, settingsPath, Number(metrics.split(':')[1]), nodeArgs))
  }
}

async function isReady (address: string): Promise<boolean> {
  return await fetch(`http://${address}/-/readyz`).then((res) => res.ok, () => false)
}
