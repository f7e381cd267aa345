/**
 * Measures the latency and CPU time that an entry adds to a request, compared with a minimal forwarder in the same run:
 * `node --import tsx bench/entry-overhead.ts`. Backend, forwarder and entry each run in their own process.
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
const TOKENS_PER_STREAM = 32
const TOKEN_MS = 5

const env = systemEnv()

/** URLs of the backend, and the key of the only account. */
interface BackendSpec {
  readonly plainUrl: string
  readonly engineUrl: string
  readonly keyDigest: string
  readonly keyId: string
}

/** A server process: its URLs for plain calls and streams, and its CPU time so far in microseconds. */
interface Child {
  readonly plainUrl: string
  readonly engineUrl: string
  cpuUs (): Promise<number>
  kill (): void
}

async function main (): Promise<void> {
  const key = createKey()
  const backend = await startServer('backend', {})
  const backendSpec = { plainUrl: backend.plainUrl, engineUrl: backend.engineUrl, keyDigest: key.digest, keyId: key.id }
  const servers = { direct: backend, forwarder: await startServer('forwarder', backendSpec), entry: await startServer('entry', backendSpec) }
  const agent = new undici.Agent({ connections: CONCURRENCY })
  const plainMs = emptyResults()
  const firstTokenMs = emptyResults()
  const betweenTokensMs = emptyResults()
  const plainCpuUs = emptyResults()
  const streamCpuUs = emptyResults()
  for (let round = 0; round <= ROUNDS; round++) {
    const isWarmUp = round === 0
    for (const [name, child] of Object.entries(servers) as Array<[keyof typeof servers, Child]>) {
      await measureCalls(child, plainCpuUs[name], PLAIN_PER_ROUND, async () => await plainCall(child, key.text, agent), isWarmUp ? [] : plainMs[name], isWarmUp)
      await measureCalls(child, streamCpuUs[name], STREAMS_PER_ROUND, async () => await streamCall(child, key.text, agent, isWarmUp ? [] : firstTokenMs[name], isWarmUp ? [] : betweenTokensMs[name]), [], isWarmUp)
    }
  }
  for (const name of ['direct', 'forwarder', 'entry'] as const) {
    console.log(`${name}: plain_ms p50=${percentile(plainMs[name], 0.5)} p95=${percentile(plainMs[name], 0.95)} cpu_us_per_call=${mean(plainCpuUs[name])} | ` +
      `first_token_ms p50=${percentile(firstTokenMs[name], 0.5)} p95=${percentile(firstTokenMs[name], 0.95)} between_ms p50=${percentile(betweenTokensMs[name], 0.5)} p95=${percentile(betweenTokensMs[name], 0.95)} cpu_us_per_stream=${mean(streamCpuUs[name])}`)
  }
  const addedMs = (quantile: number, times: Record<'direct' | 'forwarder' | 'entry', number[]>, name: 'forwarder' | 'entry'): string => (Number(percentile(times[name], quantile)) - Number(percentile(times.direct, quantile))).toFixed(2)
  console.log(`added plain_ms forwarder p50=${addedMs(0.5, plainMs, 'forwarder')} p95=${addedMs(0.95, plainMs, 'forwarder')} entry p50=${addedMs(0.5, plainMs, 'entry')} p95=${addedMs(0.95, plainMs, 'entry')}`)
  console.log(`added first_token_ms forwarder p50=${addedMs(0.5, firstTokenMs, 'forwarder')} entry p50=${addedMs(0.5, firstTokenMs, 'entry')}`)
  await agent.destroy()
  for (const child of Object.values(servers)) child.kill()
}

function emptyResults (): Record<'direct' | 'forwarder' | 'entry', number[]> {
  return { direct: [], forwarder: [], entry: [] }
}

async function measureCalls (child: Child, cpuUs: number[], count: number, call: () => Promise<void>, times: number[], isWarmUp: boolean): Promise<void> {
  const cpuUsBefore = await child.cpuUs()
  let remaining = count
  await Promise.all(Array.from({ length: CONCURRENCY }, async () => {
    while (remaining-- > 0) {
      const startedAt = env.clock.now()
      await call()
      times.push(env.clock.now() - startedAt)
    }
  }))
  if (!isWarmUp) cpuUs.push((await child.cpuUs() - cpuUsBefore) / count)
}

async function plainCall (child: Child, key: string, dispatcher: undici.Dispatcher): Promise<void> {
  const res = await undici.request(`${child.plainUrl}/plain`, { method: 'POST', dispatcher, headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body: '{"tag":7}' })
  if (res.statusCode !== 200) throw new Error(await res.body.text())
  await res.body.text()
}

