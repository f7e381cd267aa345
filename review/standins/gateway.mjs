/** Starts gateways with the command of the deploy file, each a process of its own with a settings file of its own. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')

/** Bounds of the smaller deployments in the platform's sheets. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudget: 0.2,
  budgetWindowS: 10,
  retrySlack: 54,
  fencing: false,
  leaseMs: 3000,
  thawSlackMs: 300,
  reportWindowS: 5,
  usageOff: 0.05,
  usageLateS: 10,
  recoveryS: 12,
  transitMs: 120,
  reuseWindowS: 6.4,
  ttl_max_s: 5
}

/** Heartbeat interval of servers in the settings, in ms. */
export const HEARTBEAT_MS = 1_200

const READY_TIMEOUT_MS = 20_000

/** Processes that run; they end with this one. */
const children = new Set()
process.on('exit', () => { for (const child of children) child.kill('SIGKILL') })
process.on('SIGTERM', () => process.exit(2))

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 20_000
const LAST_PORT = 32_000

/** Ports that were given out already. */
const givenPorts = new Set()

async function isFree (port) {
  const server = net.createServer()
  const free = await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => resolve(true))
  })
  if (free) await new Promise((resolve) => server.close(resolve))
  return free
}

/** A free port of the loopback address. */
async function freePort () {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT))
    if (givenPorts.has(port)) continue
    givenPorts.add(port)
    if (await isFree(port)) return port
  }
}

/** The program and the arguments of the gateway role in the deploy file. */
function deployCommand () {
  const text = fs.readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8')
  const run = /^\[roles\.gateway\][^[]*?^run = "([^"]+)"/ms.exec(text)?.[1]
  if (run === undefined) throw new Error('the deploy file has no gateway role')
  return run.split(' ')
}

/** A gateway process; its log lines go to a file in its temporary folder and are kept in memory. */
export class Gateway {
  lines = []
  exited = false

  static async start (name, platformAddress, zones = { 'zone-a': 'region' }, zone = 'zone-a') {
    const gateway = new Gateway()
    gateway.dir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
    const [front, ready, control, directory, peer, metrics] = await Promise.all(Array.from({ length: 6 }, freePort))
    Object.assign(gateway, { name, front, ready, directory, metrics })
    const at = (port) => `127.0.0.1:${port}`
    const settings = {
      node: name,
      role: 'gateway',
      machineClass: 'edge',
      serves: ['edge', 'registry'],
      ip: '127.0.0.1',
      zone,
      region: 'region',
      zones,
      listen: { front: at(front), ready: at(ready), control: at(control), directory: at(directory) },
      portRange: [peer, peer],
      seeds: [],
      bootstrap: true,
      inTolerance: false,
      limits: { cpuShare: 0.5, cores: 2, memoryMb: 480, maxFds: 6150, linkMbps: 1500, diskMb: 0 },
      dataDir: null,
      discovery: 'platform',
      entry: 'registry',
      heartbeatMs: HEARTBEAT_MS,
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'tenants', 'leader', 'platform'],
      faultTolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      provider: { address: platformAddress, form: 'objects', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000 },
      cloud: { address: platformAddress, ratePerS: 50, duties: ['usage_report', 'autoscale'], dutyPerS: 50 }
    }
    gateway.settingsPath = path.join(gateway.dir, 'settings.json')
    fs.writeFileSync(gateway.settingsPath, JSON.stringify(settings))
    gateway.spawn()
    return gateway
  }

  spawn () {
    const [program, ...args] = deployCommand()
    // All gateways share one address here, so each gets a metrics port of its own.
    const ownArgs = args.map((arg) => arg === '9464' ? String(this.metrics) : arg)
    const { PATH, HOME, LANG } = process.env
    this.child = childProcess.spawn(program === 'node' ? process.execPath : program, ownArgs, { cwd: ROOT, env: { PATH, HOME, LANG, GODWITPOINT_NODE_FILE: this.settingsPath }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.exited = false
    const { child } = this
    children.add(child)
    const keep = (data) => this.lines.push(...data.toString().split('\n').filter((line) => line !== ''))
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    child.once('exit', (code, signal) => {
      children.delete(child)
      this.exited = true
      this.exit = String(signal ?? code)
    })
  }

  async untilReady () {
    const until = Date.now() + READY_TIMEOUT_MS
    while (!await fetch(`http://127.0.0.1:${this.ready}/-/readyz`).then((res) => res.ok, () => false)) {
      if (Date.now() > until || this.exited) throw new Error(`${this.name} is not ready`)
      await new Promise((resolve) => setTimeout(resolve, 50))
    }
  }

  /** Ends the process and removes its folder. */
  async end () {
    if (!this.exited) {
      this.child.kill('SIGKILL')
      await new Promise((resolve) => this.child.once('exit', resolve))
    }
    fs.rmSync(this.dir, { recursive: true })
  }
}
