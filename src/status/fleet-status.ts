/** Status of a fleet of gateways, read from the store; it does not require a running gateway. */
import * as directory from '../directory/index.js'
import * as duties from '../duties/index.js'
import * as errors from '../errors/index.js'
import type * as external from '../external/index.js'
import type * as serving from '../serving/index.js'

/** Store, keys and decoders that the status is read with. */
export interface StatusSource {
  readonly store: external.ObjectStore
  readonly configKey: string
  readonly decodeConfig: (text: string) => serving.ServingConfig
  readonly targetsPrefix: string
  /** Decodes a stored object; undefined when it does not describe a target. */
  readonly decodeTarget: (object: external.StoredObject) => serving.TargetRecord | undefined
}

/** Number of targets of a service by state. */
export interface ServiceStatus {
  readonly service: string
  readonly ready: number
  readonly leaving: number
  readonly preemptible: number
}

/** Lease for the leader duties. */
export interface DutyStatus {
  readonly holder: string
  readonly token: number
  readonly released: boolean
}

/** Progress of the usage reports. */
export interface UsageStatus {
  /** Number of the newest closed window. */
  readonly lastWindow: number
  /** Number of closed windows that the platform has not confirmed. */
  readonly unreported: number
}

/** Status of the fleet according to the store. */
export interface GatewayFleetStatus {
  /** Absent before the first configuration. */
  readonly config: serving.ServingConfig | undefined
  readonly services: readonly ServiceStatus[]
  readonly gateways: readonly string[]
  readonly duties: DutyStatus | undefined
  readonly usage: UsageStatus | undefined
}

/** Reads the status; the error names the first part that could not be read, or the decoding failure. */
export async function readStatus (source: StatusSource): Promise<errors.Result<GatewayFleetStatus, string>> {
  const { store } = source
  const [config, targets, gateways, lease, finals] = await Promise.all([
    store.get(source.configKey),
    store.list(source.targetsPrefix),
    store.list(directory.GATEWAYS_PREFIX),
    store.get(duties.LEASE_KEY),
    store.get(duties.FINAL_COUNTS_KEY)
  ])
  if (config.err) return readError('configuration', config.val)
  if (targets.err) return readError('targets', targets.val)
  if (gateways.err) return readError('gateways', gateways.val)
  if (lease.err) return readError('lease', lease.val)
  if (finals.err) return readError('usage', finals.val)
  return tryDecode(() => ({
    config: config.val === undefined ? undefined : source.decodeConfig(config.val.value),
    services: countTargets(targets.val, source),
    gateways: gateways.val.map((object) => object.key.slice(directory.GATEWAYS_PREFIX.length)).sort(),
    duties: lease.val === undefined ? undefined : duties.decodeLease(lease.val),
    usage: finals.val === undefined ? undefined : summarizeUsage(duties.decodeFinalCounts(finals.val))
  }))
}

function readError (subject: string, err: external.StoreError): errors.Result<never, string> {
  return errors.Err(`${subject}: ${err.message}`)
}

function tryDecode (decode: () => GatewayFleetStatus): errors.Result<GatewayFleetStatus, string> {
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
    if (record !== undefined) services.set(record.service, addTarget(services.get(record.service), record))
  }
  return [...services.values()].sort((a, b) => a.service < b.service ? -1 : 1)
}

function addTarget (status: ServiceStatus | undefined, record: serving.TargetRecord): ServiceStatus {
  return {
    service: record.service,
    ready: (status?.ready ?? 0) + (record.leaving ? 0 : 1),
    leaving: (status?.leaving ?? 0) + (record.leaving ? 1 : 0),
    preemptible: (status?.preemptible ?? 0) + (record.preemptible ? 1 : 0)
  }
}

function summarizeUsage (finals: duties.FinalCounts): UsageStatus | undefined {
  const windows = Object.keys(finals).map(Number)
  if (windows.length === 0) return undefined
  return { lastWindow: Math.max(...windows), unreported: Object.values(finals).filter((final) => !final.reported).length }
}
