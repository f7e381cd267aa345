/** Finds the route and the account of a request in one version of the configuration. */
import type * as serving from './types.js'

/** Index of a configuration; built once for each version. */
export class RouteTable {
  private readonly byHost = new Map<string, serving.ServingRoute[]>()
  private readonly byKey = new Map<string, serving.ServingAccount>()

  constructor (readonly config: serving.ServingConfig) {
    for (const route of config.routes) this.addRoute(route)
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.path.length - a.path.length)
    for (const findAccount of config.accounts ?? []) {
      for (const key of findAccount.keys) this.byKey.set(key, findAccount)
    }
  }

  /** Whether requests carry keys. */
  get requiresKeys (): boolean {
    return this.config.accounts !== undefined
  }

  /** The route with the longest prefix of `path` (without query) among those of `host`. */
  route (host: string, path: string): serving.ServingRoute | undefined {
    return this.byHost.get(host)?.find((route) => path.startsWith(route.path))
  }

  /** The account that holds a key. */
  account (key: string): serving.ServingAccount | undefined {
    return this.byKey.get(key)
  }

  private addRoute (findRoute: serving.ServingRoute): void {
    const routes = this.byHost.get(findRoute.host) ?? []
    routes.push(findRoute)
    this.byHost.set(findRoute.host, routes)
  }
}

/** The service that takes a call of a route: the same for each call with the same `draw` in [0, 1). */
export function pickService (route: serving.ServingRoute, draw: number): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let left = draw * total
  for (const share of route.shares) {
    left -= share.weight
    if (left < 0) return share.service
  }
  return route.shares[route.shares.length - 1]?.service ?? ''
}
