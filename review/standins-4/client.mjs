/** Clients as the platform's pages describe them, without retries: each request is one client attempt. */
import * as http from 'node:http'

/** Extra time after the deadline at which a client gives up, in ms. */
const PATIENCE_MS = 500

/**
 * Sends one request to a gateway. Resolves to its status, or to `closed`, `incomplete` or `left`; `at` is when it was sent.
 */
export async function request (gateway, { id, route, account, deadlineMs, headers = {} }) {
  const at = Date.now()
  const ending = await new Promise((resolve) => {
    const req = http.request({
      ...gateway.front,
      method: 'POST',
      path: `/${route}/x`,
      agent: false,
      headers: { host: 'svc.example', 'request-id': id, authorization: `Token key-of-${account}`, 'deadline-ms': String(deadlineMs), ...headers }
    }, (res) => {
      res.resume()
      res.on('end', () => resolve(res.statusCode))
      res.on('error', () => resolve('incomplete'))
    })
    req.on('error', () => resolve('closed'))
    const timer = setTimeout(() => {
      resolve('left')
      req.destroy()
    }, deadlineMs + PATIENCE_MS)
    req.on('close', () => clearTimeout(timer))
    req.end('question')
  })
  return { id, route, gateway: gateway.name, at, ending, ms: Date.now() - at }
}

/** Headers of a model request whose prompt has one shared part and its own. */
export function promptHeaders ({ shared, sharedTokens, own, ownTokens, outputTokens }) {
  return { model: 'm', 'token-count': `${sharedTokens + ownTokens},${outputTokens}`, 'prompt-prefix': `${shared}:${sharedTokens},${own}:${ownTokens}` }
}

/** Calls `send` with 0, 1, 2 … at a fixed rate for a time, which may be infinite; resolves to all results once all have ended. */
export async function sendAtRate (perSecond, forMs, send) {
  const results = []
  const startedAt = performance.now()
  for (let count = 0; count < forMs * perSecond / 1_000; count++) {
    const waitMs = startedAt + count * 1_000 / perSecond - performance.now()
    if (waitMs > 0) await new Promise((resolve) => setTimeout(resolve, waitMs))
    const result = send(count)
    if (Number.isFinite(forMs)) results.push(result)
  }
  return await Promise.all(results)
}
