/** Publishes the targets that the platform delivered in the configuration, through which every entry gets them. */
import * as util from 'node:util'
import { editConfig } from '../config/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore, OrderedTarget } from '../external/index.js'
import type { ConfigSet, Target } from '../schema/index.js'

/** Error text that marks an edit without changes. */
const UNCHANGED = 'unchanged'

/** A service's targets, as the lease holder of its spending scope sees them. */
export interface TargetUpdate {
  readonly service: string
  readonly ordered: readonly OrderedTarget[]
  /** Names of the targets that get no new work. */
  readonly leaving: ReadonlySet<string>
}

/** Publishes an update that differs from the stored configuration; errors are texts for the log. */
export async function publishTargets (store: ObjectStore, update: TargetUpdate, mayAct: () => boolean): Promise<Result<void, string>> {
  const edited = await editConfig(store, (set) => {
    if (!mayAct()) return Err('the lease is not held')
    const next = withTargets(set, update)
    return util.isDeepStrictEqual(next, set) ? Err(UNCHANGED) : Ok(next)
  })
  if (edited.ok || edited.val === UNCHANGED) return Ok(undefined)
  return edited
}

/** Returns the configuration with a service's ordered targets replaced by those that the platform lists. */
export function withTargets (set: ConfigSet, update: TargetUpdate): ConfigSet {
  const serving = update.ordered.filter((target) => target.service === update.service && (target.state === 'running' || target.state === 'reclaiming'))
  const servingNames = new Set(serving.map((target) => target.name))
  const remaining = set.targets.filter((target) => !(target.ordered && target.service === update.service && !servingNames.has(target.name)))
  const publishedNames = new Set(remaining.map((target) => target.name))
  const updated = remaining.map((target) => target.service === update.service ? withLeaving(target, serving, update.leaving) : target)
  const added = serving.filter((target) => !publishedNames.has(target.name)).map((target) => toTarget(target, update.leaving))
  return { ...set, targets: [...updated, ...added] }
}

function withLeaving (target: Target, serving: readonly OrderedTarget[], leaving: ReadonlySet<string>): Target {
  if (!target.ordered) return target
  const reclaiming = serving.some((other) => other.name === target.name && other.state === 'reclaiming')
  return { ...target, leaving: reclaiming || leaving.has(target.name) }
}

function toTarget (target: OrderedTarget, leaving: ReadonlySet<string>): Target {
  return {
    name: target.name,
    service: target.service,
    domain: target.domain,
    url: target.url,
    price_class: target.priceClass,
    checks_fence: target.checksFence,
    leaving: target.state === 'reclaiming' || leaving.has(target.name),
    ordered: true
  }
}
