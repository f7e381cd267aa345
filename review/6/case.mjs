/**
 * One model server of three spoils a few of its answers: those to two polls for its cache events hold a list of numbers in
 * place of entries. Clients send requests of another service, whose server is sound, on kept connections to two gateways. A
 * gateway that ends is started again, as the platform does.
 */
import * as path from 'node:path'
import * as client from '../standins-2/client.mjs'
import * as deployment from '../standins-2/deployment.mjs'
import * as serverStandin from '../standins-2/server.mjs'

/** Model servers; the first one spoils one answer each time, in ms after the start of the clients. */
const ENGINES = 3
const SPOIL_AT_MS = [4_000, 14_000]

/** Clients of the model service at each gateway. */
const STREAM_CLIENTS = 4
const STREAM_DEADLINE_MS = 5_000
const STREAM_PAUSE_MS = 50

/** Bytes of a spoiled answer. */
const WRONG_BYTES = 2 * 1024 * 1024

/** Clients of each gateway, and the work of their requests, in ms. */
const CLIENTS = 10
const WORK_MS = 1_000
const DEADLINE_MS = 6_000

const RESTART_DELAY_MS = 500
const RUN_MS = 30_000

/** Requests on kept connections that were passed on to the sound server and got no answer, beyond which the rule is broken. */
const MAX_LOST = 3

async function startEngines (run) {
  const wrong = `{"epoch":"e","next":1,"lost":false,"events":[${'0,'.repeat(WRONG_BYTES / 2)}0]}`
  const state = { due: 0, spoiled: 0, answers: 0 }
  for (let index = 0; index < ENGINES; index++) {
    const info = { id: `i-model-${index}` }
    const server = await serverStandin.RawServer.start((request) => {
      if (index === 0) state.answers++
      if (index === 0 && state.due > 0 && request.path.startsWith('/-/kv-events')) {
        state.due--
        state.spoiled++
        run.note(`${info.id} spoils its answer to a poll for cache events`)
        request.answer(200, wrong, { 'Content-Type': 'application/json' })
        return
      }
      if (serverStandin.answerControlCall(request, info)) return
      run.note(`run ${request.id} by ${info.id}`)
      request.answer(200, `id: 1\ndata: ${request.id}\n\n`, { 'Content-Type': 'text/event-stream', 'Response-Stamp': `${info.id}.${request.id}` })
    })
    run.register({ ...info, service: 'model', address: server.address, slots: 128, stage: 'decode' })
  }
  return state
}

async function startPlain (run, ran) {
  const info = { id: 'i-ledger-0' }
  const server = await serverStandin.RawServer.start((request) => {
    if (serverStandin.answerControlCall(request, info)) return
    ran.add(request.id)
    run.note(`run ${request.id} by ${info.id}`)
    setTimeout(() => request.answer(200, `answer to ${request.id}`, { 'Response-Stamp': `${info.id}.${request.id}` }), WORK_MS)
  })
  run.register({ ...info, service: 'ledger', address: server.address, slots: 64 })
}

/** Sends requests one after the other until the time is over; notes those whose connection ended without an answer. */
async function sendRequests (run, address, name, request, until) {
  const lost = []
  let answered = 0
  let connection
  for (let number = 0; Date.now() < until; number++) {
    if (connection === undefined || connection.closed) connection = new client.ClientConnection(address)
    const id = `${name}-${number}`
    run.note(`sent ${id}`)
    const answer = await connection.send({ ...request, headers: { ...request.headers, 'Request-Id': id, Authorization: `Token ${deployment.KEY}` }, body: 'x' })
    run.note(answer.complete ? `answered ${id} with ${answer.status}` : `no answer to ${id}, connection ${answer.closed ? 'closed' : 'open'}`)
    if (answer.complete) {
      answered++
      if (request.pauseMs !== undefined) await deployment.delay(request.pauseMs)
      continue
    }
    if (answer.closed) lost.push(id)
    connection.close()
    connection = undefined
    await deployment.delay(200)
  }
  connection?.close()
  return { lost, answered }
}

const RECORD = { path: '/record/1', headers: { 'Deadline-Ms': DEADLINE_MS } }
const CHAT = { path: '/chat/1', headers: { 'Deadline-Ms': STREAM_DEADLINE_MS, Model: 'm', 'Token-Count': '1460,17', 'Prompt-Prefix': '5c1e07a2:350,91bd3f06:1110' }, pauseMs: STREAM_PAUSE_MS }

/** Starts a gateway again whenever it has ended by itself, until the time is over; counts the ends. */
async function keepRunning (run, gateway, until) {
  let ends = 0
  while (Date.now() < until) {
    if (gateway.unexpectedExit !== undefined) {
      ends++
      const cause = gateway.lines.find((line) => /FATAL/.test(line)) ?? ''
      run.note(`${gateway.name} ended by itself: ${gateway.unexpectedExit} ${cause.slice(0, 200)}`)
      gateway.unexpectedExit = undefined
      gateway.lines.length = 0
      await deployment.delay(RESTART_DELAY_MS)
      gateway.start()
    }
    await deployment.delay(50)
  }
  return ends
}

async function main () {
  const run = await deployment.Deployment.start(path.dirname(new URL(import.meta.url).pathname), {
    gateways: 2,
    services: [{ name: 'model', healthPath: '/healthz', maxConns: 620, engine: { slots: 128, kvCapacity: 978_044, kvTokenBytes: 18_432, linkMbps: 550_000 } }, { name: 'ledger', healthPath: '/healthz', maxConns: 100 }],
    routes: [
      { name: 'chat', kind: 'streaming', service: 'model', resumable: true, gapTargetMs: 250, sticky: true },
      { name: 'record', kind: 'unsafe', service: 'ledger', maxAttempts: 1, timeoutMs: DEADLINE_MS }
    ]
  })
  const ran = new Set()
  const engines = await startEngines(run)
  await startPlain(run, ran)
  await run.startGateways()
  const until = Date.now() + RUN_MS
  const clients = run.gateways.flatMap((gateway, number) => [
    ...Array.from({ length: CLIENTS }, (_, index) => sendRequests(run, gateway.front, `record-${number}-${index}`, RECORD, until)),
    ...Array.from({ length: STREAM_CLIENTS }, (_, index) => sendRequests(run, gateway.front, `chat-${number}-${index}`, CHAT, until))
  ])
  const watches = run.gateways.map((gateway) => keepRunning(run, gateway, until))
  if (deployment.TROUBLE) for (const atMs of SPOIL_AT_MS) setTimeout(() => { engines.due++ }, atMs)
  const results = await Promise.all(clients)
  const ends = await Promise.all(watches)
  const lost = results.flatMap((result) => result.lost).filter((id) => ran.has(id))
  run.note(`i-model-0 gave ${engines.answers} answers and spoiled ${engines.spoiled}; requests answered: ${results.reduce((sum, result) => sum + result.answered, 0)}; run by the sound server: ${ran.size}`)
  run.note(`passed on to the sound server and closed without an answer: ${lost.length} ${lost.join(' ')}`)
  await run.end(lost.length > MAX_LOST ? 1 : 0, `lost ${lost.length} requests on kept connections (at most ${MAX_LOST} allowed); the gateways ended by themselves ${ends.join(' and ')} times`)
}

deployment.runCase(main)
