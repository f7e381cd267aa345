import * as childProcess from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import type * as stream from 'node:stream'
import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import * as deployment from './deployment.js'

/** Folder of the built program; `npm run bundle` makes it. */
const BUILD_DIR = 'target'

/** How long a process is left alone with a port that is in use or settings that are incomplete, in ms. */
const TROUBLE_MS = 1_000

/** A copy of the built program in a folder without `node_modules`. */
class CopiedProgram implements AsyncDisposable {
  private constructor (readonly dir: string) {}

  static async create (): Promise<CopiedProgram> {
    const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'godwitpoint-'))
    await fs.cp(BUILD_DIR, path.join(dir, BUILD_DIR), { recursive: true })
    return new CopiedProgram(dir)
  }

  /** Makes the program print a line and wait when its modules begin to load. */
  async delayLoading (): Promise<void> {
    const file = path.join(this.dir, BUILD_DIR, 'godwitpoint-program.mjs')
    await fs.writeFile(file, `console.log('loading')\nawait new Promise((resolve) => setTimeout(resolve, 20_000))\n${await fs.readFile(file, 'utf8')}`)
  }

  start (...args: string[]): childProcess.ChildProcessByStdio<null, stream.Readable, null> {
    return childProcess.spawn(process.execPath, ['target/godwitpoint.mjs', ...args], { cwd: this.dir, stdio: ['ignore', 'pipe', 'inherit'] })
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await fs.rm(this.dir, { recursive: true })
  }
}

async function exitOf (child: childProcess.ChildProcess): Promise<string> {
  return await new Promise((resolve) => child.once('exit', (code, signal) => resolve(String(signal ?? code))))
}

async function wait (ms: number): Promise<void> {
  await time.delay(new time.SystemTimers(), ms)
}

/** One gateway that was ready and was killed. */
async function startKilled (): Promise<deployment.Deployment> {
  const dep = await deployment.Deployment.start(time.systemEnv(), { gateways: 1, engines: 1, plains: 1, accounts: 1 })
  await dep.ready()
  dep.gateways[0]!.signal('SIGKILL')
  await dep.gateways[0]!.ended()
  return dep
}

async function occupy (address: string): Promise<net.Server> {
  const [host, port] = address.split(':')
  const server = net.createServer((socket) => socket.destroy())
  await new Promise<void>((resolve) => server.listen(Number(port), host, resolve))
  return server
}

describe('start of the gateway process', () => {
  // The bundle left packages out, so that the process ended at once where only the built files are taken along.
  it('needs nothing but the built files', async () => {
    await using program = await CopiedProgram.create()
    chai.expect(await exitOf(program.start('--help'))).to.equal('0')
  })

  // The handlers were installed after all modules had loaded; until then SIGHUP and SIGTERM ended the process as killed.
  it('handles SIGHUP and SIGTERM before its modules are loaded', async () => {
    await using program = await CopiedProgram.create()
    await program.delayLoading()
    const child = program.start()
    const exit = exitOf(child)
    await new Promise((resolve) => child.stdout.once('data', resolve))
    for (let count = 0; count < 3; count++) {
      child.kill('SIGHUP')
      await wait(20)
    }
    child.kill('SIGTERM')
    chai.expect(await exit).to.equal('0')
  })

  // A process that was started while the one before still stopped ended with EADDRINUSE.
  for (const port of ['front', 'ready', 'directory'] as const) {
    it(`waits for the port of ${port} while it is in use`, async () => {
      await using dep = await startKilled()
      const gateway = dep.gateways[0]!
      const other = await occupy(gateway[port])
      gateway.start()
      await wait(TROUBLE_MS)
      chai.expect(gateway.running, gateway.lines.join('\n')).to.equal(true)
      await new Promise<void>((resolve) => { other.close(() => resolve()) })
      await dep.ready()
      chai.expect(gateway.unexpectedExits).to.deep.equal([])
    })
  }

  it('does not count as ready while callers cannot connect', async () => {
    await using dep = await startKilled()
    const gateway = dep.gateways[0]!
    const other = await occupy(gateway.front)
    gateway.start()
    const statuses = new Set<number>()
    for (let elapsed = 0; elapsed < 2 * TROUBLE_MS; elapsed += 50) {
      await wait(50)
      await fetch(`http://${gateway.ready}/`).then((res) => statuses.add(res.status), () => {})
    }
    chai.expect([...statuses]).to.deep.equal([503])
    await new Promise<void>((resolve) => { other.close(() => resolve()) })
    await dep.ready()
  })

  // The platform writes the file at each start; a process that read half of it ended.
  it('waits for settings that are missing or incomplete', async () => {
    await using dep = await startKilled()
    const gateway = dep.gateways[0]!
    const text = await fs.readFile(gateway.settingsPath, 'utf8')
    await fs.writeFile(gateway.settingsPath, text.slice(0, text.length / 2))
    gateway.start()
    await wait(TROUBLE_MS)
    await fs.writeFile(gateway.settingsPath, text)
    await dep.ready()
    chai.expect(gateway.unexpectedExits).to.deep.equal([])
  })
})
