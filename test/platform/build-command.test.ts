import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as util from 'node:util'
import * as chai from 'chai'

/** The build command of the deploy file. */
function buildCommand (): string {
  return JSON.parse(/^build = (".*")$/m.exec(fs.readFileSync('deploy/system.toml', 'utf8'))![1]!) as string
}

/** A checkout whose npm is a script that notes its calls; the bundle can be made while `usable` exists. */
class FakeCheckout implements Disposable {
  readonly dir = fs.mkdtempSync(path.join(os.tmpdir(), 'godwitpoint-'))
  private readonly calls = path.join(this.dir, 'calls')

  constructor () {
    fs.mkdirSync(path.join(this.dir, 'bin'))
    fs.writeFileSync(path.join(this.dir, 'bin', 'npm'), '#!/bin/sh\necho "$*" >> calls\ncase "$1" in\nci) mkdir -p node_modules; touch node_modules/.package-lock.json usable ;;\n*) [ -e usable ] ;;\nesac\n', { mode: 0o755 })
    this.write('package-lock.json', 1)
  }

  write (name: string, modifiedS: number): void {
    const file = path.join(this.dir, name)
    fs.mkdirSync(path.dirname(file), { recursive: true })
    fs.writeFileSync(file, '')
    fs.utimesSync(file, modifiedS, modifiedS)
  }

  async build (): Promise<string[]> {
    await util.promisify(childProcess.execFile)('/bin/sh', ['-c', buildCommand()], { cwd: this.dir, env: { PATH: `${path.join(this.dir, 'bin')}:${process.env.PATH ?? ''}` } })
    return fs.readFileSync(this.calls, 'utf8').trim().split('\n')
  }

  [Symbol.dispose] (): void {
    fs.rmSync(this.dir, { recursive: true })
  }
}

const INSTALL = ['ci --silent', 'run --silent bundle']
const BUNDLE = 'run --silent bundle'

describe('build command of the deploy file', () => {
  it('installs the packages in a clean checkout', async () => {
    using checkout = new FakeCheckout()
    chai.expect(await checkout.build()).to.deep.equal(INSTALL)
  })

  it('installs nothing when the installed packages are up to date and work', async () => {
    using checkout = new FakeCheckout()
    checkout.write('node_modules/.package-lock.json', 2)
    checkout.write('usable', 2)
    chai.expect(await checkout.build()).to.deep.equal([BUNDLE])
  })

  // Only whether the file of esbuild was there was checked: packages of another processor, or one that is missing, failed the build.
  it('installs the packages again when they cannot make the bundle', async () => {
    using checkout = new FakeCheckout()
    checkout.write('node_modules/.package-lock.json', 2)
    checkout.write('node_modules/.bin/esbuild', 2)
    fs.chmodSync(path.join(checkout.dir, 'node_modules/.bin/esbuild'), 0o755)
    chai.expect(await checkout.build()).to.deep.equal([BUNDLE, ...INSTALL])
  })

  it('installs the packages again when the lock file is newer', async () => {
    using checkout = new FakeCheckout()
    checkout.write('node_modules/.package-lock.json', 1)
    checkout.write('package-lock.json', 2)
    checkout.write('usable', 2)
    chai.expect(await checkout.build()).to.deep.equal(INSTALL)
  })
})
