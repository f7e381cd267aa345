/** Publishes the targets that the platform delivered, so that every entry learns of them with the configuration. */
import * as util from 'node:util'
import { editConfig } from '../config/index.js'
import { Err, Ok, type Result } from '../errors/index.js'
import type { ObjectStore, OrderedTarget } from '../external/index.js'
import type { ConfigSet, Target } from '../schema/index.js'

/** Text by which an edit that changes nothing is recognised. */
const UNCHANGED = 'unchanged'

/** A service's targets as the holder of its spending scope sees them. */
export interface TargetUpdate {
  readonly service: string
  readonly ordered: readonly OrderedTarget[]
  /** Names of the targets that get no new work. */
  readonly leaving: ReadonlySet<string>
}

/** Publishes news when it differs from the configuration; errors are texts for the log. */
export async function publishTargets (store: ObjectStore, news: TargetUpdate, mayAct: () => boolean): Promise<Result<void, string>> {
  const edited = await editConfig(store, (set) => {
    if (!mayAct()) return Err('the lease is not held')
    const next = withTargets(set, news)
    return util.isDeepStrictEqual(next, set) ? Err(UNCHANGED) : Ok(next)
  })
  if (edited.ok || edited.val === UNCHANGED) return Ok(undefined)
  return edited
}

/** The configuration with the ordered targets of a service as the platform lists them. */
export function withTargets (set: ConfigSet, news: TargetUpdate): ConfigSet {
  const serving = news.ordered.filter((target) => target.service === news.service && (target.state === 'running' || target.state === 'reclaiming'))
  const known = new Set(serving.map((target) => target.name))
  const kept = set.targets.filter((target) => !(target.ordered && target.service === news.service && !known.has(target.name)))
  const present = new Set(kept.map((target) => target.name))
  const updated = kept.map((target) => target.service === news.service ? withLeaving(target, serving, news.leaving) : target)
  const added = serving.filter((target) => !present.has(target.name)).map((target) => toTarget(target, news.leaving))
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
