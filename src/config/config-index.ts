/** A configuration, indexed for lookups on the request path. */
import type { Account, ConfigSet, FailureDomain, Key, Profile, Route, Service, Target } from '../schema/index.js'

/** One generation of the configuration; immutable. */
export class ConfigIndex {
  private readonly services: ReadonlyMap<string, Service>
  private readonly profiles: ReadonlyMap<string, Profile>
  private readonly accounts: ReadonlyMap<string, Account>
  private readonly keys: ReadonlyMap<string, Key>
  private readonly domains: ReadonlyMap<string, FailureDomain>
  private readonly routes: readonly Route[]

  constructor (readonly generation: number, readonly set: ConfigSet) {
    this.services = byName(set.services)
    this.profiles = byName(set.profiles)
    this.accounts = byName(set.accounts)
    this.domains = byName(set.failure_domains)
    this.keys = new Map(set.keys.map((key) => [key.id, key]))
    this.routes = [...set.routes].sort((a, b) => b.path.length - a.path.length)
  }

  service (name: string): Service | undefined {
    return this.services.get(name)
  }

  /** Profile of a service. */
  profileOf (service: Service): Profile {
    const profile = this.profiles.get(service.profile)
    if (profile === undefined) throw new Error(`service ${service.name} names the unknown profile ${service.profile}`)
    return profile
  }

  account (name: string): Account | undefined {
    return this.accounts.get(name)
  }

  key (id: string): Key | undefined {
    return this.keys.get(id)
  }

  /** Region of a failure domain. */
  regionOf (domain: string): string | undefined {
    return this.domains.get(domain)?.region
  }

  /** The route with the longest path that is a prefix of `path` by complete segments. */
  route (path: string): Route | undefined {
    return this.routes.find((route) => path === route.path || path.startsWith(route.path.endsWith('/') ? route.path : `${route.path}/`))
  }

  /** Targets of a service, including those that are leaving. */
  targetsOf (service: string): Target[] {
    return this.set.targets.filter((target) => target.service === service)
  }
}

function byName<T extends { readonly name: string }> (items: readonly T[]): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]))
}
