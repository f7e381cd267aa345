import * as childProcess from 'node:child_process'
import * as fs from 'node:fs/promises'
import * as os from 'node:os'
import * as path from 'node:path'
import type * as stream from 'node:stream'
import * as chai from 'chai'

/** Folder of the built program; `npm run bundle` makes it. */
const BUILD_DIR = 'target'

/** A copy of the built program in a folder without `node_modules`. */
class CopiedProgram implements AsyncDisposable {
  private constructor (readonly dir: string) {}

  static async create (): Promise<CopiedProgram> {
    const dir = await fs.mkdtemp(path.join(os.tmpdir(), 'godwitpoint-'))
    await fs.cp(BUILD_DIR, path.join(dir, BUILD_DIR), { recursive: true })
    return new CopiedProgram(dir)
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

describe('start of the gateway process', () => {
  // The bundle left packages out, so that the process ended at once where only the built files are taken along.
  it('needs nothing but the built files', async () => {
    await using program = await CopiedProgram.create()
    chai.expect(await exitOf(program.start('--help'))).to.equal('0')
  })
})
