/** `godwitpoint demo`: runs a deployment with stand-ins on loopback, in one process. */
import * as commander from 'commander'
import { startDemo, type Demo } from '../daemon/index.js'
import { createLogger } from '../log/index.js'
import { systemEnv } from '../time/index.js'
import type { Io } from './common.js'
import { stopOnSignal } from './stop-signals.js'

/** Configuration file served by default. */
const DEFAULT_DECLARATION = 'examples/consortium.json'

/** Creates the command. */
export function demoCommand (io: Io): commander.Command {
  return new commander.Command('demo')
    .description('serve a declaration with stand-ins for the platform, engines and plain services')
    .argument('[declaration]', 'JSON file with a configuration', DEFAULT_DECLARATION)
    .action(async (declaration: string) => await runDemo(io, declaration))
}

async function runDemo (io: Io, declaration: string): Promise<void> {
  const log = createLogger('demo', 'warn', process.stderr)
  const demo = await startDemo(declaration, systemEnv(), log)
  io.print(...startLines(demo))
  await stopOnSignal({
    get active () { return demo.entries.reduce((sum, entry) => sum + entry.daemon.active, 0) },
    // All entries stop together, so callers have no entry to move to and need no time to move.
    drain: async () => { await Promise.all(demo.entries.map(async (entry) => await entry.daemon.drain(0))) },
    [Symbol.asyncDispose]: async () => await demo[Symbol.asyncDispose]()
  }, log)
}

function startLines (demo: Demo): string[] {
  const [account, key] = [...demo.keys][0] ?? []
  const model = demo.config.services.find((service) => service.kind === 'model')?.name
  const callers = demo.entries.map((entry) => entry.addresses.callers)
  const operators = demo.entries.map((entry) => entry.addresses.operators)
  const body = JSON.stringify({ model, prompt: 'Read the inspection history and state pass, fail or hold.', max_tokens: 12, stream: true })
  return [
    `ready entries=${callers.join(',')} operators=${operators.join(',')} platform=${demo.platformUrl}`,
    `# as account ${account}:`,
    `curl -sN http://${callers[0]}/v1/completions -H 'authorization: Bearer ${key?.text}' -H 'content-type: application/json' -d '${body}'`
  ]
}
