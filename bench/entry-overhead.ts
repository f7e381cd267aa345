/**
 * Latency and CPU that an entry adds to a request, beside a bare forwarder in the same run:
 * `node --import tsx bench/entry-overhead.ts`. Backend, forwarder and entry run in processes of their own.
 */
import * as childProcess from 'node:child_process'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as url from 'node:url'
import * as undici from 'undici'
import { FairAdmission } from '../src/admission/index.js'
import { PageClaims } from '../src/claims/index.js'
import { checkConfig, ConfigIndex } from '../src/config/index.js'
import { CallerListener, createKey, RequestHandler } from '../src/entry/index.js'
import { SILENT_LOGGER } from '../src/log/index.js'
import { Metrics } from '../src/metrics/index.js'
import { TwoChoiceRouter } from '../src/routing/index.js'
import { DEFAULT_ENGINE, MemoryStore, serveEngine, servePlain, StandinEngine, StandinPlain } from '../src/standin/index.js'
import { HttpTargetClients } from '../src/target-clients/index.js'
import { systemEnv } from '../src/time/index.js'
import { UsageCounters } from '../src/usage/index.js'

const ROUNDS = 3
const PLAIN_PER_ROUND = 400
const STREAMS_PER_ROUND = 60
const CONCURRENCY = 4
const TOKENS = 32
const TOKEN_MS = 5

const env = systemEnv()

/** Addresses of the backend and the key of the one account. */
interface Shared {
  readonly plainUrl: string
  readonly engineUrl: string
  readonly keyDigest: string
  readonly keyId: string
}

/** A child: its URLs for plain calls and streams, and its CPU time so far in microseconds. */
interface Child {
  readonly plainUrl: string
  readonly engineUrl: string
  cpuUs (): Promise<number>
  kill (): void
}

async function main (): Promise<void> {
  const key = createKey()
  const backend = await start('backend', {})
  const known = { plainUrl: backend.plainUrl, engineUrl: backend.engineUrl, keyDigest: key.digest, keyId: key.id }
  const paths = { direct: backend, forwarder: await start('forwarder', known), entry: await start('entry', known) }
  const agent = new undici.Agent({ connections: CONCURRENCY })
  const plain = results()
  const first = results()
  const between = results()
  const plainCpu = results()
  const streamCpu = results()
  for (let round = 0; round <= ROUNDS; round++) {
    const warm = round === 0
    for (const [name, child] of Object.entries(paths) as Array<[keyof typeof paths, Child]>) {
      await measured(child, plainCpu[name], PLAIN_PER_ROUND, async () => await plainCall(child, key.text, agent), warm ? [] : plain[name], warm)
      await measured(child, streamCpu[name], STREAMS_PER_ROUND, async () => await streamCall(child, key.text, agent, warm ? [] : first[name], warm ? [] : between[name]), [], warm)
    }
  }
  for (const name of ['direct', 'forwarder', 'entry'] as const) {
    console.log(`${name}: plain_ms p50=${at(plain[name], 0.5)} p95=${at(plain[name], 0.95)} cpu_us_per_call=${mean(plainCpu[name])} | ` +
      `first_token_ms p50=${at(first[name], 0.5)} p95=${at(first[name], 0.95)} between_ms p50=${at(between[name], 0.5)} p95=${at(between[name], 0.95)} cpu_us_per_stream=${mean(streamCpu[name])}`)
  }
  const added = (share: number, times: Record<'direct' | 'forwarder' | 'entry', number[]>, name: 'forwarder' | 'entry'): string => (Number(at(times[name], share)) - Number(at(times.direct, share))).toFixed(2)
  console.log(`added plain_ms forwarder p50=${added(0.5, plain, 'forwarder')} p95=${added(0.95, plain, 'forwarder')} entry p50=${added(0.5, plain, 'entry')} p95=${added(0.95, plain, 'entry')}`)
  console.log(`added first_token_ms forwarder p50=${added(0.5, first, 'forwarder')} entry p50=${added(0.5, first, 'entry')}`)
  await agent.destroy()
  for (const child of Object.values(paths)) child.kill()
}

function results (): Record<'direct' | 'forwarder' | 'entry', number[]> {
  return { direct: [], forwarder: [], entry: [] }
}

async function measured (child: Child, cpu: number[], count: number, call: () => Promise<void>, times: number[], warm: boolean): Promise<void> {
  const before = await child.cpuUs()
  let left = count
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (left-- > 0) {
      const startedAt = env.clock.now()
      await call()
      times.push(env.clock.now() - startedAt)
    }
  }))
  if (!warm) cpu.push((await child.cpuUs() - before) / count)
}

async function plainCall (child: Child, key: string, dispatcher: undici.Dispatcher): Promise<void> {
  const res = await undici.request(`${child.plainUrl}/plain`, { method: 'POST', dispatcher, headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body: '{"tag":7}' })
  if (res.statusCode !== 200) throw new Error(await res.body.text())
  await res.body.text()
}

