/** A complete deployment in one process: four entries, and stand-ins for all external systems. */
import type { Logger } from '../log/index.js'
import type { ConfigSet } from '../schema/index.js'
import type { EntrySettings } from '../settings/index.js'
import { DisposableStack } from '../task/index.js'
import type { Env } from '../time/index.js'
import { EntryDaemon, type EntryAddresses, type EntryOptions } from './entry-daemon.js'
import { domainOf, startStandins, type Standins } from './standins.js'

/** Number of entries in the demo. */
const ENTRY_COUNT = 4

/** Length of a usage window in the demo, in seconds. */
const USAGE_WINDOW_S = 10

/** A running demo. */
export interface Demo extends Standins {
  readonly entries: readonly DemoEntry[]
}

/** An entry of the demo. */
export interface DemoEntry {
  readonly daemon: EntryDaemon
  readonly addresses: EntryAddresses
}

/** Starts stand-ins and entries for the configuration file at `path`. */
export async function startDemo (path: string, env: Env, log: Logger, options: EntryOptions = {}): Promise<Demo> {
  const resources = new DisposableStack()
  const standins = resources.use(await startStandins(path, env))
  const entries: DemoEntry[] = []
  for (let index = 0; index < ENTRY_COUNT; index++) {
    const settings = settingsOf(index, standins.config, standins.platformUrl)
    const daemon = resources.use(new EntryDaemon(settings, env, log, options))
    const addresses = await daemon.start()
    const domain = settings.entry.failure_domain
    standins.platform.vms.records.set(addresses.callers, { address: addresses.callers, peer_address: addresses.peers, domain, state: 'live' })
    entries.push({ daemon, addresses })
  }
  return { ...standins, entries, [Symbol.asyncDispose]: async () => await resources[Symbol.asyncDispose]() }
}

function settingsOf (index: number, config: ConfigSet, platformUrl: string): EntrySettings {
  const domain = domainOf(index, config)
  const region = config.failure_domains.find((item) => item.name === domain)?.region ?? ''
  return {
    entry: { name: `entry-${index + 1}`, failure_domain: domain, region },
    listen: { address: '127.0.0.1', port: 0, peer_port: 0, operator_port: 0 },
    platform: { url: platformUrl },
    log: { level: 'info' },
    usage: { window_s: USAGE_WINDOW_S },
    operator: {}
  }
}
