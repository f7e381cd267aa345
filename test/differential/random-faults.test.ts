import * as chai from 'chai'
import * as fc from 'fast-check'
import { FAULTS } from '../matrix/faults.js'
import { runSchedule } from '../matrix/run.js'

/**
 * Faults at random times instead of at named steps. The expected result comes from references outside the system: a
 * ledger of all counted calls, a single process that places all orders, the configuration that the store accepted, and
 * the stand-in model with the record of the plain service. Faults begin within `untilMs`, before the load of the run
 * ends.
 */
const CASES = [
  { protocol: 'usage', reference: 'one ledger', untilMs: 20_000, runs: 15 },
  { protocol: 'orders', reference: 'one process that orders', untilMs: 20_000, runs: 20 },
  { protocol: 'configuration', reference: 'the accepted edits', untilMs: 10_000, runs: 15 },
  { protocol: 'request', reference: 'the stand-in model and the record of the plain service', untilMs: 1_500, runs: 30 }
] as const

/** Faults that need a target or the connection of a step are covered by the fault matrix only. */
const TIMED_FAULTS = FAULTS.filter((fault) => fault !== 'connection_silent')

describe('random faults', function () {
  this.timeout(120_000)

  for (const { protocol, reference, untilMs, runs } of CASES) {
    it(`leave the result of ${protocol} equal to ${reference}`, async () => {
      const faultArbitrary = fc.record({ at: fc.integer({ min: 0, max: untilMs }), proc: fc.nat(2), fault: fc.constantFrom(...TIMED_FAULTS) })
      await fc.assert(fc.asyncProperty(fc.array(faultArbitrary, { minLength: 1, maxLength: 3 }), fc.integer({ min: 1, max: 9 }), async (schedule, seed) => {
        chai.expect(await runSchedule(protocol, schedule, seed)).to.deep.equal([])
      }), { seed: 42, numRuns: runs })
    })
  }
})
