/** End-to-end test over real sockets, with each entry in its own process; exits with code 0 when all steps pass. */
import * as assert from 'node:assert/strict'
import * as undici from 'undici'
import { startStandins, type Standins } from '../src/daemon/index.js'
import { OperatorClient } from '../src/operator/index.js'
import { expectedWords } from '../src/standin/index.js'
import { delay, systemEnv } from '../src/time/index.js'
import { startEntryProcesses, type EntryProcess } from './entry-processes.js'

/** Time after which a withdrawn key must be refused, in ms; the requirement says seconds. */
const REVOCATION_BOUND_MS = 5_000

/** Longest duration of a stop, in ms: callers use their list of entries until it expires, the stop propagates, and active requests finish. */
const STOP_TIMEOUT_MS = 40_000

/** Time within which a window of 10 s must be closed and reported, in ms: its length, the grace period and one change of lease holder. */
const BILLING_TIMEOUT_MS = 60_000

/** Calls with a response that are billed: a stream, one non-idempotent call that is executed once, and the 20 calls of the stop. */
const CALL_COUNT = 22

const env = systemEnv()

interface Deployment {
  readonly standins: Standins
  readonly entries: readonly EntryProcess[]
}

async function main (): Promise<void> {
  await using standins = await startStandins('examples/consortium.json', env)
  await using fleet = await startEntryProcesses(standins)
  const deployment: Deployment = { standins, entries: fleet.entries }
  await step('a response is streamed completely', async () => await checkStream(deployment))
  await step('a call that may not be repeated runs once', async () => await checkExecutedOnce(deployment))
  await step('an open route needs no key', async () => await checkOpenRoute(deployment))
  await step('a withdrawn key is refused', async () => await checkWithdrawnKey(deployment))
  await step('an entry stops under load without an aborted response', async () => await checkGracefulStop(deployment))
  await step('every call is billed once', async () => await checkBilledOnce(deployment))
}

async function step (name: string, run: () => Promise<void>): Promise<void> {
  const startedAt = env.clock.now()
  await run()
  process.stdout.write(`ok ${name} (${Math.round(env.clock.now() - startedAt)} ms)\n`)
}

async function checkStream (deployment: Deployment): Promise<void> {
  const prompt = 'Inspect tag 7.'
  const res = await requestCompletion(deployment, 0, 'northshore-rental', { prompt, max_tokens: 20, stream: true, seed: 7 })
  assert.equal(res.statusCode, 200)
  assert.deepEqual(wordsOf(await res.body.text()), expectedWords(prompt, 7, 20))
}

async function checkExecutedOnce (deployment: Deployment): Promise<void> {
  const recordCountBefore = deployment.standins.recordedCalls.length
  const key = `${env.clock.wallTimeMs()}-tag-7`
  const responses = []
  for (const entry of [0, 1, 2]) {
    const res = await undici.request(`http://${deployment.entries[entry]?.callerAddress}/tags/results`, {
      method: 'POST',
      headers: { ...authorization(deployment, 'site-erie'), 'idempotency-key': key, 'content-type': 'application/json' },
      body: '{"tag":7,"result":"fail"}'
    })
    assert.equal(res.statusCode, 200)
    responses.push(await res.body.text())
  }
  assert.equal(deployment.standins.recordedCalls.length, recordCountBefore + 1)
  assert.equal(new Set(responses).size, 1)
}

async function checkOpenRoute (deployment: Deployment): Promise<void> {
  const url = `http://${deployment.entries[1]?.callerAddress}`
  const openRes = await undici.request(`${url}/tags/status`)
  assert.equal(openRes.statusCode, 200)
  await openRes.body.dump()
  const keyedRes = await undici.request(`${url}/tags/history`)
  assert.equal(keyedRes.statusCode, 401)
  await keyedRes.body.dump()
}