async function streamCall (child: Child, key: string, dispatcher: undici.Dispatcher, first: number[], between: number[]): Promise<void> {
  const startedAt = env.clock.now()
  const body = JSON.stringify({ model: 'm', prompt: 'Inspect tag 7.', max_tokens: TOKENS, stream: true, ...(child.engineUrl === child.plainUrl ? {} : ENGINE_FIELDS) })
  const res = await undici.request(`${child.engineUrl}/v1/completions`, { method: 'POST', dispatcher, headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body })
  if (res.statusCode !== 200) throw new Error(await res.body.text())
  let last: number | undefined
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    if (!chunk.includes('"index"')) continue
    const now = env.clock.now()
    if (last === undefined) first.push(now - startedAt)
    else between.push(now - last)
    last = now
  }
}

/** Fields that engines want and callers do not send. */
const ENGINE_FIELDS = { request_id: 'x', priority: 5, seed: 1, from: 0 }

async function start (name: string, known: object): Promise<Child> {
  const child = childProcess.fork(url.fileURLToPath(import.meta.url), [name, JSON.stringify(known)], { execArgv: ['--import', 'tsx'] })
  const next = async <T>(): Promise<T> => await new Promise<T>((resolve, reject) => {
    const onExit = (): void => reject(new Error(`${name} ended`))
    child.once('exit', onExit)
    child.once('message', (message) => { child.off('exit', onExit); resolve(message as T) })
  })
  const urls = await next<{ plainUrl: string, engineUrl: string }>()
  return {
    ...urls,
    cpuUs: async () => { child.send('cpu'); return await next<number>() },
    kill: () => { child.removeAllListeners(); child.kill() }
  }
}

async function serve (name: string, known: Shared): Promise<void> {
  process.on('message', () => { const { user, system } = process.cpuUsage(); process.send?.(user + system) })
  process.on('disconnect', () => process.exit(0))
  process.send?.(await SERVERS[name as keyof typeof SERVERS](known))
}

const SERVERS = {
  backend: async () => {
    const plain = new StandinPlain('p0', [], env.timers)
    plain.faults.delayMs = 1
    const engine = new StandinEngine({ ...DEFAULT_ENGINE, models: ['m'], tokenMs: TOKEN_MS }, env.clock, env.timers)
    return { plainUrl: (await servePlain(plain)).url, engineUrl: (await serveEngine(engine, env.timers)).url }
  },
  forwarder: async (known: Shared) => {
    const agent = new undici.Agent({ connections: 256 })
    const server = http.createServer((req, res) => { forward(req, res, known, agent).catch(() => res.destroy()) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const own = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
    return { plainUrl: own, engineUrl: own }
  },
  entry: async (known: Shared) => {
    const own = await startEntry(known)
    return { plainUrl: own, engineUrl: own }
  }
}

async function forward (req: http.IncomingMessage, res: http.ServerResponse, known: Shared, dispatcher: undici.Dispatcher): Promise<void> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  const model = req.url === '/v1/completions'
  const body = model ? JSON.stringify({ ...JSON.parse(Buffer.concat(chunks).toString()) as object, ...ENGINE_FIELDS }) : Buffer.concat(chunks)
  const answer = await undici.request((model ? known.engineUrl : known.plainUrl) + (req.url ?? ''), { method: 'POST', dispatcher, headers: { 'content-type': 'application/json' }, body })
  res.writeHead(answer.statusCode, { 'content-type': String(answer.headers['content-type']) })
  answer.body.pipe(res)
}

async function startEntry (known: Shared): Promise<string> {
  const config = new ConfigIndex(1, checkConfig({
    failure_domains: [{ name: 'a', region: 'r' }],
    profiles: [{ name: 'std' }],
    services: [{ name: 'm', kind: 'model', profile: 'std' }, { name: 'p', kind: 'plain', profile: 'std' }],
    routes: [{ name: 'plain', path: '/plain', methods: ['POST'], service: 'p', repeatable: true }],
    accounts: [{ name: 'acme' }],
    keys: [{ id: known.keyId, account: 'acme', digest: known.keyDigest }]
  }).unwrap())
  const router = new TwoChoiceRouter(env)
  router.setTargets([
    { name: 'm0', service: 'm', domain: 'a', url: known.engineUrl, leaving: false, role: 'mixed' },
    { name: 'p0', service: 'p', domain: 'a', url: known.plainUrl, leaving: false, role: 'mixed' }
  ])
  const admission = new FairAdmission(env)
  for (const service of ['m', 'p']) admission.setSlots(service, 64)
  const peers = { handle: () => {}, call: async () => { throw new Error('no peers') } }
  const path = new RequestHandler({
    env,
    log: SILENT_LOGGER,
    metrics: new Metrics(),
    incarnation: 'e0',
    config: { current: () => config, keysAreCurrent: () => true, isWithdrawn: () => false },
    admission,
    router,
    claims: new PageClaims({ env, store: new MemoryStore(env.timers), onRetry: () => {}, incarnation: 'e0', peerAddress: () => '', owners: { isDead: () => false }, peers }),
    targets: new HttpTargetClients(),
    usage: new UsageCounters(),
    advisor: { advise: () => ({ entries: [], ttl_ms: 0 }) }
  })
  return `http://127.0.0.1:${await new CallerListener(path, env.timers).listen('127.0.0.1', 0)}`
}

function at (times: readonly number[], share: number): string {
  return [...times].sort((a, b) => a - b)[Math.floor(times.length * share)]?.toFixed(2) ?? '-'
}

function mean (values: readonly number[]): string {
  return (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(0)
}

const [role, shared] = process.argv.slice(2)
if (role === undefined) await main()
else await serve(role, JSON.parse(shared ?? '{}') as Shared)
