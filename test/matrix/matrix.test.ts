import * as fs from 'node:fs'
import * as chai from 'chai'
import { listedCells } from '../../scripts/fault-matrix-page.js'
import { isKnownRed, KNOWN_RED } from './known-red.js'
import { REMOVALS } from './removals.js'
import { runCells } from './run.js'
import { nameOf, pairCells, singleCells, type Cell, type Protocol } from './table.js'

const SEED = 1

/** Every n-th cell and pair is run here, so that the tests take 20 s; scripts/fault-matrix.ts runs all. */
const CELL_SAMPLING: Readonly<Record<Protocol, number>> = { request: 1, orders: 2, targets: 8, usage: 4, configuration: 2, membership: 2 }
const PAIR_SAMPLING: Readonly<Record<Protocol, number>> = { request: 307, orders: 97, targets: 397, usage: 97, configuration: 41, membership: 29 }

describe('fault matrix', function () {
  this.timeout(180_000)

  it('keeps every invariant under one fault, and reaches the step of each fault', async () => {
    for (const cells of sample(singleCells().map((cell) => [cell]), CELL_SAMPLING)) {
      chai.expect(await expectNoUnlistedRed(cells), nameOf(cells)).to.equal(0)
    }
  })

  it('keeps every invariant under two faults', async () => {
    for (const cells of sample(pairCells(), PAIR_SAMPLING)) await expectNoUnlistedRed(cells)
  })

  it('runs the cells listed in KNOWN-RED.txt and prints their violations', async () => {
    for (const { seed, cells, invariant } of KNOWN_RED) {
      const { violations } = await runCells(cells, seed)
      const listed = violations.find((violation) => violation.invariant === invariant)
      console.log(`      known red: seed ${seed}, ${nameOf(cells)}: ${listed === undefined ? 'holds now; take it off the list' : `${invariant} ${listed.detail}`}`)
    }
  })

  for (const { rule, variant, cells, invariant } of REMOVALS) {
    it(`detects that this rule is removed: ${rule}`, async () => {
      const { violations } = await runCells(cells, SEED, variant)
      chai.expect(violations.map((violation) => violation.invariant)).to.include(invariant)
      const unmodified = await runCells(cells, SEED)
      chai.expect(unmodified.violations.map((violation) => violation.invariant)).not.to.include(invariant)
    })
  }

  it('has exactly the cells that docs/fault-matrix.md lists', () => {
    const listed = listedCells(fs.readFileSync('docs/fault-matrix.md', 'utf8'))
    chai.expect(listed).to.have.members(singleCells().map((cell) => nameOf([cell])))
  })
})

/** Every n-th list of cells, with n given by protocol. */
function sample (lists: readonly Cell[][], sampling: Readonly<Record<Protocol, number>>): Cell[][] {
  return lists.filter((cells, index) => index % sampling[cells[0]!.protocol] === 0)
}

/** Fails on a violation that KNOWN-RED.txt does not list. Returns the number of cells whose step was not reached. */
async function expectNoUnlistedRed (cells: readonly Cell[]): Promise<number> {
  const { violations, unreached } = await runCells(cells, SEED)
  chai.expect(violations.filter((violation) => !isKnownRed(cells, violation)), `${nameOf(cells)}, seed ${SEED}`).to.deep.equal([])
  return unreached.length
}
