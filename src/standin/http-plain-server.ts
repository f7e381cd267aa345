/** HTTP server of a stand-in plain service. */
import { listenOnLoopback, readBody, sendJson, type StandinServer } from './http-common.js'
import type { StandinPlain } from './plain.js'

/** Starts the HTTP server of a plain service on loopback. */
export async function servePlain (plain: StandinPlain, port = 0): Promise<StandinServer> {
  return await listenOnLoopback(async (req, res, url) => {
    const call = {
      id: String(req.headers['x-request-id'] ?? ''),
      method: req.method ?? 'GET',
      path: url.pathname + url.search,
      contentType: String(req.headers['content-type'] ?? ''),
      body: await readBody(req)
    }
    const outcome = await plain.call(call, new AbortController().signal)
    if (outcome.ok) {
      res.writeHead(outcome.val.status, { 'content-type': outcome.val.contentType })
      res.end(outcome.val.body)
    } else if (outcome.val.ran === 'no') {
      sendJson(res, 503, { error: { ran: 'no', message: outcome.val.message } })
    } else {
      req.socket.destroy()
    }
  }, port)
}
