// Starts a gateway with the command of deploy/system.toml and settings like those of lsl-tagnet.
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as wire from './wire.mjs'

/** Words of `run` in deploy/system.toml after the program, up to the port of the metrics. */
const ARGUMENTS = ['--max-old-space-size=192', '--max-semi-space-size=4', '--expose-gc', 'target/godwitpoint.mjs', '--metrics-port']
const READY_TIMEOUT_MS = 20_000
const ZONES = { 'gl-west': 'great-lakes', 'gl-central': 'great-lakes', 'gl-east': 'great-lakes' }

/** Figures of lsl-tagnet that the settings hold. */
const BOUNDS = { seedLagS: 3, reuseAfterS: 2, contactMs: 3000, ackMs: 4000, catchUpS: 4, drainMs: 2000, graceS: 8, lossSlackMs: 200, configApplyMs: 2000, rollbackSlackMs: 250, maxStretchMs: 5000, strictRevoke: true, revokeMs: 5000, retryBudget: 0.2, budgetWindowS: 10, retrySlack: 54, fencing: false, leaseMs: 3000, thawSlackMs: 300, reportWindowS: 5, usageOff: 0.05, usageLateS: 10, recoveryS: 12, transitMs: 120, reuseWindowS: 6.4, ttl_max_s: 5 }
const LIMITS = { cpuShare: 0.513, cores: 2, memoryMb: 480, maxFds: 6150, linkMbps: 1500.0, diskMb: 0 }
const CONTRACTS = ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'split', 'stream', 'engine', 'tenants', 'leader', 'platform']

/** Starts a gateway, and resolves when it says that it is ready. */
export async function startGateway (name, dir, storeAddress) {
  const [front, ready, control, directory, peer, metrics] = await Promise.all(Array.from({ length: 6 }, wire.freePort))
  const on = (port) => `${wire.HOST}:${port}`
  const file = path.join(dir, `${name}.json`)
  fs.writeFileSync(file, JSON.stringify({
    node: name,
    role: 'gateway',
    machineClass: 'edge',
    serves: ['edge', 'registry'],
    ip: wire.HOST,
    zone: 'gl-west',
    region: 'great-lakes',
    zones: ZONES,
    listen: { front: on(front), ready: on(ready), control: on(control), directory: on(directory) },
    portRange: [peer, peer],
    seeds: [],
    bootstrap: true,
    inTolerance: false,
    limits: LIMITS,
    dataDir: null,
    discovery: 'platform',
    entry: 'registry',
    heartbeatMs: 1200,
    contracts: CONTRACTS,
    faultTolerance: { machines: 2, zones: 0, regions: 0 },
    bounds: BOUNDS,
    provider: { address: storeAddress, form: 'objects', writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000 },
    cloud: { address: storeAddress, ratePerS: 50.0, duties: ['usage_report', 'autoscale'], dutyPerS: 50.0 }
  }))
  const { PATH, HOME } = process.env
  const child = childProcess.spawn(process.execPath, [...ARGUMENTS, String(metrics)], { env: { PATH, HOME, GODWITPOINT_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'pipe'] })
  const gateway = { name, front, ready, directory, child, lines: [], ended: undefined }
  const keep = (data) => { gateway.lines.push(...data.toString().split('\n').filter((line) => line !== '')) }
  child.stdout.on('data', keep)
  child.stderr.on('data', keep)
  child.once('exit', (code, signal) => { gateway.ended = String(signal ?? code) })
  for (const until = Date.now() + READY_TIMEOUT_MS; !await wire.isReady(ready);) {
    if (Date.now() > until || gateway.ended !== undefined) throw new Error(`${name} is not ready: ${gateway.lines.slice(-5).join('\n')}`)
    await wire.delay(50)
  }
  return gateway
}
