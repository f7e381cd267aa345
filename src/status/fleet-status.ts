/** The state of a fleet of gateways, read from the store: it needs no gateway that answers. */
import * as directory from '../directory/index.js'
import * as duties from '../duties/index.js'
import * as errors from '../errors/index.js'
import type * as external from '../external/index.js'
import type * as serving from '../serving/index.js'

/** Where the status is read from. */
export interface StatusSource {
  readonly store: external.ObjectStore
  readonly configKey: string
  readonly decodeConfig: (text: string) => serving.ServingConfig
  readonly targetsPrefix: string
  /** Decodes an entry; undefined when it describes no target. */
  readonly decodeTarget: (object: external.StoredObject) => serving.TargetRecord | undefined
}

/** Targets of a service. */
export interface ServiceStatus {
  readonly service: string
  readonly ready: number
  readonly leaving: number
  readonly preemptible: number
}

/** Who holds the duties. */
export interface DutyStatus {
  readonly holder: string
  readonly token: number
  readonly released: boolean
}

/** How far usage has been reported. */
export interface UsageStatus {
  /** Number of the newest closed window. */
  readonly lastWindow: number
  /** Closed windows that the platform has not confirmed. */
  readonly unreported: number
}

/** What the store says of the whole fleet. */
export interface GatewayFleetStatus {
  /** Absent before the first configuration. */
  readonly config: serving.ServingConfig | undefined
  readonly services: readonly ServiceStatus[]
  readonly gateways: readonly string[]
  readonly duties: DutyStatus | undefined
  readonly usage: UsageStatus | undefined
}

/** Reads the status; the error names the first part that could not be read. */
export async function readStatus (source: StatusSource): Promise<errors.Result<GatewayFleetStatus, string>> {
  const { store } = source
  const [config, targets, gateways, lease, finals] = await Promise.all([
    store.get(source.configKey),
    store.list(source.targetsPrefix),
    store.list(directory.GATEWAYS_PREFIX),
    store.get(duties.LEASE_KEY),
    store.get(duties.FINAL_COUNTS_KEY)
  ])
  if (config.err) return unread('configuration', config.val)
  if (targets.err) return unread('targets', targets.val)
  if (gateways.err) return unread('gateways', gateways.val)
  if (lease.err) return unread('lease', lease.val)
  if (finals.err) return unread('usage', finals.val)
  return decoded(() => ({
    config: config.val === undefined ? undefined : source.decodeConfig(config.val.value),
    services: countTargets(targets.val, source),
    gateways: gateways.val.map((object) => object.key.slice(directory.GATEWAYS_PREFIX.length)).sort(),
    duties: lease.val === undefined ? undefined : duties.decodeLease(lease.val),
    usage: finals.val === undefined ? undefined : usageOf(duties.decodeFinalCounts(finals.val))
  }))
}

function unread (part: string, err: external.StoreError): errors.Result<never, string> {
  return errors.Err(`${part}: ${err.message}`)
}

function decoded (decode: () => GatewayFleetStatus): errors.Result<GatewayFleetStatus, string> {
  try {
    return errors.Ok(decode())
  } catch (err) {
    return errors.Err(err instanceof Error ? err.message : String(err))
  }
}

function countTargets (objects: readonly external.StoredObject[], source: StatusSource): ServiceStatus[] {
  const services = new Map<string, ServiceStatus>()
  for (const object of objects) {
    const record = source.decodeTarget(object)
    if (record !== undefined) services.set(record.service, withTarget(services.get(record.service), record))
  }
  return [...services.values()].sort((a, b) => a.service < b.service ? -1 : 1)
}

function withTarget (status: ServiceStatus | undefined, record: serving.TargetRecord): ServiceStatus {
  return {
    service: record.service,
    ready: (status?.ready ?? 0) + (record.leaving ? 0 : 1),
    leaving: (status?.leaving ?? 0) + (record.leaving ? 1 : 0),
    preemptible: (status?.preemptible ?? 0) + (record.preemptible ? 1 : 0)
  }
}

function usageOf (finals: duties.FinalCounts): UsageStatus | undefined {
  const windows = Object.keys(finals).map(Number)
  if (windows.length === 0) return undefined
  return { lastWindow: Math.max(...windows), unreported: Object.values(finals).filter((final) => !final.reported).length }
}
