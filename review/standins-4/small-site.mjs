/** A small deployment: the platform, three model servers, three plain servers, and gateways. */
import * as platforms from './platform.mjs'
import * as servers from './servers.mjs'
import * as system from './system.mjs'

/** Time after which all gateways know each other and all servers, in ms. */
const SETTLE_MS = 3_000

/** Starts everything and waits until the gateways are ready; `current` is the case that stops it. */
export async function startSmallSite (current, { accounts, gatewayCount, limitDescriptors = false, restarts = false, stages = ['prefill', 'decode', 'decode'] }) {
  const platform = current.stopLater(new platforms.Platform(system.HEARTBEAT_MS))
  await platform.start()
  platform.write('config', 'main', system.configOf(accounts))
  const models = stages.map((stage, index) => current.stopLater(new servers.ModelServer(`i-model-${index}`, platform, { service: 'inspect-llm', zone: system.ZONES[index % system.ZONES.length], slots: 128, stage })))
  const plains = system.ZONES.map((zone, index) => current.stopLater(new servers.PlainServer(`i-plain-${index}`, platform, { service: 'tag-ledger', zone, slots: 6, workMs: 40 })))
  for (const server of [...models, ...plains]) await server.start()
  const gateways = Array.from({ length: gatewayCount }, (_, index) => current.stopLater(new system.Gateway(index, platform, current.dir)))
  for (const gateway of gateways) await gateway.start({ limitDescriptors, restarts })
  for (const gateway of gateways) await gateway.waitUntilReady()
  await system.delay(SETTLE_MS)
  return { platform, models, plains, gateways }
}
