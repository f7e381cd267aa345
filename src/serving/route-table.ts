/** Looks up the route and the account of a request in one version of the configuration. */
import type * as serving from './types.js'

/** Index of a configuration; built once for each version. */
export class RouteTable {
  private readonly byHost = new Map<string, serving.ServingRoute[]>()
  private readonly byKey = new Map<string, serving.ServingAccount>()

  constructor (readonly config: serving.ServingConfig) {
    for (const route of config.routes) this.addRoute(route)
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.path.length - a.path.length)
    for (const account of config.accounts ?? []) {
      for (const key of account.keys) this.byKey.set(key, account)
    }
  }

  /** Whether requests carry keys. */
  get requiresKeys (): boolean {
    return this.config.accounts !== undefined
  }

  /** Returns the route of `host` with the longest prefix of `path` (without query). */
  findRoute (host: string, path: string): serving.ServingRoute | undefined {
    return this.byHost.get(host)?.find((route) => path.startsWith(route.path))
  }

  /** Returns the account that a key belongs to. */
  findAccount (key: string): serving.ServingAccount | undefined {
    return this.byKey.get(key)
  }

  private addRoute (route: serving.ServingRoute): void {
    const routes = this.byHost.get(route.host) ?? []
    routes.push(route)
    this.byHost.set(route.host, routes)
  }
}

/** Picks the service for a call of a route by weight; calls with the same `draw` in [0, 1) get the same service. */
export function pickService (route: serving.ServingRoute, draw: number): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = draw * total
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return route.shares[route.shares.length - 1]?.service ?? ''
}
