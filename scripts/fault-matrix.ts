/** Runs the fault matrix with single faults and pairs (every n-th pair with `--every=n`), and writes docs/fault-matrix.md. */
import * as child from 'node:child_process'
import * as fs from 'node:fs'
import * as url from 'node:url'
import * as util from 'node:util'
import { renderPage, type TableRun } from './fault-matrix-page.js'
import { isKnownRed } from '../test/matrix/known-red.js'
import { REMOVALS } from '../test/matrix/removals.js'
import { runCells, type Outcome } from '../test/matrix/run.js'
import { nameOf, pairCells, singleCells, type Protocol } from '../test/matrix/table.js'

/** Seeds of the runs with a single fault. */
const SEEDS = [1, 2, 3]

/** Seeds of the runs with a pair of faults; in the orders protocol the seed decides which engine is ordered first. */
const PAIR_SEEDS: Readonly<Record<Protocol, readonly number[]>> = { request: [1], orders: [1, 2], targets: [1], usage: [1], configuration: [1], membership: [1] }

/** Child processes that run the pairs; limited, as the machine is shared. */
const PAIR_PROCESSES = 5

/** Most red runs printed. */
const MAX_PRINTED_RED = 60

const PAGE_FILE = 'docs/fault-matrix.md'

const { values: options } = util.parseArgs({ options: { every: { type: 'string', default: '1' }, part: { type: 'string' } } })

async function runPairs (part: number): Promise<Outcome[]> {
  const outcomes: Outcome[] = []
  for (const cells of pairCells().filter((_, index) => index % Number(options.every) === 0).filter((_, index) => index % PAIR_PROCESSES === part)) {
    for (const seed of PAIR_SEEDS[cells[0]!.protocol]) outcomes.push(await runCells(cells, seed))
  }
  return outcomes
}

async function runPairsInChild (part: number): Promise<Outcome[]> {
  return await new Promise((resolve, reject) => {
    const runner = child.fork(url.fileURLToPath(import.meta.url), [`--part=${part}`, `--every=${options.every}`])
    runner.once('message', (outcomes) => { resolve(outcomes as Outcome[]) })
    runner.once('exit', (code) => { reject(new Error(`part ${part} ended with code ${code}`)) })
  })
}

async function runTable (): Promise<TableRun> {
  const pairs = Array.from({ length: PAIR_PROCESSES }, (_, part) => runPairsInChild(part))
  const singles: Outcome[] = []
  for (const seed of SEEDS) for (const cell of singleCells()) singles.push(await runCells([cell], seed))
  const removals: string[][] = []
  for (const { cells, variant } of REMOVALS) {
    const { violations } = await runCells(cells, SEEDS[0]!, variant)
    removals.push([...new Set(violations.map((violation) => violation.invariant))])
  }
  return { singles, pairs: (await Promise.all(pairs)).flat(), removals, seeds: SEEDS }
}

if (options.part === undefined) {
  const run = await runTable()
  fs.writeFileSync(PAGE_FILE, renderPage(run))
  const red = [...run.singles, ...run.pairs].filter((outcome) => outcome.violations.length > 0)
  const unlisted = red.filter((outcome) => outcome.violations.some((violation) => !isKnownRed(outcome.cells, violation)))
  for (const outcome of unlisted.slice(0, MAX_PRINTED_RED)) {
    console.log(`red seed=${outcome.seed} ${nameOf(outcome.cells)}: ${outcome.violations.map(({ invariant, detail }) => `${invariant} ${detail}`).join('; ')}`)
  }
  console.log(`singles=${run.singles.length} pairs=${run.pairs.length} red=${red.length} not_listed=${unlisted.length} page=${PAGE_FILE}`)
} else {
  process.send?.(await runPairs(Number(options.part)))
}
