// The platform's store and its interface for duties, as a sound platform serves them (PROTOCOL.md).
import * as http from 'node:http'
import * as wire from './wire.mjs'

const ANSWER_MS = 4
const PAGE_ITEMS = 500

/** Starts the store; `objects` maps KIND/NAME to objects, `duties` lists the calls of duties. */
export async function startStore () {
  const objects = new Map()
  const duties = []
  let revision = 5
  const write = (key, spec) => {
    const known = objects.get(key)
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return
    const name = key.slice(key.indexOf('/') + 1)
    objects.set(key, { metadata: { name, revision: ++revision, created: known?.metadata.created ?? revision, finalizers: [], deleting: false }, spec, status: null })
  }
  const list = (kind, after) => {
    const names = [...objects.keys()].filter((key) => key.startsWith(`${kind}/`)).map((key) => key.slice(kind.length + 1)).filter((name) => name > after).sort()
    return { items: names.slice(0, PAGE_ITEMS).map((name) => objects.get(`${kind}/${name}`)), morePages: names.length > PAGE_ITEMS, asOf: revision }
  }
  const change = (method, key, current, body, expected) => {
    if (method === 'POST' ? current !== undefined : current === undefined) return [method === 'POST' ? 409 : 404, current ?? {}]
    if (expected !== undefined && expected !== current.metadata.revision) return [409, current]
    if (method === 'DELETE') {
      objects.delete(key)
      revision++
      return [200, {}]
    }
    write(key, body.spec)
    return [200, objects.get(key)]
  }
  const server = http.createServer({ keepAliveTimeout: 30_000 }, async (req, res) => {
    const text = (await wire.readBody(req)).toString()
    const body = text === '' ? undefined : JSON.parse(text)
    const url = new URL(req.url, 'http://store')
    await wire.delay(ANSWER_MS)
    if (!url.pathname.startsWith('/-/objects/')) {
      duties.push({ path: url.pathname, holder: req.headers['duty-holder'], token: Number(req.headers['fence-token']), body })
      wire.sendJson(res, 200, {})
      return
    }
    const [kind, name] = url.pathname.slice('/-/objects/'.length).split('/').map(decodeURIComponent)
    if (req.method === 'GET' && name === undefined) {
      wire.sendJson(res, 200, list(kind, url.searchParams.get('after') ?? ''))
      return
    }
    const key = `${kind}/${name ?? body.metadata.name}`
    const current = objects.get(key)
    if (req.method === 'GET') {
      wire.sendJson(res, current === undefined ? 404 : 200, current ?? {})
      return
    }
    const inQuery = url.searchParams.get('revision')
    const expected = req.method === 'POST' ? undefined : body?.metadata?.revision ?? (inQuery === null ? undefined : Number(inQuery))
    wire.sendJson(res, ...change(req.method, key, current, body, expected))
  })
  await wire.listen(server)
  return { address: wire.addressOf(server), write, objects, duties }
}
