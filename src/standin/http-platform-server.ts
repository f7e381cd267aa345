/** HTTP server of the in-memory platform. */
import type * as http from 'node:http'
import type { Result } from '../errors/index.js'
import type { OrderError, ReportError, StoreError } from '../external/index.js'
import * as wire from '../external/wire.js'
import { listenOnLoopback, readJson, sendJson, type StandinServer } from './http-common.js'
import type { MemoryPlatform } from './memory-platform.js'

/** Longest wait of a watch request, in ms. */
const MAX_WATCH_WAIT_MS = 30_000

/** Starts the HTTP server of the platform on loopback. */
export async function servePlatform (platform: MemoryPlatform, port = 0): Promise<StandinServer> {
  return await listenOnLoopback(async (req, res, url) => {
    const [, resource = '', name = '', action = ''] = url.pathname.split('/').map(decodeURIComponent)
    if (resource === 'objects') await handleObjects(platform, req, res, url, name)
    else if (resource === 'watch') await handleWatch(platform, res, url)
    else if (resource === 'vms') sendResult(res, await platform.vms.list(), (vms) => ({ vms }))
    else if (resource === 'targets') await handleTargets(platform, req, res, name, action)
    else if (resource === 'usage') sendResult(res, await platform.reports.report(wire.UsageBillWire.parse(await readJson(req))), (outcome) => ({ outcome }))
    else sendJson(res, 404, { message: 'unknown path' })
  }, port)
}

async function handleObjects (platform: MemoryPlatform, req: http.IncomingMessage, res: http.ServerResponse, url: URL, key: string): Promise<void> {
  const store = platform.store
  if (req.method === 'PUT') {
    const body = wire.PutReqWire.parse(await readJson(req))
    sendResult(res, await store.put(key, body.value, body.expected), (object) => ({ object }))
  } else if (req.method === 'DELETE') {
    sendResult(res, await store.delete(key, Number(url.searchParams.get('expected'))), () => ({}))
  } else if (key !== '') {
    sendResult(res, await store.get(key), (object) => ({ object }))
  } else {
    sendResult(res, await store.list(url.searchParams.get('prefix') ?? ''), (objects) => ({ objects }))
  }
}

async function handleWatch (platform: MemoryPlatform, res: http.ServerResponse, url: URL): Promise<void> {
  const query = url.searchParams
  const waitMs = Math.min(MAX_WATCH_WAIT_MS, Number(query.get('wait') ?? 0))
  sendResult(res, await platform.store.watch(query.get('prefix') ?? '', Number(query.get('version') ?? 0), waitMs), (batch) => batch)
}

async function handleTargets (platform: MemoryPlatform, req: http.IncomingMessage, res: http.ServerResponse, name: string, action: string): Promise<void> {
  if (req.method === 'GET') {
    sendResult(res, await platform.ordering.list(), (orderedTargets) => ({ targets: orderedTargets }))
  } else if (action === 'release') {
    const { token } = wire.ReleaseWire.parse(await readJson(req))
    sendResult(res, await platform.ordering.release(name, token), () => ({}))
  } else {
    sendResult(res, await platform.ordering.order(wire.TargetOrderWire.parse(await readJson(req))), (target) => target)
  }
}

type PlatformError = StoreError | OrderError | ReportError

function sendResult<T> (res: http.ServerResponse, outcome: Result<T, PlatformError>, toBody: (value: T) => unknown): void {
  if (outcome.ok) {
    sendJson(res, 200, toBody(outcome.val))
    return
  }
  const err: PlatformError = outcome.val
  if (err.kind === 'unknown') res.destroy()
  else if (err.kind === 'unavailable') sendJson(res, 503, { message: err.message })
  else if (err.kind === 'conflict') sendJson(res, 409, { kind: 'conflict', message: err.message, current: 'current' in err ? err.current : undefined })
  else sendJson(res, 422, { kind: err.kind, message: err.message })
}
