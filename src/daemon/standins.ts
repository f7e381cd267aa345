/** Stand-ins for all external systems of a deployment, on loopback, with its configuration published. */
import * as fs from 'node:fs/promises'
import { checkConfig, publishConfig } from '../config/index.js'
import { createKey, type NewKey } from '../entry/index.js'
import type { Account, ConfigSet, Key, Service, Target } from '../schema/index.js'
import {
  DEFAULT_ENGINE, MemoryPlatform, serveEngine, servePlain, servePlatform, StandinEngine, StandinPlain, type RecordedCall
} from '../standin/index.js'
import { DisposableStack } from '../task/index.js'
import type { Env } from '../time/index.js'

/** Number of engines started for each model service. */
const ENGINES_PER_MODEL = 2

/** Time from the order of a target until its stand-in runs, in ms. */
const ORDER_DELIVERY_MS = 10_000

/** The running stand-ins of a deployment. */
export interface Standins extends AsyncDisposable {
  readonly platform: MemoryPlatform
  readonly platformUrl: string
  readonly config: ConfigSet
  /** One key for each account, by account name. */
  readonly keys: ReadonlyMap<string, NewKey>
  /** Calls that plain services received. */
  readonly recordedCalls: readonly RecordedCall[]
  readonly engines: readonly StandinEngine[]
}

/** Starts stand-ins for the configuration file at `path` and publishes it with their addresses and new keys. */
export async function startStandins (path: string, env: Env, platformPort = 0): Promise<Standins> {
  const resources = new DisposableStack()
  const platform = new MemoryPlatform(env, ORDER_DELIVERY_MS)
  const platformServer = resources.use(await servePlatform(platform, platformPort))
  const declared = checkConfig(JSON.parse(await fs.readFile(path, 'utf8'))).unwrap()
  const started: StartedTargets = { targets: [], engines: [], recordedCalls: [] }
  for (const service of declared.services) await startService(service, declared, env, resources, started)
  let stopped = false
  platform.ordering.startTarget = async (target) => {
    // An order may become due after the stand-ins have stopped; its server would then keep the process alive.
    if (stopped) throw new Error('the stand-ins have stopped')
    const engine = startEngine(target.service, target.name, target.checksFence, env, started)
    return resources.use(await serveEngine(engine, env.timers)).url
  }
  const keys = new Map(declared.accounts.map((account) => [account.name, createKey()]))
  const config = checkConfig({ ...declared, targets: started.targets, keys: keyRows(declared.accounts, keys) }).unwrap()
  ;(await publishConfig(platform.store, config, undefined)).unwrap()
  return {
    platform,
    platformUrl: platformServer.url,
    config,
    keys,
    recordedCalls: started.recordedCalls,
    engines: started.engines,
    async [Symbol.asyncDispose] () {
      stopped = true
      await resources[Symbol.asyncDispose]()
    }
  }
}

/** Failure domain of the `index`th VM or target, assigned round-robin. */
export function domainOf (index: number, config: ConfigSet): string {
  return config.failure_domains[index % config.failure_domains.length]?.name ?? ''
}

interface StartedTargets {
  readonly targets: Target[]
  readonly engines: StandinEngine[]
  readonly recordedCalls: RecordedCall[]
}

async function startService (service: Service, declared: ConfigSet, env: Env, resources: DisposableStack, started: StartedTargets): Promise<void> {
  const count = service.kind === 'model' ? ENGINES_PER_MODEL : 1
  for (let index = 0; index < count; index++) {
    const name = `${service.name}-${index + 1}`
    // Half of the engines ignore fencing tokens, as some real engines do.
    const checksFence = index % 2 === 0
    const server = service.kind === 'model'
      ? await serveEngine(startEngine(service.name, name, checksFence, env, started), env.timers)
      : await servePlain(new StandinPlain(name, started.recordedCalls, env.timers))
    resources.use(server)
    started.targets.push({
      name,
      service: service.name,
      domain: domainOf(index, declared),
      url: server.url,
      price_class: 'standard',
      checks_fence: checksFence,
      leaving: false,
      ordered: false
    })
  }
}

function startEngine (model: string, name: string, checksFence: boolean, env: Env, started: StartedTargets): StandinEngine {
  const engine = new StandinEngine({ ...DEFAULT_ENGINE, name, models: [model], checksFence }, env.clock, env.timers)
  started.engines.push(engine)
  return engine
}

function keyRows (accounts: readonly Account[], keys: ReadonlyMap<string, NewKey>): Key[] {
  return accounts.map((account) => {
    const key = keys.get(account.name)
    if (key === undefined) throw new Error(`no key for account ${account.name}`)
    return { id: key.id, account: account.name, digest: key.digest, withdrawn: false }
  })
}
