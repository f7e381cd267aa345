/** `godwitpoint config`: checks, compares and publishes configuration files. */
import * as fs from 'node:fs/promises'
import * as commander from 'commander'
import { checkConfig, diffConfig, publishConfig, readConfig, type ConfigChange, type PublishedConfig } from '../config/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore } from '../external/index.js'
import type { ConfigSet } from '../schema/index.js'
import { entriesOption, EXIT, operatorClients, platformOption, withPlatform, type Io } from './common.js'

/** Creates the command group. */
export function configCommand (io: Io): commander.Command {
  return new commander.Command('config')
    .description('check, compare and publish the configuration')
    .addCommand(checkCommand(io))
    .addCommand(diffCommand(io))
    .addCommand(applyCommand(io))
    .addCommand(statusCommand(io))
}

interface PlatformOptions {
  readonly platform: string
}

function checkCommand (io: Io): commander.Command {
  return new commander.Command('check')
    .description('check a file without publishing it')
    .argument('<file>', 'JSON file with a configuration')
    .action(async (file: string) => {
      const checked = await loadConfigFile(file, undefined)
      if (checked.err) io.fail(EXIT.usage, checked.val)
      else io.print('ok')
    })
}

function diffCommand (io: Io): commander.Command {
  return new commander.Command('diff')
    .description('show what publishing a file would change')
    .argument('<file>', 'JSON file with a configuration')
    .addOption(platformOption())
    .action(async (file: string, options: PlatformOptions) => await withPlatform(options.platform, async ({ store }) => {
      const plan = await planChange(file, store)
      if (plan.err) io.fail(EXIT.failed, plan.val)
      else io.print(`generation ${plan.val.base?.generation ?? 0}`, ...plan.val.changes.map(formatChange))
    }))
}

function applyCommand (io: Io): commander.Command {
  return new commander.Command('apply')
    .description('publish a file; sections the file leaves out stay as they are')
    .argument('<file>', 'JSON file with a configuration')
    .addOption(platformOption())
    .option('--base <generation>', 'fail when the published generation is another one', Number)
    .action(async (file: string, options: PlatformOptions & { base?: number }) => await withPlatform(options.platform, async ({ store }) => {
      await applyFile(io, file, store, options.base)
    }))
}

function statusCommand (io: Io): commander.Command {
  return new commander.Command('status')
    .description('show the generation each entry runs')
    .addOption(platformOption())
    .addOption(entriesOption())
    .action(async (options: PlatformOptions & { entries: string[] }) => await withPlatform(options.platform, async ({ store }) => {
      await printStatus(io, store, options.entries)
    }))
}

interface PlannedChange {
  readonly base: PublishedConfig | undefined
  readonly set: ConfigSet
  readonly changes: readonly ConfigChange[]
}

async function planChange (file: string, store: ObjectStore): Promise<Result<PlannedChange, string>> {
  const published = await readConfig(store)
  if (published.err) return Err(published.val.message)
  const base = published.val
  const checked = await loadConfigFile(file, base?.set)
  return checked.map((set) => ({ base, set, changes: diffConfig(base?.set, set) }))
}

async function applyFile (io: Io, file: string, store: ObjectStore, expected: number | undefined): Promise<void> {
  const plan = await planChange(file, store)
  if (plan.err) {
    io.fail(EXIT.usage, plan.val)
    return
  }
  const { base, set, changes } = plan.val
  if (expected !== undefined && expected !== (base?.generation ?? 0)) {
    io.fail(EXIT.conflict, `the published generation is ${base?.generation ?? 0}, not ${expected}; run 'godwitpoint config diff'`)
    return
  }
  if (changes.length === 0) {
    io.print(`generation ${base?.generation ?? 0} unchanged`)
    return
  }
  const published = await publishConfig(store, set, base)
  if (published.ok) io.print(...changes.map(formatChange), `generation ${published.val.generation} published`)
  else if (published.val.kind === 'conflict') await explainConflict(io, store, base)
  else io.fail(EXIT.failed, `${published.val.message}; run 'godwitpoint config diff' to see whether it was published`)
}

async function explainConflict (io: Io, store: ObjectStore, base: PublishedConfig | undefined): Promise<void> {
  const current = await readConfig(store)
  const otherChanges = current.ok && current.val !== undefined ? diffConfig(base?.set, current.val.set) : []
  io.fail(EXIT.conflict, ['another operator published first; nothing was changed. They changed:', ...otherChanges.map(formatChange)].join('\n'))
}

async function printStatus (io: Io, store: ObjectStore, entries: readonly string[]): Promise<void> {
  const published = await readConfig(store)
  const generation = published.ok ? published.val?.generation : undefined
  io.print(`published ${generation ?? 'unknown: the store does not answer'}`)
  for (const client of operatorClients(entries)) {
    const report = await client.report()
    if (report.err) {
      io.fail(EXIT.failed, `${client.address}: no answer`)
      continue
    }
    const isBehind = generation !== undefined && report.val.generation < generation
    io.print(`${report.val.entry} ${report.val.generation}${isBehind ? ` behind by ${generation - report.val.generation}` : ''}`)
  }
}

/** Reads and checks a configuration file; sections that it omits are taken from `current`. */
async function loadConfigFile (file: string, current: ConfigSet | undefined): Promise<Result<ConfigSet, string>> {
  let declared: object
  try {
    declared = JSON.parse(await fs.readFile(file, 'utf8')) as object
  } catch (err) {
    return Err(`${file}: ${err instanceof Error ? err.message : String(err)}`)
  }
  const checked = checkConfig(mergeSections(current, declared))
  if (checked.ok) return Ok(checked.val)
  return Err(checked.val.map((problem) => `${file}: ${problem.path}: ${problem.message}`).join('\n'))
}

/** Fills in omitted sections from `current`, and keeps the targets that the system ordered: a file cannot remove them. */
function mergeSections (current: ConfigSet | undefined, declared: object): object {
  const ordered = (current?.targets ?? []).filter((target) => target.ordered)
  const targets = 'targets' in declared && Array.isArray(declared.targets) ? [...declared.targets, ...ordered] : current?.targets ?? []
  return { ...current, ...declared, targets }
}

function formatChange (change: ConfigChange): string {
  return `${change.sign} ${change.kind}/${change.name}${change.fields.length === 0 ? '' : ` ${change.fields.join(' ')}`}`
}