async function streamCall (child: Child, key: string, dispatcher: undici.Dispatcher, firstTokenMs: number[], betweenTokensMs: number[]): Promise<void> {
  const startedAt = env.clock.now()
  const body = JSON.stringify({ model: 'm', prompt: 'Inspect tag 7.', max_tokens: TOKENS_PER_STREAM, stream: true, ...(child.engineUrl === child.plainUrl ? {} : ENGINE_FIELDS) })
  const res = await undici.request(`${child.engineUrl}/v1/completions`, { method: 'POST', dispatcher, headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' }, body })
  if (res.statusCode !== 200) throw new Error(await res.body.text())
  let lastTokenAt: number | undefined
  for await (const chunk of res.body as AsyncIterable<Buffer>) {
    if (!chunk.includes('"index"')) continue
    const now = env.clock.now()
    if (lastTokenAt === undefined) firstTokenMs.push(now - startedAt)
    else betweenTokensMs.push(now - lastTokenAt)
    lastTokenAt = now
  }
}

/** Fields that engines require and callers do not send. */
const ENGINE_FIELDS = { request_id: 'x', priority: 5, seed: 1, from: 0 }

async function startServer (name: string, backendSpec: object): Promise<Child> {
  const child = childProcess.fork(url.fileURLToPath(import.meta.url), [name, JSON.stringify(backendSpec)], { execArgv: ['--import', 'tsx'] })
  const nextMessage = async <T>(): Promise<T> => await new Promise<T>((resolve, reject) => {
    const onExit = (): void => reject(new Error(`${name} ended`))
    child.once('exit', onExit)
    child.once('message', (message) => { child.off('exit', onExit); resolve(message as T) })
  })
  const urls = await nextMessage<{ plainUrl: string, engineUrl: string }>()
  return {
    ...urls,
    cpuUs: async () => { child.send('cpu'); return await nextMessage<number>() },
    kill: () => { child.removeAllListeners(); child.kill() }
  }
}

async function serve (name: string, backendSpec: BackendSpec): Promise<void> {
  process.on('message', () => { const { user, system } = process.cpuUsage(); process.send?.(user + system) })
  process.on('disconnect', () => process.exit(0))
  process.send?.(await SERVERS[name as keyof typeof SERVERS](backendSpec))
}

const SERVERS = {
  backend: async () => {
    const plain = new StandinPlain('p0', [], env.timers)
    plain.faults.delayMs = 1
    const engine = new StandinEngine({ ...DEFAULT_ENGINE, models: ['m'], tokenMs: TOKEN_MS }, env.clock, env.timers)
    return { plainUrl: (await servePlain(plain)).url, engineUrl: (await serveEngine(engine, env.timers)).url }
  },
  forwarder: async (backendSpec: BackendSpec) => {
    const agent = new undici.Agent({ connections: 256 })
    const server = http.createServer((req, res) => { forward(req, res, backendSpec, agent).catch(() => res.destroy()) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const ownUrl = `http://127.0.0.1:${(server.address() as net.AddressInfo).port}`
    return { plainUrl: ownUrl, engineUrl: ownUrl }
  },
  entry: async (backendSpec: BackendSpec) => {
    const ownUrl = await startEntry(backendSpec)
    return { plainUrl: ownUrl, engineUrl: ownUrl }
  }
}

async function forward (req: http.IncomingMessage, res: http.ServerResponse, backendSpec: BackendSpec, dispatcher: undici.Dispatcher): Promise<void> {
  const chunks: Buffer[] = []
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk)
  const isModelCall = req.url === '/v1/completions'
  const body = isModelCall ? JSON.stringify({ ...JSON.parse(Buffer.concat(chunks).toString()) as object, ...ENGINE_FIELDS }) : Buffer.concat(chunks)
  const targetRes = await undici.request((isModelCall ? backendSpec.engineUrl : backendSpec.plainUrl) + (req.url ?? ''), { method: 'POST', dispatcher, headers: { 'content-type': 'application/json' }, body })
  res.writeHead(targetRes.statusCode, { 'content-type': String(targetRes.headers['content-type']) })
  targetRes.body.pipe(res)
}

async function startEntry (backendSpec: BackendSpec): Promise<string> {
  const config = new ConfigIndex(1, checkConfig({
    failure_domains: [{ name: 'a', region: 'r' }],
    profiles: [{ name: 'std' }],
    services: [{ name: 'm', kind: 'model', profile: 'std' }, { name: 'p', kind: 'plain', profile: 'std' }],
    routes: [{ name: 'plain', path: '/plain', methods: ['POST'], service: 'p', repeatable: true }],
    accounts: [{ name: 'acme' }],
    keys: [{ id: backendSpec.keyId, account: 'acme', digest: backendSpec.keyDigest }]
  }).unwrap())
  const router = new TwoChoiceRouter(env)
  router.setTargets([
    { name: 'm0', service: 'm', domain: 'a', url: backendSpec.engineUrl, leaving: false, role: 'mixed' },
    { name: 'p0', service: 'p', domain: 'a', url: backendSpec.plainUrl, leaving: false, role: 'mixed' }
  ])
  const admission = new FairAdmission(env)
  for (const service of ['m', 'p']) admission.setSlots(service, 64)
  const peers = { handle: () => {}, call: async () => { throw new Error('no peers') } }
  const path = new RequestHandler({
    env,
    log: SILENT_LOGGER,
    metrics: new Metrics(),
    incarnation: 'e0',
    config: { current: () => config, keysAreFresh: () => true, isWithdrawn: () => false },
    admission,
    router,
    claims: new PageClaims({ env, store: new MemoryStore(env.timers), onRetry: () => {}, incarnation: 'e0', peerAddress: () => '', owners: { isTerminated: () => false }, peers }),
    targets: new HttpTargetClients(),
    usage: new UsageCounters(),
    advisor: { advise: () => ({ entries: [], ttl_ms: 0 }) }
  })
  return `http://127.0.0.1:${await new CallerListener(path, env.timers).listen('127.0.0.1', 0)}`
}

function percentile (times: readonly number[], quantile: number): string {
  return [...times].sort((a, b) => a - b)[Math.floor(times.length * quantile)]?.toFixed(2) ?? '-'
}

function mean (values: readonly number[]): string {
  return (values.reduce((sum, value) => sum + value, 0) / values.length).toFixed(0)
}

const [role, backendSpecJson] = process.argv.slice(2)
if (role === undefined) await main()
else await serve(role, JSON.parse(backendSpecJson ?? '{}') as BackendSpec)
