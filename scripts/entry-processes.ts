/** Starts entries as child processes, each with its own INI file. */
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import type { Standins } from '../src/daemon/index.js'
import { systemEnv, withTimeout } from '../src/time/index.js'

/** Entries of the deployment, one per VM. */
const ENTRY_COUNT = 4

/** Time allowed for an entry to start, in ms. */
const START_TIMEOUT_MS = 20_000

const { timers } = systemEnv()

/** A running entry process. */
export interface EntryProcess {
  readonly callerAddress: string
  readonly operatorAddress: string
  readonly pid: number
  /** Sends SIGTERM. */
  terminate (): void
  /** Resolves with the exit code; rejects when the process does not exit within `ms`. */
  exitWithin (ms: number): Promise<number>
}

/** Entry processes and their settings files; disposing kills the processes and deletes the files. */
export interface EntryFleet extends AsyncDisposable {
  readonly entries: readonly EntryProcess[]
}

/** Starts four entries that use the stand-ins, and adds them to the VM list. `windowS` is the length of a usage window in seconds. */
export async function startEntryProcesses (standins: Standins, windowS = 10): Promise<EntryFleet> {
  const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'godwitpoint-'))
  const children: childProcess.ChildProcess[] = []
  const entries: EntryProcess[] = []
  for (let index = 0; index < ENTRY_COUNT; index++) {
    const domain = standins.config.failure_domains[index % standins.config.failure_domains.length]
    const file = path.join(dir, `entry-${index + 1}.ini`)
    await fs.writeFile(file, settingsText(index, domain?.name ?? '', domain?.region ?? '', standins.platformUrl, windowS))
    const child = childProcess.spawn(process.execPath, ['--import', 'tsx', 'src/cli/main.ts', 'entry', '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
    children.push(child)
    const entry = await waitUntilReady(child)
    standins.platform.vms.records.set(entry.callerAddress, { address: entry.callerAddress, domain: domain?.name ?? '', state: 'live' })
    entries.push(entry)
  }
  return {
    entries,
    async [Symbol.asyncDispose] () {
      for (const child of children) child.kill('SIGKILL')
      await fs.rm(dir, { recursive: true })
    }
  }
}

async function waitUntilReady (child: childProcess.ChildProcess): Promise<EntryProcess> {
  if (child.stdout === null) throw new Error('the child process has no stdout')
  const exited = new Promise<number>((resolve) => { child.once('exit', (code) => resolve(code ?? -1)) })
  const lines = readline.createInterface({ input: child.stdout })
  const line = await withTimeout(timers, START_TIMEOUT_MS, new Promise<string>((resolve, reject) => {
    lines.on('line', (text) => { if (text.includes('event=entry_ready')) resolve(text) })
    exited.then((code) => reject(new Error(`the entry ended with code ${code} before it was ready`)), reject)
  }), () => { throw new Error('the entry did not become ready') })
  return {
    callerAddress: fieldOf(line, 'callers'),
    operatorAddress: fieldOf(line, 'operators'),
    pid: child.pid ?? 0,
    terminate: () => { child.kill('SIGTERM') },
    exitWithin: async (ms) => await withTimeout(timers, ms, exited, () => { throw new Error(`the entry did not end within ${ms} ms`) })
  }
}

function fieldOf (line: string, key: string): string {
  const match = new RegExp(`${key}=(\\S+)`).exec(line)
  if (match?.[1] === undefined) throw new Error(`log line has no field ${key}: ${line}`)
  return match[1]
}

function settingsText (index: number, domain: string, region: string, platformUrl: string, windowS: number): string {
  return [
    '[entry]', `name = entry-${index + 1}`, `failure_domain = ${domain}`, `region = ${region}`,
    '[listen]', 'address = 127.0.0.1', 'port = 0', 'peer_port = 0', 'operator_port = 0',
    '[platform]', `url = ${platformUrl}`,
    '[usage]', `window_s = ${windowS}`, ''
  ].join('\n')
}
