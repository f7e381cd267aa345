/** Schemas of the configuration that operators declare, and the types inferred from them. */
import * as z from 'zod'
import * as validation from '../validation/index.js'

/** Maximum length of a name, in characters. */
const MAX_NAME_CHARS = 64

const Name = z.string().regex(/^[a-z0-9][a-z0-9.-]*$/, 'expected lower-case letters, digits, dots and dashes').max(MAX_NAME_CHARS)
const Ratio = z.number().min(0).max(1)

/** A failure domain and the region it is in. */
export const FailureDomain = z.strictObject({ name: Name, region: Name })
export type FailureDomain = z.infer<typeof FailureDomain>

/** Objectives, costs and limits for the services that use the profile. */
export const Profile = z.strictObject({
  name: Name,
  /** Objective for the 95th percentile of the time to the first token, in ms. */
  ttft_ms: z.number().positive().default(390),
  /** Objective for the 95th percentile of the time between tokens, in ms. */
  itl_ms: z.number().positive().default(48),
  /** Longest time that a request may take, in ms; the deadline of requests that set none. */
  deadline_ms: z.number().positive().default(30_000),
  /** Cost of an uncached prompt token, in work units. */
  prefill_cost: z.number().positive().default(1),
  /** Cost of an output token, in work units. */
  decode_cost: z.number().positive().default(4),
  /** Share of the needed capacity that must survive the loss of all preemptible targets of one failure domain. */
  min_surviving_share: Ratio.default(0.8),
  /** Maximum spending per hour, in the currency of the price list. */
  budget_per_hour: z.number().positive().default(100),
  /** Price of a standard target per hour, in the currency of the budget. */
  price_standard: z.number().positive().default(4),
  /** Price of a preemptible target per hour, in the currency of the budget. */
  price_preemptible: z.number().positive().default(1.2),
  /** Time from an order to a running target, in ms. */
  delivery_ms: z.number().positive().default(120_000),
  /** Time for which a role change makes an engine unavailable, in ms. */
  role_change_ms: z.number().positive().default(5_000),
  /** Factor by which decoding slows down while the same engine prefills a prompt. */
  interference: z.number().min(1).default(2),
  /** Factor by which prefill slows down while the same engine decodes. */
  prefill_slowdown: z.number().min(1).default(1),
  /** Whether the planner may order and release targets. */
  target_orders: z.boolean().default(true),
  /** Whether the planner may change engine roles. */
  role_changes: z.boolean().default(true),
  /** What an entry does with requests that carry a key while its copy of the keys may be stale. */
  on_unknown_keys: z.enum(['refuse', 'serve']).default('refuse')
})
export type Profile = z.infer<typeof Profile>

/** A model served by engines, or a plain HTTP service. */
export const Service = z.strictObject({
  /** Also the name of the model, for model services. */
  name: Name,
  kind: z.enum(['model', 'plain']),
  /** Name of the profile. */
  profile: Name,
  /** Minimum number of targets. */
  min_targets: z.int().min(1).default(1),
  /** Maximum number of targets. */
  max_targets: z.int().min(1).default(64),
  /** Requests that a target executes at once. */
  slots_per_target: z.int().min(1).default(8)
})
export type Service = z.infer<typeof Service>

/** Path prefix of a plain service. Model services are called at /v1/completions and need no route. */
export const Route = z.strictObject({
  name: Name,
  path: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'expected an absolute path without query'),
  methods: validation.list(z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']), { min: 1 }),
  service: Name,
  /** Whether requests need no key. */
  open: z.boolean().default(false),
  /** Whether calls are idempotent, so that they may be sent more than once. */
  repeatable: z.boolean()
})
export type Route = z.infer<typeof Route>

/** Client account; its share of the capacity is proportional to its weight. */
export const Account = z.strictObject({ name: Name, weight: z.number().positive().default(1) })
export type Account = z.infer<typeof Account>

/** API key of a client account; only the digest of its secret is stored. */
export const Key = z.strictObject({
  id: z.string().regex(/^[a-z0-9]{4,32}$/, 'expected 4 to 32 lower-case letters and digits'),
  account: Name,
  /** SHA-256 of the secret, in hex. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'expected a SHA-256 digest in hex'),
  withdrawn: z.boolean().default(false)
})
export type Key = z.infer<typeof Key>

/** Phases that an engine executes: both, prefill only, or decode only. */
export const Role = z.enum(['mixed', 'prefill', 'decode'])
export type Role = z.infer<typeof Role>

/** Price class of a target; a `preemptible` one is cheaper and may be reclaimed by the platform. */
export const PriceClass = z.enum(['standard', 'preemptible'])
export type PriceClass = z.infer<typeof PriceClass>

/** A backend: a model engine or an instance of a plain service. */
export const Target = z.strictObject({
  name: Name,
  service: Name,
  /** Name of the failure domain. */
  domain: Name,
  url: z.url({ protocol: /^http$/ }),
  price_class: PriceClass.default('standard'),
  /** Whether the engine rejects orders with an outdated fencing token. */
  checks_fence: z.boolean().default(false),
  /** Whether the target gets no new requests, because it will be removed. */
  leaving: z.boolean().default(false),
  /** Whether the spending planner ordered the target; such targets stay when operators publish a new file. */
  ordered: z.boolean().default(false)
})
export type Target = z.infer<typeof Target>

/** Complete configuration of a deployment. */
export const ConfigSet = z.strictObject({
  failure_domains: validation.list(FailureDomain, { min: 1 }),
  profiles: validation.list(Profile, { min: 1 }),
  services: validation.list(Service, { min: 1 }),
  routes: validation.list(Route).default([]),
  accounts: validation.list(Account).default([]),
  keys: validation.list(Key).default([]),
  targets: validation.list(Target).default([])
})
export type ConfigSet = z.infer<typeof ConfigSet>

/** Account name of requests on open routes; reserved, and never billed. */
export const OPEN_ACCOUNT = 'open'