async function checkWithdrawnKey (deployment: Deployment): Promise<void> {
  const id = deployment.standins.keys.get('site-toledo')?.id ?? ''
  const outcome = (await new OperatorClient(deployment.entries[0]?.operatorAddress ?? '', undefined).withdrawKey(id)).unwrap()
  assert.ok(outcome.stored)
  await delay(env.timers, REVOCATION_BOUND_MS)
  for (const entry of deployment.entries.keys()) {
    const res = await requestCompletion(deployment, entry, 'site-toledo', { prompt: 'x', max_tokens: 1 })
    assert.equal(res.statusCode, 401)
    assert.equal((await res.body.json() as { error: { reason: string } }).error.reason, 'key_withdrawn')
  }
}

/** Waits until the bills of all windows add up to the calls of the previous steps. */
async function checkBilledOnce (deployment: Deployment): Promise<void> {
  const { reports } = deployment.standins.platform
  const deadline = env.clock.now() + BILLING_TIMEOUT_MS
  while (billedRequests(deployment) < CALL_COUNT && env.clock.now() < deadline) await delay(env.timers, 500)
  assert.equal(billedRequests(deployment), CALL_COUNT)
  const rowsByBill = new Map<string, string>()
  for (const bill of reports.received) {
    const key = `${bill.window}/${bill.account}`
    const rows = JSON.stringify(bill.rows)
    assert.equal(rowsByBill.get(key) ?? rows, rows, `window and account ${key} were reported with two figures`)
    rowsByBill.set(key, rows)
  }
}

function billedRequests (deployment: Deployment): number {
  const rows = [...deployment.standins.platform.reports.bills.values()].flatMap((bill) => bill.rows)
  return rows.reduce((sum, row) => sum + row.requests, 0)
}

/** Sends requests to an entry before and during its stop; each must get a complete response. */
async function checkGracefulStop (deployment: Deployment): Promise<void> {
  const leavingIndex = deployment.entries.length - 1
  const entry = deployment.entries[leavingIndex]
  assert.ok(entry)
  const completions = Array.from({ length: 10 }, async (_, index) => await checkCompletion(deployment, leavingIndex, `before ${index}`))
  await delay(env.timers, 100)
  entry.terminate()
  await delay(env.timers, 1_000)
  for (let index = 0; index < 10; index++) {
    completions.push(checkCompletion(deployment, leavingIndex, `after ${index}`))
    await delay(env.timers, 200)
  }
  assert.equal((await Promise.all(completions)).length, 20)
  await assertNotAdvised(deployment, entry.callerAddress)
  assert.equal(await entry.exitWithin(STOP_TIMEOUT_MS), 0)
}

async function checkCompletion (deployment: Deployment, entry: number, prompt: string): Promise<void> {
  const res = await requestCompletion(deployment, entry, 'northshore-rental', { prompt, max_tokens: 50, stream: true, seed: 1 })
  assert.equal(res.statusCode, 200)
  assert.deepEqual(wordsOf(await res.body.text()), expectedWords(prompt, 1, 50))
}

async function assertNotAdvised (deployment: Deployment, address: string): Promise<void> {
  const res = await undici.request(`http://${deployment.entries[0]?.callerAddress}/v1/entries`)
  const advice = await res.body.json() as { entries: Array<{ address: string }> }
  assert.ok(advice.entries.length > 0)
  assert.ok(advice.entries.every((entry) => entry.address !== address), 'a leaving entry is still named')
}

async function requestCompletion (deployment: Deployment, entry: number, account: string, body: object): Promise<undici.Dispatcher.ResponseData> {
  const model = deployment.standins.config.services.find((service) => service.kind === 'model')?.name
  return await undici.request(`http://${deployment.entries[entry]?.callerAddress}/v1/completions`, {
    method: 'POST',
    headers: { ...authorization(deployment, account), 'content-type': 'application/json' },
    body: JSON.stringify({ model, ...body })
  })
}

function wordsOf (stream: string): string[] {
  return stream.split('\n\n')
    .filter((event) => event.startsWith('data: {"index"'))
    .map((event) => (JSON.parse(event.slice('data: '.length)) as { text: string }).text)
}

function authorization (deployment: Deployment, account: string): Record<string, string> {
  return { authorization: `Bearer ${deployment.standins.keys.get(account)?.text}` }
}

await main()
