// trial: profile of one gateway among ghosts
import * as deployment from '/work/main/test/emulator/deployment.js'
import * as caller from '/work/main/test/emulator/caller.js'
import * as time from '/work/main/src/time/index.js'
import * as peer from '/work/main/src/peer/index.js'
const ghosts = Number(process.argv[2]), rate = Number(process.argv[3]), engines = Number(process.argv[4]), secs = Number(process.argv[5] ?? 20), prof = process.argv[6] === 'prof'
const env = time.systemEnv()
const dep = await deployment.Deployment.start(env, { gateways: 1, engines, plains: 5, accounts: 100, nodeArgs: () => prof ? ['--cpu-prof', '--cpu-prof-dir=/work/logs/prof', '--cpu-prof-interval=500'] : [] })
const g = dep.gateways[0]!
await dep.ready()
let realPeer = ''; while (realPeer === '') { const o = dep.store.store.peek('godwitpoint-gateways/gateway-0'); if (o) realPeer = JSON.parse(o.value).peer; else await new Promise((r) => setTimeout(r, 100)) }
let polls = 0
const interval = Math.min(500, Math.max(120, 15 * ghosts))
for (let i = 0; i < ghosts; i++) {
  const p = new peer.TcpPeers(env.timers); const port = await p.listen('127.0.0.1', 0)
  const rec = { name: `ghost-${i}`, incarnation: `x${i}`, front: dep.gateways[0]!.front, peer: `127.0.0.1:${port}`, domain: 'zone-a' }
  const rows = () => Array.from({ length: 6 }, (_, k) => [`engine-${(i * 7 + k * 5) % engines}`, 2, 1000 * k])
  let pos = 0
  p.handle('gateway.ready', async (params: any) => { polls++; pos += 1; return { incarnation: rec.incarnation, ready: true, load: rows(), cache: { next: pos, rows: params.cacheSince === undefined ? [] : [{ target: `engine-${i % engines}`, restarted: false, changes: [{ id: `c${pos}-${i}`, tokens: 500 }] }] } } })
  p.handle('gateway.started', async () => ({}))
  p.handle('usage.counts', async () => ({ name: rec.name, windows: {} }))
  await dep.store.write(`godwitpoint-gateways/${rec.name}`, rec)
  let cacheSince = 0
  setTimeout(() => setInterval(() => { p.call<any>(realPeer, 'gateway.ready', { cacheSince }, 400).then((r) => { if (r.ok) cacheSince = r.val.cache.next }) }, interval), Math.random() * interval)
}
await new Promise((r) => setTimeout(r, 3500))
const fs = await import('node:fs')
const cpu = () => { const s = fs.readFileSync(`/proc/${(g as any).child.pid}/stat`, 'utf8').split(') ')[1]!.split(' '); return (Number(s[11]) + Number(s[12])) * 10 }
const idle0 = cpu(), t0 = Date.now(), polls0 = polls
await new Promise((r) => setTimeout(r, 6000))
console.log(`idle: ${((cpu() - idle0) / (Date.now() - t0)).toFixed(3)} cores, answered polls of real ${((polls - polls0) / 6).toFixed(0)}/s`)
const callers = new caller.Callers(env, dep, [
  { route: 'chat', share: 0.3, tokens: { shared: 350, own: 1100, output: 17 }, sharedParts: 50 },
  { route: 'review', share: 0.4, tokens: { shared: 13000, own: 3700, output: 12 }, sharedParts: 100 },
  { route: 'record', share: 0.2 }, { route: 'read', share: 0.1 }], 'p')
const c0 = cpu(), t1 = Date.now()
if (rate > 0) callers.start(rate)
await new Promise((r) => setTimeout(r, secs * 1000))
const used = cpu() - c0, ms = Date.now() - t1
callers.stop()
await new Promise((r) => setTimeout(r, 1500))
const obs = [...dep.observations.requests.values()]
const e: Record<string, number> = {}; for (const o of obs) e[String(o.ending)] = (e[String(o.ending)] ?? 0) + 1
console.log(`load: ${(used / ms).toFixed(3)} cores at ${rate}/s`, JSON.stringify(e), 'faults', obs.filter((o) => o.faults.length).length)
if (prof) { g.signal('SIGTERM'); await g.ended() }
callers[Symbol.dispose]()
await dep[Symbol.asyncDispose]()
process.exit(0)
