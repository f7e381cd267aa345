import type * as net from 'node:net'
import * as stream from 'node:stream'
import * as chai from 'chai'
import * as resetDetector from '../../src/sockets/reset-detector.js'

type WriteCallback = (err?: Error | null) => void

/** A socket whose writes are finished by the test. */
class FakeSocket extends stream.Duplex {
  /** Undefined after the connection was closed. */
  remoteAddress: string | undefined = '10.0.0.1'
  /** Ends and errors, in order. */
  readonly events: string[] = []
  private readonly writes: WriteCallback[] = []

  constructor () {
    super({ allowHalfOpen: true })
    resetDetector.detectResets(this as unknown as net.Socket)
    this.on('readable', () => {})
    this.on('end', () => this.events.push('end'))
    this.on('error', (err: NodeJS.ErrnoException) => this.events.push(`${err.code}`))
  }

  override _read (): void {}

  override _write (_chunk: unknown, _encoding: BufferEncoding, callback: WriteCallback): void {
    this.writes.push(callback)
  }

  override _writev (_chunks: unknown, callback: WriteCallback): void {
    this.writes.push(callback)
  }

  /** Number of writes that are not finished. */
  get waiting (): number {
    return this.writes.length
  }

  /** What the system reports when data has come, or the peer has closed the connection. */
  report (data: string | null): void {
    if (data === null) this.remoteAddress = undefined
    this.push(data)
  }

  /** Finishes the oldest write, with the error of this code. */
  finishWrite (code?: 'ECONNRESET' | 'EPIPE'): void {
    const callback = this.writes.shift()!
    callback(code === undefined ? null : Object.assign(new Error(`write ${code}`), { code }))
  }

  /** Reads until there is no more data. */
  readAll (): string {
    let text = ''
    for (let chunk = this.read() as Buffer | null; chunk !== null; chunk = this.read() as Buffer | null) text += chunk.toString()
    return text
  }
}

async function settle (): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve))
}

async function eventsOf (socket: FakeSocket): Promise<readonly string[]> {
  await settle()
  return socket.events
}

describe('reset detector', () => {
  it('passes an end on at once while the connection stands, and writes nothing', async () => {
    const socket = new FakeSocket()
    socket.push(null)
    chai.expect(await eventsOf(socket)).to.deep.equal(['end'])
    chai.expect(socket.waiting).to.equal(0)
  })

  for (const [code, event] of [['ECONNRESET', 'ERR_CONNECTION_RESET'], ['EPIPE', 'end']] as const) {
    it(`asks a closed connection by a write whether its end is one: ${code}`, async () => {
      const socket = new FakeSocket()
      socket.report(null)
      chai.expect(await eventsOf(socket)).to.deep.equal([])
      socket.finishWrite(code)
      chai.expect(await eventsOf(socket)).to.deep.equal([event])
    })

    it(`waits for a write that was begun before: ${code}`, async () => {
      const socket = new FakeSocket()
      socket.write('request')
      socket.report(null)
      chai.expect(await eventsOf(socket)).to.deep.equal([])
      chai.expect(socket.waiting).to.equal(1)
      socket.finishWrite(code)
      chai.expect(await eventsOf(socket)).to.deep.equal([event])
    })

    it(`asks by another write when the one that was begun before succeeds: ${code}`, async () => {
      const socket = new FakeSocket()
      socket.write('request')
      socket.report(null)
      socket.finishWrite()
      chai.expect(await eventsOf(socket)).to.deep.equal([])
      socket.finishWrite(code)
      chai.expect(await eventsOf(socket)).to.deep.equal([event])
    })
  }

  it('takes a connection that still accepts a write for one that was not reset', async () => {
    const socket = new FakeSocket()
    socket.report(null)
    socket.finishWrite()
    chai.expect(await eventsOf(socket)).to.deep.equal(['end'])
  })

  it('reports a reset of a read under a code of its own', async () => {
    const socket = new FakeSocket()
    socket.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' }))
    chai.expect(await eventsOf(socket)).to.deep.equal(['ERR_CONNECTION_RESET'])
  })

  it('reads what came before the end of the peer after a write has failed', async () => {
    const socket = new FakeSocket()
    socket.write('request')
    socket.report('whole')
    socket.finishWrite('EPIPE')
    socket.report(null)
    chai.expect(await eventsOf(socket)).to.deep.equal([])
    chai.expect(socket.readAll()).to.equal('whole')
    chai.expect(await eventsOf(socket)).to.deep.equal(['end'])
  })

  // undici fails an assertion when an end comes while its parser is paused, outside of any call.
  it('passes no end on while its reader does not ask for more', async () => {
    const socket = new FakeSocket()
    socket.push('part')
    chai.expect(String(socket.read())).to.equal('part')
    socket.push(null)
    chai.expect(await eventsOf(socket)).to.deep.equal([])
    chai.expect(socket.read()).to.equal(null)
    chai.expect(await eventsOf(socket)).to.deep.equal(['end'])
  })
})
