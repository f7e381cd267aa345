/**
 * Runs the bench scripts and prints the measures of section 3 of the design for both deployments as one table, beside
 * the baselines; prints the raw figures with `--json`. Writes all figures to bench/measure.json.
 */
import * as child from 'node:child_process'
import * as fs from 'node:fs'
import * as util from 'node:util'
import * as z from 'zod'
import { runCells } from '../test/matrix/run.js'
import { singleCells } from '../test/matrix/table.js'

const RESULT_FILE = 'bench/measure.json'

/** Bench scripts that run concurrently, the most expensive first; the one that measures latency runs alone afterwards. */
const CONCURRENT_BENCHES = ['policy', 'share', 'control', 'route', 'claims'] as const
const LATENCY_BENCH = 'entry-overhead'

/** Time limit of one script, in ms; the complete run is limited to three minutes. */
const SCRIPT_TIMEOUT_MS = 100_000

const RoleRun = z.object({ goodput: z.number(), role_changes: z.number() })
const SpendingRun = z.object({ in_time: z.number(), cut: z.number(), cost_per_1000_in_time: z.number(), preemptible_work: z.number() })

/** Schema of runs by policy, by scenario, by deployment. */
function byDeployment<T extends z.ZodType> (run: T): z.ZodRecord<z.ZodString, z.ZodRecord<z.ZodString, z.ZodRecord<z.ZodString, T>>> {
  return z.record(z.string(), z.record(z.string(), z.record(z.string(), run)))
}

const Policy = z.object({ roles: z.object({ standin: byDeployment(RoleRun), contended: byDeployment(RoleRun) }), spending: byDeployment(SpendingRun) })
const Share = z.object({ worst_served_over_due: z.object({ fair: z.number(), fcfs: z.number() }) })

/** A row of the table. */
interface Row {
  readonly deployment: string
  readonly measure: string
  readonly case: string
  readonly ours: number
  readonly baselines: Readonly<Record<string, number>>
}

/** Runs a script; returns its output parsed as JSON or split into lines, or the failure. */
async function runBench (name: string): Promise<unknown> {
  const path = `bench/${name}.ts`
  if (!fs.existsSync(path)) return { missing: path }
  return await new Promise((resolve) => {
    child.execFile(process.execPath, ['--import', 'tsx', path], { timeout: SCRIPT_TIMEOUT_MS, maxBuffer: 64e6 }, (err, stdout) => {
      resolve(err === null ? parseOutput(stdout) : { failed: path, message: err.message.slice(0, 500) })
    })
  })
}

function parseOutput (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return text.trim().split('\n')
  }
}

/** Rows for one measure, one per deployment and scenario. */
function rowsOf<T> (table: Record<string, Record<string, Record<string, T>>>, ours: string, measure: string, value: (run: T) => number): Row[] {
  return Object.entries(table).flatMap(([deployment, scenarios]) => Object.entries(scenarios).flatMap(([scenario, runs]) => {
    const ownRun = runs[ours]
    if (ownRun === undefined) return []
    const baselines = Object.fromEntries(Object.entries(runs).filter(([name]) => name !== ours).map(([name, run]) => [name, value(run)]))
    return [{ deployment, measure, case: scenario, ours: value(ownRun), baselines }]
  }))
}

/** Runs the cells of the usage protocol and counts violations: wrong or lost bills. */
async function usageRows (): Promise<Row[]> {
  const cells = singleCells().filter((cell) => cell.protocol === 'usage')
  let violations = 0
  for (const cell of cells) violations += (await runCells([cell], 1)).violations.length
  return [{ deployment: 'both', measure: 'wrong or missing bills', case: `${cells.length} faults while windows are closed and reported`, ours: violations, baselines: {} }]
}

function policyRows (output: unknown): Row[] {
  const parsed = Policy.safeParse(output)
  if (!parsed.success) return []
  const { roles, spending } = parsed.data
  return [
    ...rowsOf(roles.standin, 'planner', 'goodput through shifts', (run) => run.goodput),
    ...rowsOf(roles.standin, 'planner', 'role changes', (run) => run.role_changes),
    ...rowsOf(roles.contended, 'planner', 'goodput through shifts, phases contend', (run) => run.goodput),
    ...rowsOf(roles.contended, 'planner', 'role changes, phases contend', (run) => run.role_changes),
    ...rowsOf(spending, 'planner', 'requests in time', (run) => run.in_time),
    ...rowsOf(spending, 'planner', 'cost per 1000 in time', (run) => run.cost_per_1000_in_time),
    ...rowsOf(spending, 'planner', 'work on cheaper targets', (run) => run.preemptible_work),
    ...rowsOf(spending, 'planner', 'requests cut by reclaims', (run) => run.cut)
  ]
}

function shareRows (output: unknown): Row[] {
  const parsed = Share.safeParse(output)
  if (!parsed.success) return []
  const { fair, fcfs } = parsed.data.worst_served_over_due
  return [{ deployment: 'both', measure: 'service of the worst-served account over its due', case: 'one account floods 4 entries', ours: fair, baselines: { first_come_first_served: fcfs } }]
}

function renderRow (row: Row): string {
  const baselines = Object.entries(row.baselines).map(([name, value]) => `${name}=${value}`).join(' ')
  return `${row.deployment.padEnd(15)}${row.measure.padEnd(50)}${row.case.padEnd(30)}${String(row.ours).padEnd(10)}${baselines}`
}

const { values: options } = util.parseArgs({ options: { json: { type: 'boolean', default: false } } })
const outputs = new Map(await Promise.all(CONCURRENT_BENCHES.map(async (name) => [name as string, await runBench(name)] as const)))
const usage = await usageRows()
outputs.set(LATENCY_BENCH, await runBench(LATENCY_BENCH))
const rows = [...shareRows(outputs.get('share')), ...policyRows(outputs.get('policy')), ...usage]
const result = { rows, benches: Object.fromEntries(outputs) }
fs.writeFileSync(RESULT_FILE, JSON.stringify(result, null, 1) + '\n')
if (options.json) process.stdout.write(JSON.stringify(result) + '\n')
else {
  console.log(`${'deployment'.padEnd(15)}${'measure'.padEnd(50)}${'case'.padEnd(30)}${'ours'.padEnd(10)}baselines`)
  for (const row of rows) console.log(renderRow(row))
  for (const [name, output] of outputs) if (Array.isArray(output)) console.log(`\n${name}\n${output.join('\n')}`)
  for (const [name, output] of outputs) if (output !== null && typeof output === 'object' && ('failed' in output || 'missing' in output)) console.log(`${name}: ${JSON.stringify(output)}`)
}
