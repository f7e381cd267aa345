import * as net from 'node:net'
import * as chai from 'chai'
import * as log from '../../src/log/index.js'
import * as sockets from '../../src/sockets/index.js'
import * as time from '../../src/time/index.js'

const HOST = '127.0.0.1'

/** Time for which the port is in use: several attempts. */
const IN_USE_MS = 500

/** A server that is closed when the test ends. */
class DisposableServer extends net.Server implements Disposable {
  [Symbol.dispose] (): void {
    this.close()
  }
}

describe('listen', () => {
  // Each attempt left a listener at the server, and the process printed a warning about a leak after a second.
  it('leaves no listeners behind while it waits for its port', async () => {
    const timers = new time.SystemTimers()
    using other = new DisposableServer()
    await new Promise<void>((resolve) => other.listen(0, HOST, resolve))
    const { port } = other.address() as net.AddressInfo
    using server = new DisposableServer()
    const listening = sockets.listen(server, { host: HOST, port }, { timers, log: log.SILENT_LOGGER })
    await time.delay(timers, IN_USE_MS)
    const listeners = server.listenerCount('listening')
    other.close()
    await listening
    chai.expect(listeners).to.be.lessThan(2)
    chai.expect(server.listening).to.equal(true)
  })
})
