import * as childProcess from 'node:child_process'
import * as chai from 'chai'
import * as log from '../../src/log/index.js'
import * as time from '../../src/time/index.js'

describe('LimitedLogger', () => {
  it('replaces lines above the rate of an event by their number, and does not limit other events', async () => {
    const virtual = new time.VirtualTime()
    const lines: string[] = []
    const events: string[] = []
    const inner = { ...log.SILENT_LOGGER, info: (_: object, event: string) => lines.push(event), warn: (fields: object, event: string) => lines.push(`${event} ${JSON.stringify(fields)}`) }
    const limited = new log.LimitedLogger(inner, virtual, (event) => events.push(event), 2)
    for (let index = 0; index < 5; index++) limited.info({}, 'many')
    limited.info({}, 'other')
    await virtual.advance(1_000)
    limited.info({}, 'many')
    chai.expect(events.filter((event) => event === 'many')).to.have.length(6)
    chai.expect(lines).to.deep.equal(['many', 'many', 'other', 'log_lines_suppressed {"suppressed_event":"many","count":3}', 'many'])
  })
})

describe('BoundedWriter', () => {
  it('never blocks on a reader that does not read: lines are dropped and counted', async () => {
    const script = `
      import * as log from './src/log/index.js'
      import * as time from './src/time/index.js'
      let dropped = 0
      const writer = new log.BoundedWriter(1, { timers: new time.SystemTimers(), onDrop: (lines) => { dropped += lines } })
      const timer = setInterval(() => {
        for (let turn = 0; turn < 500; turn++) writer.write('x'.repeat(1000) + '\\n')
        if (dropped > 1000) { process.stderr.write('dropped'); process.exit(0) }
      }, 20)
      timer.ref()`
    const child = childProcess.spawn(process.execPath, ['--import', 'tsx', '--input-type=module', '--eval', script], { stdio: ['ignore', 'pipe', 'pipe'] })
    child.stdout.pause()
    const output = await new Promise<string>((resolve, reject) => {
      let text = ''
      child.stderr.on('data', (data: Buffer) => {
        text += data.toString()
        if (text.includes('dropped')) resolve(text)
      })
      child.on('error', reject)
      setTimeout(() => reject(new Error(`the writer blocked: ${text}`)), 15_000).unref()
    })
    child.kill('SIGKILL')
    chai.expect(output).to.contain('dropped')
  })
})
