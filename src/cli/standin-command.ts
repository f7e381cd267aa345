/** `godwitpoint standin`: runs stand-ins for the platform, engines and plain services, for separate entry processes. */
import * as commander from 'commander'
import { startStandins, type Standins } from '../daemon/index.js'
import { createLogger } from '../log/index.js'
import { systemEnv } from '../time/index.js'
import type { Io } from './common.js'
import { stopOnSignal } from './stop-signals.js'

/** Port of the platform stand-in in the example settings. */
const PLATFORM_PORT = 9_000

interface Options {
  readonly port: number
  readonly vms: readonly string[]
}

/** Creates the command. */
export function standinCommand (io: Io): commander.Command {
  return new commander.Command('standin')
    .description('run stand-ins on loopback and publish a declaration with their addresses and new keys')
    .argument('<declaration>', 'JSON file with a configuration')
    .option('--port <port>', 'port of the platform stand-in', Number, PLATFORM_PORT)
    .option('--vms <list>', 'VMs the platform lists: ip:port@failure-domain, separated by commas', (text: string) => text.split(','), [])
    .action(async (declaration: string, options: Options) => await runStandins(io, declaration, options))
}

async function runStandins (io: Io, declaration: string, options: Options): Promise<void> {
  const standins = await startStandins(declaration, systemEnv(), options.port)
  for (const vm of options.vms) {
    const [address = '', domain = ''] = vm.split('@')
    standins.platform.vms.records.set(address, { address, domain, state: 'live' })
  }
  io.print(`ready platform=${standins.platformUrl}`, ...keyLines(standins))
  const stoppable = { active: 0, drain: async () => {}, [Symbol.asyncDispose]: async () => await standins[Symbol.asyncDispose]() }
  await stopOnSignal(stoppable, createLogger('standin', 'info', process.stderr))
}

function keyLines (standins: Standins): string[] {
  return [...standins.keys].map(([account, key]) => `key ${account} ${key.text}`)
}
