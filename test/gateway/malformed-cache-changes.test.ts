import * as chai from 'chai'
import * as time from '../../src/time/index.js'
import type * as deployment from '../emulator/deployment.js'
import type * as httpServer from '../emulator/http-server.js'
import * as abusive from '../support/abusive-clients.js'

/** The smallest VM on which a gateway runs. */
const LIMITS: deployment.VmLimits = { memoryMb: 160, maxFds: 600 }

/** Time for which the engine responds before anything is checked, in ms: some polls. */
const RESPONDING_MS = 4_000

const BODY_BYTES = 2 * 1024 * 1024
const WITHIN_LIMIT_BYTES = 500 * 1024

/** Lists of changes whose elements are malformed, and lists whose decoded value takes many times the memory of their text. */
const LISTS = {
  numbers: listOf('0', BODY_BYTES),
  'changes with malformed ids': listOf('[0,"+","",0,1]', BODY_BYTES),
  'empty objects': listOf('{}', BODY_BYTES),
  'empty lists': listOf('[]', BODY_BYTES),
  'nested lists': nestedLists(BODY_BYTES),
  'numbers within the limit on the response': listOf('0', WITHIN_LIMIT_BYTES),
  'empty objects within the limit on the response': listOf('{}', WITHIN_LIMIT_BYTES),
  'nested lists within the limit on the response': nestedLists(WITHIN_LIMIT_BYTES)
}

function listOf (element: string, bytes: number): string {
  return `[${`${element},`.repeat(bytes / (element.length + 1))}${element}]`
}

function nestedLists (bytes: number): string {
  return '['.repeat(bytes / 2) + ']'.repeat(bytes / 2)
}

/** An engine that responds to each request with a malformed list of changes. */
function respondWith (list: string, onPoll: () => void): httpServer.Handler {
  return async (req, res) => {
    req.resume()
    if (req.url!.startsWith('/-/kv-events')) onPoll()
    res.end(`{"epoch":"e","next":1,"lost":false,"events":${list}}`)
  }
}

// One response of 1 MiB ended the process at its heap limit: validation made an error object of several hundred bytes for each
// malformed element. One of 2 MiB exceeded the memory of the smallest VM: its decoded value took 30 times as much.
describe('a gateway that polls an engine for cache changes', () => {
  for (const [name, list] of Object.entries(LISTS)) {
    it(`serves other requests after responses with ${name}`, async () => {
      let polls = 0
      await using gateway = await abusive.LimitedGateway.start(LIMITS, respondWith(list, () => polls++))
      await time.delay(new time.SystemTimers(), RESPONDING_MS)
      const status = await gateway.request()
      chai.expect({ status, violations: gateway.violations() }).to.deep.equal({ status: 200, violations: [] })
      chai.expect(polls).to.be.greaterThan(0)
    })
  }
})
