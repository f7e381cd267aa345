/** Validates a configuration, including the references between its objects. */
import { Err, Ok, type Result } from '../errors/index.js'
import { ConfigSet, OPEN_ACCOUNT } from '../schema/index.js'

/** An error in a configuration. */
export interface ConfigProblem {
  /** Path to the value in the configuration, with dots. */
  readonly path: string
  readonly message: string
}

/** Parses and validates a configuration; gives all errors found. */
export function checkConfig (input: unknown): Result<ConfigSet, readonly ConfigProblem[]> {
  const parsed = ConfigSet.safeParse(input)
  if (!parsed.success) {
    return Err(parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message })))
  }
  const problems = [...duplicates(parsed.data), ...danglingNames(parsed.data), ...routeConflicts(parsed.data), ...reservedNames(parsed.data)]
  return problems.length === 0 ? Ok(parsed.data) : Err(problems)
}

function duplicates (set: ConfigSet): ConfigProblem[] {
  return [
    ...duplicateNames('failure_domains', set.failure_domains.map((item) => item.name)),
    ...duplicateNames('profiles', set.profiles.map((item) => item.name)),
    ...duplicateNames('services', set.services.map((item) => item.name)),
    ...duplicateNames('routes', set.routes.map((item) => item.name)),
    ...duplicateNames('accounts', set.accounts.map((item) => item.name)),
    ...duplicateNames('keys', set.keys.map((item) => item.id)),
    ...duplicateNames('targets', set.targets.map((item) => item.name))
  ]
}

function duplicateNames (kind: string, names: readonly string[]): ConfigProblem[] {
  const earlierNames = new Set<string>()
  return names
    .map((name, index) => ({ name, index }))
    .filter(({ name }) => earlierNames.has(name) || !earlierNames.add(name))
    .map(({ name, index }) => ({ path: `${kind}.${index}`, message: `the name ${name} is used twice` }))
}

function danglingNames (set: ConfigSet): ConfigProblem[] {
  const profiles = new Set(set.profiles.map((item) => item.name))
  const services = new Map(set.services.map((item) => [item.name, item]))
  const accounts = new Set(set.accounts.map((item) => item.name))
  const domains = new Set(set.failure_domains.map((item) => item.name))
  return [
    ...unknownNames('services', 'profile', set.services.map((item) => item.profile), profiles),
    ...unknownNames('routes', 'service', set.routes.map((item) => item.service), services),
    ...unknownNames('keys', 'account', set.keys.map((item) => item.account), accounts),
    ...unknownNames('targets', 'service', set.targets.map((item) => item.service), services),
    ...unknownNames('targets', 'domain', set.targets.map((item) => item.domain), domains)
  ]
}

function unknownNames (kind: string, field: string, names: readonly string[], existing: { has (name: string): boolean }): ConfigProblem[] {
  return names
    .map((name, index) => ({ name, index }))
    .filter(({ name }) => !existing.has(name))
    .map(({ name, index }) => ({ path: `${kind}.${index}.${field}`, message: `there is no ${field} ${name}` }))
}

function reservedNames (set: ConfigSet): ConfigProblem[] {
  return set.accounts.flatMap((account, index) => account.name === OPEN_ACCOUNT
    ? [{ path: `accounts.${index}.name`, message: `${OPEN_ACCOUNT} is reserved for open routes, which are billed to nobody` }]
    : [])
}

function routeConflicts (set: ConfigSet): ConfigProblem[] {
  const problems = duplicateNames('routes', set.routes.map((route) => route.path))
  set.routes.forEach((route, index) => {
    const service = set.services.find((item) => item.name === route.service)
    if (service?.kind === 'model') {
      problems.push({ path: `routes.${index}.service`, message: `${route.service} is a model; models are called at /v1/completions` })
    }
    if (route.path === '/v1' || route.path.startsWith('/v1/') || route.path === '/') {
      problems.push({ path: `routes.${index}.path`, message: 'this path is reserved' })
    }
  })
  return problems
}
