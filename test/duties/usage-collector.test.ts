import * as chai from 'chai'
import * as duties from '../../src/duties/index.js'
import * as errors from '../../src/errors/index.js'
import * as external from '../../src/external/index.js'
import * as log from '../../src/log/index.js'

// A relay may answer the first call and miss the second: what it knows must not be lost in between.
describe('UsageCollector', () => {
  it('tells of a window of which a relay knows other final counts, also when that relay is not reached later', async () => {
    const finalsOf = (count: number): duties.FinalCounts => ({ 3: { counts: { acc: count }, reported: false } })
    const peers = {
      handle: () => {},
      call: async (_address: string, method: string) => method === 'usage.held' ? errors.Ok({ processes: {}, finals: finalsOf(11) }) : errors.Err({ kind: 'timeout', message: 'no reply' })
    }
    const ledger = { processName: 'p', ownCounts: {}, allCounts: {}, lastDueWindow: () => 3, currentWindow: () => 4 }
    const collector = new duties.UsageCollector({ peers: peers as never, ledger: ledger as never, eras: new external.StoreEras(), relayAddresses: () => ['r2:1'], log: log.SILENT_LOGGER })
    collector.finals.add(finalsOf(10))
    chai.expect([...(await collector.collect()).differing]).to.deep.equal([3])
  })
})
